"""Stand in for a backend server of the platform, with faults at will."""

import asyncio
import dataclasses

from arbutusvale.platform import headers
from arbutusvale.standins import raw_server

ATTEMPT = headers.ATTEMPT_ID.decode()
SIGNATURE = headers.ENGINE_SIGNATURE.decode()
NOT_EXECUTED = headers.NOT_EXECUTED.decode()
LOAD = headers.ENGINE_LOAD.decode()
EXPECTED = headers.EXPECTED_INSTANCE.decode()
TENANT = headers.TENANT.decode()
EVENT_S = 0.02


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """Record one request that reached this server."""

    request: raw_server.RawRequest
    executed: bool = False
    finished: bool = False

    @property
    def attempt_id(self) -> str:
        """Return the attempt's id."""
        return self.request.headers.get(ATTEMPT, '')


class EngineStandin:
    """Answer requests; ``faults`` are taken one a request, in order.

    Faults: 'error' (500), 'shed' (not run), 'reset' (before the answer),
    'hang', 'truncate', 'extra' (a second answer), 'foreign' (another's
    answer first), 'unsigned', 'garbage', 'unframed', 'encoded',
    'stream-cut', 'stream-hang', 'slow' (a second), 'not-mine' (421).
    """

    def __init__(self, name: str):
        self.name = name
        self.faults: list[str] = []
        self.received: list[ReceivedRequest] = []
        self.event_count = 5
        self.stream_prefix = ''
        self.service_time_s = 0.0
        self.padding_bytes = 0
        self.active_requests = 0
        self.connections = 0
        self.server = raw_server.RawServer(self._handle)

    async def _handle(
        self,
        request: raw_server.RawRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request, with the next fault if there is one."""
        run = ReceivedRequest(request)
        self.received.append(run)
        fault = self.faults.pop(0) if self.faults else ''
        if request.headers.get(EXPECTED, self.name) != self.name:
            fault = 'not-mine'
        self.active_requests += 1
        watcher = asyncio.create_task(self._work(run, fault, writer))
        left = asyncio.create_task(_wait_for_leaving(reader))
        try:
            done, _ = await asyncio.wait(
                (watcher, left), return_when=asyncio.FIRST_COMPLETED
            )
            if watcher not in done:
                return False
            return watcher.result()
        finally:
            watcher.cancel()
            left.cancel()
            self.active_requests -= 1

    async def _work(
        self, run: ReceivedRequest, fault: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request and write its answer."""
        marks = {ATTEMPT: run.attempt_id, LOAD: f'{self.active_requests},0,8'}
        match fault:
            case 'shed':
                marks[NOT_EXECUTED] = '1'
                writer.write(raw_server.format_answer(503, marks, b'full'))
                return True
            case 'not-mine':
                writer.write(raw_server.format_answer(421, marks, b''))
                return True
        run.executed = True
        marks[SIGNATURE] = f'sig-{self.name}-{run.attempt_id}'
        marks['Keep-Alive'] = 'timeout=5'
        match fault:
            case 'hang':
                await asyncio.sleep(3600)
            case 'slow':
                await asyncio.sleep(1.0)
            case 'reset':
                writer.transport.abort()
                return False
            case 'garbage':
                writer.write(b'\x00\x01 no answer \r\n\r\n')
                return False
            case 'error':
                writer.write(raw_server.format_answer(500, marks, b'broken'))
                return True
            case 'unsigned':
                del marks[SIGNATURE]
            case 'encoded':
                marks['Content-Encoding'] = 'gzip'
            case 'foreign':
                other = marks | {ATTEMPT: 'somebody-else'}
                writer.write(raw_server.format_answer(200, other, b'foreign'))
        if self.service_time_s:
            await asyncio.sleep(self.service_time_s)
        if self.stream_prefix and run.request.path.startswith(
            self.stream_prefix
        ):
            return await self._stream(run, fault, marks, writer)
        return self._answer(run, fault, marks, writer)

    def _answer(
        self,
        run: ReceivedRequest,
        fault: str,
        marks: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Write a whole answer."""
        body = self.body_of(run)
        if fault == 'truncate':
            answer = raw_server.format_answer(200, marks, body)
            writer.write(answer[:-2])
            return False
        if fault == 'unframed':
            writer.write(raw_server.format_answer(200, marks, body, False))
            run.finished = True
            return False
        writer.write(raw_server.format_answer(200, marks, body))
        if fault == 'extra':
            writer.write(raw_server.format_answer(200, marks, b'once more'))
        run.finished = True
        return True

    async def _stream(
        self,
        run: ReceivedRequest,
        fault: str,
        marks: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Write events in chunks, from behind the one that was named."""
        marks['Transfer-Encoding'] = 'chunked'
        writer.write(raw_server.format_answer(200, marks, b'', False))
        first = int(run.request.headers.get('last-event-id', '0')) + 1
        for number in range(first, self.event_count + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            if number == first + 2 and fault == 'stream-cut':
                writer.write(_chunk(event[:9]))
                await writer.drain()
                writer.transport.abort()
                return False
            if number == first + 2 and fault == 'stream-hang':
                await asyncio.sleep(3600)
            writer.write(_chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b'0\r\n\r\n')
        run.finished = True
        return True

    def body_of(self, run: ReceivedRequest) -> bytes:
        """Return the body that belongs to a request."""
        request = run.request
        tenant = request.headers.get(TENANT, '-')
        return (
            f'{run.attempt_id} {request.method} '
            f'{request.path} {tenant} '.encode()
            + request.body
            + b'p' * self.padding_bytes
        )


def _chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


async def _wait_for_leaving(reader: asyncio.StreamReader) -> None:
    """Return when the other side closes the connection."""
    # A read would take the first byte of the next request.
    while not reader.at_eof():  # noqa: ASYNC110
        await asyncio.sleep(0.01)
