"""Simulated backend server behind the edge router, with fault injection."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import time
import weakref

from arbutusvale.platform import headers
from arbutusvale.standins import raw_server

ATTEMPT_HEADER = headers.ATTEMPT_ID.decode()
SIGNATURE_HEADER = headers.ENGINE_SIGNATURE.decode()
NOT_EXECUTED_HEADER = headers.NOT_EXECUTED.decode()
LOAD_HEADER = headers.ENGINE_LOAD.decode()
EXPECTED_INSTANCE_HEADER = headers.EXPECTED_INSTANCE.decode()
TENANT_HEADER = headers.TENANT.decode()
MODEL_HEADER = headers.MODEL_ID.decode()
PROMPT_HEADER = headers.PROMPT_PREFIX.decode()
CACHE_LIST_PATH = '/-/kv-list'
EVENT_INTERVAL_S = 0.02
# With the fault 'unread-cut'.
UNREAD_LIMIT_S = 1.5
# What comes before bytes without end, and the bytes.
ENDLESS_BYTES = {
    'garbage': (b'', b'\x00\x01'),
    'header': (b'HTTP/1.1 200 OK\r\nX-Long: ', b'a'),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X-Many: a\r\n'),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'body': (b'{head}\r\n', b'a'),
    'chunk-extension': (
        b'{head}Transfer-Encoding: chunked\r\n\r\n5;x=',
        b'a',
    ),
    'trailer': (
        b'{head}Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ',
        b'a',
    ),
}
_LAST_CHUNK = b'0\r\n\r\n'


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request that reached this server, and how far it got."""

    request: raw_server.RawRequest
    executed: bool = False
    finished: bool = False

    @property
    def attempt_id(self) -> str:
        """Return the id in the attempt header; empty without one."""
        return self.request.headers.get(ATTEMPT_HEADER, '')


