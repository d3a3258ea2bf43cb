"""Messages between two VMs over one websocket connection.

Each connection has a task that reads and one that writes.  The writer sends
all messages queued in one event loop iteration as one frame.
"""

import asyncio
import time

from absl import logging
from websockets import exceptions
from websockets.asyncio import connection

from arbutusvale import errors
from arbutusvale.protocol import codec
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.transport import handshake
from arbutusvale.transport import link_counters

MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_QUEUED_FRAMES = 16
# A frame isn't extended once its payloads reach this size.
_FRAME_TARGET_BYTES = 256 * 1024
_MAX_QUEUED_MESSAGES = 16384
_MAX_QUEUED_BYTES = 32 * 1024 * 1024
_FLUSH_TIMEOUT_S = 1.0
WEBSOCKET_OPTIONS = {
    'compression': None,
    'ping_interval': None,
    'max_size': MAX_FRAME_BYTES,
    'max_queue': MAX_QUEUED_FRAMES,
    'close_timeout': 0.5,
}


class Link:
    """An authenticated connection that carries messages both ways.

    A Ping is answered here, after the messages before it are handled.
    """

    def __init__(
        self,
        *,
        websocket: connection.Connection,
        peer: handshake.Peer,
        handler: ports.LinkHandler,
        counters: link_counters.LinkCounters,
    ):
        self.websocket = websocket
        self.vm = peer.vm
        self.incarnation = peer.incarnation
        self.role = peer.role
        self.handler = handler
        self.counters = counters
        self.last_used_at = time.monotonic()
        self.queue: list[messages.Message] = []
        self.queued_bytes = 0
        self.write_requested = asyncio.Event()
        self.flushed = asyncio.Event()
        self.flushed.set()
        self.ended = False

    @property
    def closed(self) -> bool:
        """Whether the link is closed."""
        return self.ended

    def send(self, message: messages.Message) -> None:
        """Queue a message; raise :class:`errors.LinkClosed`.

        Closes the link if too much is queued, as the peer reads too slowly.
        """
        if self.ended:
            raise errors.LinkClosed(self.vm, 'it ended before')
        if not self.queue:
            self.last_used_at = time.monotonic()
            self.flushed.clear()
            self.write_requested.set()
        self.queue.append(message)
        self.queued_bytes += _payload_bytes(message)
        if (
            len(self.queue) > _MAX_QUEUED_MESSAGES
            or self.queued_bytes > _MAX_QUEUED_BYTES
        ):
            logging.warning('event=link-overfull vm=%s', self.vm)
            self.close()
            raise errors.LinkClosed(self.vm, 'its queue is full')

    def close(self) -> None:
        """Close the connection at once; queued messages may be lost."""
        self.ended = True
        self.write_requested.set()
        self.flushed.set()
        self.websocket.transport.abort()

    async def flush_and_close(self) -> None:
        """Send queued messages within ``_FLUSH_TIMEOUT_S``, then close."""
        try:
            async with asyncio.timeout(_FLUSH_TIMEOUT_S):
                await self.flushed.wait()
                await self.websocket.close()
        except TimeoutError:
            logging.warning('event=link-cut vm=%s', self.vm)
        self.close()

    async def run(self) -> None:
        """Carry messages until the connection ends, then call the handler."""
        writer = asyncio.create_task(self._write_frames())
        try:
            await self._read_frames()
        except exceptions.ConnectionClosed:
            logging.debug('event=link-broken vm=%s', self.vm)
        except errors.FrameError as error:
            logging.warning(
                'event=link-frame vm=%s cause="%s"', self.vm, error.problem
            )
        finally:
            self.close()
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            await self.handler.on_link_closed(self)

    async def _read_frames(self) -> None:
        """Pass received messages to the handler, in order."""
        async for frame in self.websocket:
            if not isinstance(frame, bytes):
                raise errors.FrameError('A frame is not binary.')
            batch = codec.decode_frame(frame)
            self.counters.received.record_frame(batch, len(frame))
            self.last_used_at = time.monotonic()
            for message in batch:
                if self.ended:
                    return
                await self._handle(message)

    async def _handle(self, message: messages.Message) -> None:
        """Handle one message; an exception must not end the link."""
        try:
            if isinstance(message, messages.Ping):
                self.send(messages.Pong(message.number))
            else:
                await self.handler.receive(self, message)
        except errors.LinkClosed as error:
            logging.info(
                'event=answer-unsent vm=%s cause="%s"', self.vm, error.problem
            )
        except Exception:
            logging.exception(
                'event=message-failed vm=%s kind=%s',
                self.vm,
                type(message).__name__,
            )

    async def _write_frames(self) -> None:
        """Send queued messages in batches until the link ends."""
        while not self.ended:
            await self.write_requested.wait()
            await asyncio.sleep(0)
            batch = self._pop_batch()
            if not batch:
                self.flushed.set()
                self.write_requested.clear()
                continue
            frame = codec.encode_frame(batch)
            self.counters.sent.record_frame(batch, len(frame))
            try:
                await self.websocket.send(frame)
            except exceptions.ConnectionClosed:
                self.close()

    def _pop_batch(self) -> list[messages.Message]:
        """Remove and return the messages of the next frame."""
        size = 0
        count = 0
        for message in self.queue:
            size += _payload_bytes(message)
            count += 1
            if size >= _FRAME_TARGET_BYTES:
                break
        batch = self.queue[:count]
        del self.queue[:count]
        self.queued_bytes -= size
        return batch


def _payload_bytes(message: messages.Message) -> int:
    """Return the size of the message's large field, 0 if it has none."""
    match message:
        case messages.Chunk(data=data):
            return len(data)
        case messages.Submit(body=body):
            return len(body)
        case messages.BundleCopy(record=record):
            return len(record)
        case messages.CacheCopy(data=data):
            return len(data)
    return 0
