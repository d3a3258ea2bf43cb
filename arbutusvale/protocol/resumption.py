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

SILENCE_S = 1.0
_UNSUPPORTED = frozenset({404, 405, 501})
_LOST = 410

Part = ports.ServerResponseHead | bytes | streaming_client.Silent


class NotResumable(errors.ArbutusvaleError):
    """Report an engine that cannot resume answers."""

    def __init__(self, address: str):
        super().__init__(
            f'The engine at {address} cannot resume an answer.',
            'Wait for the answer on its first connection.',
        )


class ResumingEngine(typing.Protocol):
    """Start an answer, and start it again from any byte."""

    address: str

    def stream(
        self, request: ports.ServerRequest, silence_s: float
    ) -> AsyncIterator[Part]:
        """Run a request, telling of each silence."""

    def resume(
        self, request: ports.ServerRequest, start: int, silence_s: float
    ) -> AsyncIterator[Part]:
        """Yield the answer again from byte ``start``."""


@dataclasses.dataclass(eq=False)
class _Source:
    """Hold one connection's parts and the task that waits for the next."""

    parts: AsyncIterator[Part]
    task: asyncio.Task | None = None

    def wait(self) -> asyncio.Task:
        """Return the task that waits for the next part, None at the end."""
        if self.task is None:
            self.task = asyncio.create_task(anext(self.parts, None))
        return self.task

    def take(self) -> Part | None:
        """Return the part that the task got."""
        task, self.task = self.task, None
        return task.result()

    async def close(self) -> None:
        """Stop to wait and close the connection."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.parts.aclose()


class _Reading:
    """Hold how far an answer was read and from which connection."""

    def __init__(self, engine: ResumingEngine, request: ports.ServerRequest):
        self.engine = engine
        self.request = request
        self.source = _Source(engine.stream(request, SILENCE_S))
        self.second: _Source | None = None
        self.resumable = True
        self.head_seen = False
        self.received_bytes = 0

    async def next(self) -> Part | None:
        """Return the next part; None at the end of the answer."""
        if self.second is None:
            if self.source.task is None:
                return await anext(self.source.parts, None)
            await asyncio.wait({self.source.task})
            return self.source.take()
        await asyncio.wait(
            {self.source.wait(), self.second.wait()},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if self.source.task.done():
            return await self._take_first()
        return await self._take_second()

    async def _take_first(self) -> Part | None:
        """Read on from the first connection, unless it is still silent."""
        part = self.source.take()
        if not isinstance(part, streaming_client.Silent):
            await self._drop_second()
        return part

    async def _take_second(self) -> Part | None:
        """Read on from the second connection, if it carries something."""
        try:
            part = self.second.take()
        except NotResumable:
            self.resumable = False
            part = streaming_client.Silent()
        if isinstance(part, streaming_client.Silent):
            await self._drop_second()
            return part
        logging.info(
            'event=answer-resumed request=%s start=%d',
            self.request.request_id,
            self.received_bytes,
        )
        await self.source.close()
        self.source, self.second = self.second, None
        return part

    def open_second(self) -> None:
        """Ask for the rest over a second connection."""
        if self.second is None and self.resumable:
            parts = self.engine.resume(
                self.request, self.received_bytes, SILENCE_S
            )
            self.second = _Source(parts)

    async def _drop_second(self) -> None:
        """Close the second connection."""
        second, self.second = self.second, None
        await second.close()

    async def aclose(self) -> None:
        """Close every connection."""
        await self.source.close()
        if self.second is not None:
            await self.second.close()


async def read_resuming(
    engine: ResumingEngine, request: ports.ServerRequest
) -> AsyncIterator[ports.ServerResponseHead | bytes]:
    """Yield one head, then the pieces of an answer's body, each once."""
    reading = _Reading(engine, request)
    async with contextlib.aclosing(reading):
        while (part := await reading.next()) is not None:
            match part:
                case streaming_client.Silent():
                    reading.open_second()
                case ports.ServerResponseHead():
                    if not reading.head_seen:
                        reading.head_seen = True
                        yield part
                case bytes():
                    reading.received_bytes += len(part)
                    yield part


def check_status(address: str, head: ports.ServerResponseHead) -> None:
    """Raise when an engine refuses to resume an answer."""
    if head.status in _UNSUPPORTED:
        raise NotResumable(address)
    if head.status == _LOST:
        raise errors.ServerBroken(address, 'the engine lost the run')
