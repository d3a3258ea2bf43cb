"""Go on with an engine's answer when its connection falls silent.

A silent connection may be dead while new ones work.  After a silence the
answer is asked for again, from the byte that is lacking, over a second
connection; the first of both that carries something is read on.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import typing

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import ports
from arbutusvale.protocol import streaming_client

IDLE_AFTER_S = 1.0
_UNSUPPORTED_STATUSES = frozenset({404, 405, 501})
_RUN_LOST_STATUS = 410

ResponsePart = ports.ServerResponseHead | bytes | streaming_client.IdleEvent


class ResumeUnsupported(errors.ArbutusvaleError):
    """Report an engine that cannot resume answers."""

    def __init__(self, address: str):
        super().__init__(
            f'The engine at {address} cannot resume an answer.',
            'Wait for the answer on its first connection.',
        )


class ResumableEngine(typing.Protocol):
    """Start an answer, and start it again from any byte."""

    address: str

    def stream(
        self, request: ports.ServerRequest, idle_after_s: float
    ) -> AsyncIterator[ResponsePart]:
        """Run a request, telling of each silence."""

    def resume(
        self,
        request: ports.ServerRequest,
        start_byte: int,
        idle_after_s: float,
    ) -> AsyncIterator[ResponsePart]:
        """Yield the answer again from byte ``start_byte``."""


@dataclasses.dataclass(eq=False)
class _Connection:
    """Hold one connection's parts and the task that waits for the next."""

    parts: AsyncIterator[ResponsePart]
    read_task: asyncio.Task | None = None

    def start_read(self) -> asyncio.Task:
        """Return the task that waits for the next part, None at the end."""
        if self.read_task is None:
            self.read_task = asyncio.create_task(anext(self.parts, None))
        return self.read_task

    def pop_part(self) -> ResponsePart | None:
        """Return the part that the task got."""
        task, self.read_task = self.read_task, None
        return task.result()

    async def close(self) -> None:
        """Stop to wait and close the connection."""
        if self.read_task is not None:
            self.read_task.cancel()
            await asyncio.gather(self.read_task, return_exceptions=True)
        await self.parts.aclose()


class _ResumableRead:
    """Hold how far an answer was read and from which connection."""

    def __init__(self, engine: ResumableEngine, request: ports.ServerRequest):
        self.engine = engine
        self.request = request
        self.current = _Connection(engine.stream(request, IDLE_AFTER_S))
        self.replacement: _Connection | None = None
        self.can_resume = True
        self.head_yielded = False
        self.received_bytes = 0

    async def next_part(self) -> ResponsePart | None:
        """Return the next part; None at the end of the answer."""
        if self.replacement is None:
            if self.current.read_task is None:
                return await anext(self.current.parts, None)
            await asyncio.wait({self.current.read_task})
            return self.current.pop_part()
        await asyncio.wait(
            {self.current.start_read(), self.replacement.start_read()},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if self.current.read_task.done():
            return await self._read_current()
        return await self._read_replacement()

    async def _read_current(self) -> ResponsePart | None:
        """Read on from the first connection, unless it is still silent."""
        part = self.current.pop_part()
        if not isinstance(part, streaming_client.IdleEvent):
            await self._close_replacement()
        return part

    async def _read_replacement(self) -> ResponsePart | None:
        """Read on from the second connection, if it carries something."""
        try:
            part = self.replacement.pop_part()
        except ResumeUnsupported:
            self.can_resume = False
            part = streaming_client.IdleEvent()
        if isinstance(part, streaming_client.IdleEvent):
            await self._close_replacement()
            return part
        logging.info(
            'event=answer-resumed request=%s start=%d',
            self.request.request_id,
            self.received_bytes,
        )
        await self.current.close()
        self.current, self.replacement = self.replacement, None
        return part

    def open_replacement(self) -> None:
        """Ask for the rest over a second connection."""
        if self.replacement is None and self.can_resume:
            parts = self.engine.resume(
                self.request, self.received_bytes, IDLE_AFTER_S
            )
            self.replacement = _Connection(parts)

    async def _close_replacement(self) -> None:
        """Close the second connection."""
        replacement, self.replacement = self.replacement, None
        await replacement.close()

    async def aclose(self) -> None:
        """Close every connection."""
        await self.current.close()
        if self.replacement is not None:
            await self.replacement.close()


async def read_with_resume(
    engine: ResumableEngine, request: ports.ServerRequest
) -> AsyncIterator[ports.ServerResponseHead | bytes]:
    """Yield one head, then the pieces of an answer's body, each once."""
    resumable_read = _ResumableRead(engine, request)
    async with contextlib.aclosing(resumable_read):
        while (part := await resumable_read.next_part()) is not None:
            match part:
                case streaming_client.IdleEvent():
                    resumable_read.open_replacement()
                case ports.ServerResponseHead():
                    if not resumable_read.head_yielded:
                        resumable_read.head_yielded = True
                        yield part
                case bytes():
                    resumable_read.received_bytes += len(part)
                    yield part


def check_resume_status(address: str, head: ports.ServerResponseHead) -> None:
    """Raise when an engine refuses to resume an answer."""
    if head.status in _UNSUPPORTED_STATUSES:
        raise ResumeUnsupported(address)
    if head.status == _RUN_LOST_STATUS:
        raise errors.ServerBroken(address, 'the engine lost the run')