class EngineStandin:
    """HTTP server that consumes one entry of ``faults`` per request.

    Without an entry ``default_fault`` applies, empty for none.  ``leaving``
    is sent as ``Server-Leaving`` with all answers, ``limit`` as
    ``Server-Limit``; ``slowdown`` is the last figure of its load.
    Faults: 'error' (500), 'not-found' (404), 'shed' (503 without
    execution), 'shed-again' (writes the last refusal on its connection once
    more, then answers), 'shed-again-hang' (the same, without an answer),
    'reset' (before the response), 'hang', 'truncate', 'extra'
    (a second response), 'foreign' (first a response to another attempt),
    'unsigned' (no signature header), 'garbage' (no HTTP), 'unframed'
    (neither length nor chunks), 'unframed-reset' (the same, reset within
    the body or the third event), 'unframed-cut' (the same, a plain answer
    whole, a stream closed within the third event), 'unframed-empty' (the
    same, a stream closed before the first event), 'encoded'
    (Content-Encoding: gzip), 'stream-cut' and 'stream-hang' (at the third
    event), 'stream-end-early' (its last chunk follows a part of the third
    event), 'unread-cut' (a stream that remains unread for a while; its events
    have ``padding_bytes`` each), 'slow' (by a second), 'endless-X' (bytes
    until the caller closes, X one of ``ENDLESS_BYTES``), 'not-mine' (421),
    'pause=X' (503 without execution and Retry-After: X).  Refusals have no
    attempt id with ``anonymous_refusals``.

    Paths that start with ``stream_prefix`` are answered with
    ``event_count`` server-sent events, which name ``software_version``
    unless it is empty; none is sent before ``silent_until``.

    ``GET /-/kv-list`` returns the prompt parts of all requests that it ran
    since its start, or follows ``cache_list_fault``: 'refuse' or 'hang'.

    A request with one of ``crashing_parts`` in its prompt, except as the
    last part, ends the server once it has sent ``events_before_crash``
    events, or no head if that is None, in an answer that is ``crash_unframed``
    or chunked: all connections are reset and none is
    accepted until :meth:`restart`.  ``before_crash`` is awaited before,
    ``on_crash`` called after that.  A request with one of
    ``crashing_bodies`` does the same ``crash_delay_s`` after its arrival,
    though its client has left by then.
    """

    def __init__(self, name: str):
        self.name = name
        self.faults: list[str] = []
        self.default_fault = ''
        self.software_version = ''
        # The value of Server-Leaving in all answers; empty for none.
        self.leaving = ''
        self.anonymous_refusals = False
        # The last refusal on each connection.
        self.refusals: weakref.WeakKeyDictionary[
            asyncio.StreamWriter, bytes
        ] = weakref.WeakKeyDictionary()
        # How many refusals were written once more.
        self.repeated_refusals = 0
        # The value of Server-Limit in all answers; empty for none.
        self.limit = ''
        # The fourth figure of the load in all answers; empty for none.
        self.slowdown = ''
        # The steady time at which each request arrived.
        self.arrivals: list[float] = []
        self.received: list[ReceivedRequest] = []
        # Tokens of the cached prompt parts, by model and id.
        self.cached_parts: dict[tuple[str, str], int] = {}
        self.cache_list_fault = ''
        self.cache_list_calls = 0
        self.event_count = 5
        self.stream_prefix = ''
        self.service_time_s = 0.0
        # On the monotonic clock, in seconds.
        self.silent_until = 0.0
        self.padding_bytes = 0
        self.active_requests = 0
        self.connections = 0
        self.crashing_parts: set[str] = set()
        self.crashing_bodies: set[bytes] = set()
        self.crash_delay_s = EVENT_INTERVAL_S
        self.crash_tasks: set[asyncio.Task] = set()
        self.events_before_crash: int | None = 0
        self.crash_unframed = False
        # Sent of a longer plain answer, in place of events.
        self.bytes_before_crash = 0
        self.before_crash: Callable[[str], Awaitable[None]] = _await_nothing
        self.on_crash: Callable[[str], None] = _ignore_crash
        # Counts the crashes by whole requests.
        self.incarnation = 1
        # Requests with a crashing part or body that this server began to run.
        self.crash_causes: list[ReceivedRequest] = []
        self.server = raw_server.RawServer(self._handle)

    async def _handle(
        self,
        request: raw_server.RawRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request with the next fault; False ends the connection.

        A client that closes the connection cancels the request.
        """
        if request.path == CACHE_LIST_PATH:
            return await self._list_cache(writer)
        received_request = ReceivedRequest(request)
        self.received.append(received_request)
        self.arrivals.append(time.monotonic())
        fault = self.faults.pop(0) if self.faults else self.default_fault
        if (
            request.headers.get(EXPECTED_INSTANCE_HEADER, self.name)
            != self.name
        ):
            fault = 'not-mine'
        self.active_requests += 1
        work_task = asyncio.create_task(
            self._process(received_request, fault, writer)
        )
        disconnect_task = asyncio.create_task(_wait_for_disconnect(reader))
        try:
            done, _ = await asyncio.wait(
                (work_task, disconnect_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if work_task not in done:
                return False
            return work_task.result()
        finally:
            work_task.cancel()
            disconnect_task.cancel()
            self.active_requests -= 1

    async def _list_cache(self, writer: asyncio.StreamWriter) -> bool:
        """Answer which prompt parts are cached."""
        self.cache_list_calls += 1
        match self.cache_list_fault:
            case 'refuse':
                writer.write(raw_server.format_response(429, {}, b''))
                return True
            case 'hang':
                await asyncio.sleep(3600)
        held = [
            ['', part, tokens, model]
            for (model, part), tokens in self.cached_parts.items()
        ]
        body = json.dumps({'epoch': self.incarnation, 'held': held}).encode()
        writer.write(raw_server.format_response(200, {}, body))
        return True

    async def _process(
        self,
        received_request: ReceivedRequest,
        fault: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Execute a request and write its response."""
        response_headers = {
            ATTEMPT_HEADER: received_request.attempt_id,
            LOAD_HEADER: f'{self.active_requests},0,8',
        }
        if self.slowdown:
            response_headers[LOAD_HEADER] += f',{self.slowdown}'
        if self.limit:
            response_headers['Server-Limit'] = self.limit
        if self.leaving:
            response_headers['Server-Leaving'] = self.leaving
        match fault:
            case 'shed':
                response_headers[NOT_EXECUTED_HEADER] = '1'
                self._refuse(503, response_headers, b'full', writer)
                return True
            case _ if fault.startswith('pause='):
                response_headers[NOT_EXECUTED_HEADER] = '1'
                response_headers['Retry-After'] = fault.partition('=')[2]
                self._refuse(503, response_headers, b'', writer)
                return True
            case 'not-mine':
                self._refuse(421, response_headers, b'', writer)
                return True
            case 'shed-again' | 'shed-again-hang' if writer in self.refusals:
                writer.write(self.refusals[writer])
                self.repeated_refusals += 1
        received_request.executed = True
        self.cached_parts |= _list_cacheable_parts(received_request.request)
        response_headers[SIGNATURE_HEADER] = (
            f'sig-{self.name}-{received_request.attempt_id}'
        )
        response_headers['Keep-Alive'] = 'timeout=5'
        if self.crashing_parts & _list_shared_parts(received_request.request):
            self.crash_causes.append(received_request)
            await self._crash(response_headers, writer)
            return False
        if received_request.request.body in self.crashing_bodies:
            self.crash_causes.append(received_request)
            task = asyncio.create_task(self._crash_silently())
            self.crash_tasks.add(task)
            task.add_done_callback(self.crash_tasks.discard)
            await asyncio.shield(task)
            return False
        match fault:
            case _ if fault.startswith('endless-'):
                await _write_endlessly(
                    fault.removeprefix('endless-'), response_headers, writer
                )
                return False
            case 'hang' | 'shed-again-hang':
                await asyncio.sleep(3600)
            case 'slow':
                await asyncio.sleep(1.0)
            case 'reset':
                writer.transport.abort()
                return False
            case 'garbage':
                writer.write(b'\x00\x01 no answer \r\n\r\n')
                return False
            case 'error' | 'not-found':
                status = 500 if fault == 'error' else 404
                writer.write(
                    raw_server.format_response(
                        status,
                        response_headers,
                        b'broken' + b'p' * self.padding_bytes,
                    )
                )
                return True
            case 'unsigned':
                del response_headers[SIGNATURE_HEADER]
            case 'encoded':
                response_headers['Content-Encoding'] = 'gzip'
            case 'foreign':
                foreign_headers = response_headers | {
                    ATTEMPT_HEADER: 'somebody-else'
                }
                writer.write(
                    raw_server.format_response(
                        200, foreign_headers, b'foreign'
                    )
                )
        if self.service_time_s:
            await asyncio.sleep(self.service_time_s)
        if self.stream_prefix and received_request.request.path.startswith(
            self.stream_prefix
        ):
            return await self._stream_events(
                received_request, fault, response_headers, writer
            )
        return await self._send_response(
            received_request, fault, response_headers, writer
        )

    def _refuse(
        self,
        status: int,
        response_headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write a refusal."""
        response_headers['Keep-Alive'] = 'timeout=5'
        if self.anonymous_refusals:
            del response_headers[ATTEMPT_HEADER]
        refusal = raw_server.format_response(status, response_headers, body)
        self.refusals[writer] = refusal
        writer.write(refusal)

    async def _crash(
        self, response_headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Begin an answer, then stop like a killed process."""
        await asyncio.sleep(EVENT_INTERVAL_S)
        if self.bytes_before_crash:
            if not self.crash_unframed:
                response_headers['Content-Length'] = str(
                    2 * self.bytes_before_crash
                )
            body = b'p' * self.bytes_before_crash
            writer.write(
                raw_server.format_response(200, response_headers, body, False)
            )
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        elif self.events_before_crash is not None:
            if not self.crash_unframed:
                response_headers['Transfer-Encoding'] = 'chunked'
            writer.write(
                raw_server.format_response(200, response_headers, b'', False)
            )
            for number in range(1, self.events_before_crash + 1):
                event = f'id: {number}\ndata: piece {number}\n\n'.encode()
                writer.write(
                    event if self.crash_unframed else _encode_chunk(event)
                )
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        await self.before_crash(self.name)
        await self.server.close()
        self.on_crash(self.name)

    async def _crash_silently(self) -> None:
        """Stop like a killed process, without any answer."""
        incarnation = self.incarnation
        await asyncio.sleep(self.crash_delay_s)
        if incarnation != self.incarnation:
            return
        self.incarnation += 1
        await self.before_crash(self.name)
        await self.server.close()
        self.on_crash(self.name)

    async def restart(self) -> None:
        """Accept connections again, on the port from before."""
        self.cached_parts.clear()
        await self.server.open(self.server.port)

    async def _send_response(
        self,
        received_request: ReceivedRequest,
        fault: str,
        response_headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Write a response in one piece."""
        body = self.response_body(received_request)
        if fault == 'truncate':
            response = raw_server.format_response(200, response_headers, body)
            writer.write(response[:-2])
            return False
        if fault.startswith('unframed'):
            response = raw_server.format_response(
                200, response_headers, body, False
            )
            if fault == 'unframed-reset':
                await self._send_and_reset(response[:-2], writer)
                return False
            writer.write(response)
            received_request.finished = True
            return False
        writer.write(raw_server.format_response(200, response_headers, body))
        if fault == 'extra':
            writer.write(
                raw_server.format_response(200, response_headers, b'once more')
            )
        received_request.finished = True
        return True

    async def _stream_events(
        self,
        received_request: ReceivedRequest,
        fault: str,
        response_headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Stream events, from the one after ``Last-Event-ID`` on."""
        is_chunked = not fault.startswith('unframed')
        if is_chunked:
            response_headers['Transfer-Encoding'] = 'chunked'
        writer.write(
            raw_server.format_response(200, response_headers, b'', False)
        )
        if fault == 'unframed-empty':
            return False
        first_number = (
            int(received_request.request.headers.get('last-event-id', '0')) + 1
        )
        for number in range(first_number, self.event_count + 1):
            data = f'piece {number} {self.software_version}'.rstrip()
            if fault == 'unread-cut':
                data += ' ' + 'p' * self.padding_bytes
            event = f'id: {number}\ndata: {data}\n\n'.encode()
            await asyncio.sleep(max(0.0, self.silent_until - time.monotonic()))
            if number == first_number + 2:
                match fault:
                    case 'stream-cut':
                        writer.write(_encode_chunk(event[:9]))
                        await writer.drain()
                        writer.transport.abort()
                        return False
                    case 'stream-hang':
                        await asyncio.sleep(3600)
                    case 'stream-end-early':
                        writer.write(_encode_chunk(event[:9]) + _LAST_CHUNK)
                        return True
                    case 'unframed-cut':
                        writer.write(event[:9])
                        return False
                    case 'unframed-reset':
                        await self._send_and_reset(event[:9], writer)
                        return False
            writer.write(_encode_chunk(event) if is_chunked else event)
            if fault == 'unread-cut':
                if not await _drain_in_time(writer):
                    return False
                continue
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        if is_chunked:
            writer.write(_LAST_CHUNK)
        received_request.finished = True
        return is_chunked

    async def _send_and_reset(
        self, data: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Send data, then reset the connection once it has left."""
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
        raw_server.reset_connection(writer)

    def response_body(self, received_request: ReceivedRequest) -> bytes:
        """Return a body that repeats the request's attempt id and content."""
        request = received_request.request
        tenant = request.headers.get(TENANT_HEADER, '-')
        return (
            f'{received_request.attempt_id} {request.method} '
            f'{request.path} {tenant} '.encode()
            + request.body
            + b'p' * self.padding_bytes
        )


async def _write_endlessly(
    kind: str, response_headers: dict[str, str], writer: asyncio.StreamWriter
) -> None:
    """Write bytes until the client closes the connection."""
    prefix, unit = ENDLESS_BYTES[kind]
    lines = ''.join(
        f'{name}: {value}\r\n' for name, value in response_headers.items()
    )
    head = f'HTTP/1.1 200 Status\r\n{lines}'.encode()
    writer.write(prefix.replace(b'{head}', head))
    while not writer.is_closing():
        writer.write(unit * (65536 // len(unit)))
        await writer.drain()


async def _drain_in_time(writer: asyncio.StreamWriter) -> bool:
    """Wait until a response is read; cut it off if that takes too long."""
    try:
        async with asyncio.timeout(UNREAD_LIMIT_S):
            await writer.drain()
    except TimeoutError:
        writer.transport.abort()
        return False
    return True


def _list_shared_parts(request: raw_server.RawRequest) -> set[str]:
    """List the ids of a prompt's parts, without the last one."""
    prompt = request.headers.get(PROMPT_HEADER, '')
    return {entry.partition(':')[0] for entry in prompt.split(',')[:-1]}


def _list_cacheable_parts(
    request: raw_server.RawRequest,
) -> dict[tuple[str, str], int]:
    """Return the tokens of a prompt's parts, by model and id."""
    model = request.headers.get(MODEL_HEADER, '')
    prompt = request.headers.get(PROMPT_HEADER, '')
    entries = (entry.partition(':') for entry in prompt.split(',') if entry)
    return {(model, part): int(tokens) for part, _, tokens in entries}


async def _await_nothing(name: str) -> None:
    """Do nothing; the default callback before a crash."""


def _ignore_crash(name: str) -> None:
    """Do nothing; the default callback for crashes."""


def _encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


async def _wait_for_disconnect(reader: asyncio.StreamReader) -> None:
    """Return when the client closes the connection."""
    # Reading from it would consume the first byte of the next request.
    while not reader.at_eof():  # noqa: ASYNC110
        await asyncio.sleep(0.01)
