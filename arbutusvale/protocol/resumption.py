"""Resumption of an engine's response when its connection is idle.

An idle connection may be dead while new ones work.  So the rest of the
response is requested over a second connection, from the first missing byte;
whichever connection delivers data first is used from then on.
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
    """The engine does not support resuming responses."""

    def __init__(self, address: str):
        super().__init__(
            f'The engine at {address} cannot resume a response.',
            'Wait for the response on its first connection.',
        )


class ResumableEngine(typing.Protocol):
    """An engine that can send a response again from any byte."""

    address: str

    def stream(
        self, request: ports.ServerRequest, idle_after_s: float
    ) -> AsyncIterator[ResponsePart]:
        """Run a request; also yields idle events."""

    def resume(
        self,
        request: ports.ServerRequest,
        start_byte: int,
        idle_after_s: float,
    ) -> AsyncIterator[ResponsePart]:
        """Stream the response again from ``start_byte`` of its body on."""


@dataclasses.dataclass(eq=False)
class _Connection:
    """One connection, with the pending read of its next part."""

    parts: AsyncIterator[ResponsePart]
    read_task: asyncio.Task | None = None

    def start_read(self) -> asyncio.Task:
        """Return the pending read, started if necessary.

        Its result is the next part, or None at the end.
        """
        if self.read_task is None:
            self.read_task = asyncio.create_task(anext(self.parts, None))
        return self.read_task

    def pop_part(self) -> ResponsePart | None:
        """Return the result of the completed read."""
        task, self.read_task = self.read_task, None
        return task.result()

    async def close(self) -> None:
        """Cancel the pending read and close the connection."""
        if self.read_task is not None:
            self.read_task.cancel()
            await asyncio.gather(self.read_task, return_exceptions=True)
        await self.parts.aclose()


class _ResumableRead:
    """The progress of reading a response and the connections in use."""

    def __init__(self, engine: ResumableEngine, request: ports.ServerRequest):
        self.engine = engine
        self.request = request
        self.current = _Connection(engine.stream(request, IDLE_AFTER_S))
        self.replacement: _Connection | None = None
        self.can_resume = True
        self.head_yielded = False
        self.received_bytes = 0

    async def next_part(self) -> ResponsePart | None:
        """Return the next part; None at the end of the response."""
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
        """Return a part of the current connection.

        Unless it is an idle event, the replacement is no longer needed.
        """
        part = self.current.pop_part()
        if not isinstance(part, streaming_client.IdleEvent):
            await self._close_replacement()
        return part

    async def _read_replacement(self) -> ResponsePart | None:
        """Switch to the replacement if it delivered data, else close it."""
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
        """Request the rest of the response over a second connection."""
        if self.replacement is None and self.can_resume:
            parts = self.engine.resume(
                self.request, self.received_bytes, IDLE_AFTER_S
            )
            self.replacement = _Connection(parts)

    async def _close_replacement(self) -> None:
        """Close the replacement connection."""
        replacement, self.replacement = self.replacement, None
        await replacement.close()

    async def aclose(self) -> None:
        """Close all connections."""
        await self.current.close()
        if self.replacement is not None:
            await self.replacement.close()


async def read_with_resume(
    engine: ResumableEngine, request: ports.ServerRequest
) -> AsyncIterator[ports.ServerResponseHead | bytes]:
    """Run a request; yields one head, then each chunk of the body once."""
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
    """Raise an error if the engine refuses to resume a response."""
    if head.status in _UNSUPPORTED_STATUSES:
        raise ResumeUnsupported(address)
    if head.status == _RUN_LOST_STATUS:
        raise errors.ServerResponseError(address, 'the engine lost the run')
