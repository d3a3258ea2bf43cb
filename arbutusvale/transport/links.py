"""Carry messages between two VMs over one websocket connection.

One task per connection reads; another writes, which puts all messages
queued since the last turn of the event loop into one frame.
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
_BATCH_BYTES = 256 * 1024
_QUEUE_MESSAGES = 16384
_QUEUE_BYTES = 32 * 1024 * 1024
_FLUSH_TIMEOUT_S = 1.0
SOCKET_OPTIONS = {
    'compression': None,
    'ping_interval': None,
    'max_size': MAX_FRAME_BYTES,
    'max_queue': MAX_QUEUED_FRAMES,
    'close_timeout': 0.5,
}


class Link:
    """Send and receive messages on one authenticated connection.

    A Ping is answered here, after the messages before it were handled.
    """

    def __init__(
        self,
        *,
        socket: connection.Connection,
        peer: handshake.Peer,
        handler: ports.LinkHandler,
        counters: link_counters.LinkCounters,
    ):
        self.socket = socket
        self.vm = peer.vm
        self.incarnation = peer.incarnation
        self.role = peer.role
        self.handler = handler
        self.counters = counters
        self.used_at = time.monotonic()
        self.queue: list[messages.Message] = []
        self.queued_bytes = 0
        self.wanted = asyncio.Event()
        self.flushed = asyncio.Event()
        self.flushed.set()
        self.ended = False

    @property
    def closed(self) -> bool:
        """Tell whether the link is closed."""
        return self.ended

    def send(self, message: messages.Message) -> None:
        """Queue a message; raises :class:`errors.LinkClosed`."""
        if self.ended:
            raise errors.LinkClosed(self.vm, 'it ended before')
        if not self.queue:
            self.used_at = time.monotonic()
            self.flushed.clear()
            self.wanted.set()
        self.queue.append(message)
        self.queued_bytes += _payload_bytes(message)
        if (
            len(self.queue) > _QUEUE_MESSAGES
            or self.queued_bytes > _QUEUE_BYTES
        ):
            logging.warning('event=link-overfull vm=%s', self.vm)
            self.close()
            raise errors.LinkClosed(self.vm, 'its queue is full')

    def close(self) -> None:
        """Close the connection at once; queued messages may be lost."""
        self.ended = True
        self.wanted.set()
        self.flushed.set()
        self.socket.transport.abort()

    async def finish(self) -> None:
        """Send what is queued, within a bound, then close."""
        try:
            async with asyncio.timeout(_FLUSH_TIMEOUT_S):
                await self.flushed.wait()
                await self.socket.close()
        except TimeoutError:
            logging.warning('event=link-cut vm=%s', self.vm)
        self.close()

    async def run(self) -> None:
        """Carry messages until the connection ends, then tell the handler."""
        writer = asyncio.create_task(self._write())
        try:
            await self._read()
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

    async def _read(self) -> None:
        """Hand each received message to the handler, in order."""
        async for frame in self.socket:
            if not isinstance(frame, bytes):
                raise errors.FrameError('A frame is not binary.')
            batch = codec.decode_frame(frame)
            self.counters.received.add(batch, len(frame))
            self.used_at = time.monotonic()
            for message in batch:
                if self.ended:
                    return
                await self._take(message)

    async def _take(self, message: messages.Message) -> None:
        """Handle one message; a failing handler must not end the link."""
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

    async def _write(self) -> None:
        """Send queued messages, many to a frame, until the link ends."""
        while not self.ended:
            await self.wanted.wait()
            await asyncio.sleep(0)
            batch = self._take_batch()
            if not batch:
                self.flushed.set()
                self.wanted.clear()
                continue
            frame = codec.encode_frame(batch)
            self.counters.sent.add(batch, len(frame))
            try:
                await self.socket.send(frame)
            except exceptions.ConnectionClosed:
                self.close()

    def _take_batch(self) -> list[messages.Message]:
        """Take from the queue what goes into the next frame."""
        size = 0
        count = 0
        for message in self.queue:
            size += _payload_bytes(message)
            count += 1
            if size >= _BATCH_BYTES:
                break
        batch = self.queue[:count]
        del self.queue[:count]
        self.queued_bytes -= size
        return batch


def _payload_bytes(message: messages.Message) -> int:
    """Return the size of the one large field that a message may have."""
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
