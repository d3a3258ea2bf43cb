"""An engine that streams events, within the process of the case.

It follows the pages: ids of events count from 1, a request with
``Last-Event-Id`` gets what follows that event, and each event names the
engine's software version for the judge of the case.
"""

import asyncio
import json

import fleet

LAST_CHUNK = b'0\r\n\r\n'


def encode_chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


class Run:
    """What an engine did for one request."""

    def __init__(self, request):
        self.request = request
        self.sent_events = 0
        self.finished = False


class StreamEngine(fleet.Server):
    """An engine of ``slots`` slots; further requests wait or are refused."""

    def __init__(self, name, record, version, events, interval_s, slots=64):
        super().__init__()
        self.name = name
        self.record = record
        self.version = version
        self.events = events
        self.interval_s = interval_s
        self.slots = slots
        self.queue = 4 * slots
        self.running = 0
        self.waiting = 0
        self.runs = []
        self.held_parts = {}
        self.freed = asyncio.Condition()

    async def handle(self, request, reader, writer):
        if request.path == '/-/kv-list':
            writer.write(self._format_cache_list())
            return True
        headers = {'X-Arbutusvale-Attempt-Id': request.attempt_id}
        expected = request.headers.get('x-arbutusvale-expected-instance')
        if expected not in (None, self.name):
            headers['X-Arbutusvale-Instance-Id'] = self.name
            writer.write(fleet.format_answer(421, headers))
            return True
        work = asyncio.create_task(self._run(request, headers, writer))
        left = asyncio.create_task(self._wait_until_left(reader))
        try:
            await asyncio.wait(
                (work, left), return_when=asyncio.FIRST_COMPLETED
            )
            return work.done() and work.result()
        finally:
            work.cancel()
            left.cancel()

    def _format_cache_list(self):
        held = [
            ['', part, tokens, model]
            for (model, part), tokens in self.held_parts.items()
        ]
        document = {'epoch': 1, 'NextPageToken': 0, 'held': held}
        return fleet.format_answer(200, {}, json.dumps(document).encode())

    async def _wait_until_left(self, reader):
        while not reader.at_eof():  # noqa: ASYNC110
            await asyncio.sleep(0.01)

    async def _run(self, request, headers, writer):
        """Wait for a slot, then stream; refuse with a full queue."""
        headers['X-Arbutusvale-Engine-Load'] = (
            f'{self.running},{self.waiting},{self.slots}'
        )
        if self.running >= self.slots and self.waiting >= self.queue:
            headers['X-Arbutusvale-Not-Executed'] = '1'
            writer.write(fleet.format_answer(503, headers))
            return True
        self.waiting += 1
        try:
            async with self.freed:
                await self.freed.wait_for(lambda: self.running < self.slots)
                self.running += 1
        finally:
            self.waiting -= 1
        try:
            return await self._stream(request, headers, writer)
        finally:
            self.running -= 1
            await asyncio.shield(self._notify())

    async def _notify(self):
        async with self.freed:
            self.freed.notify_all()

    async def _stream(self, request, headers, writer):
        run = Run(request)
        self.runs.append(run)
        after = int(request.headers.get('last-event-id', '0'))
        self.record.write(
            f'{self.name} ({self.version}) runs {request.attempt_id} '
            f'after event {after}'
        )
        model = request.headers.get('x-arbutusvale-model-id', '')
        prompt = request.headers.get('x-arbutusvale-prompt-prefix', '')
        for entry in filter(None, prompt.split(',')):
            part, _, tokens = entry.partition(':')
            self.held_parts[model, part] = int(tokens)
        headers |= {
            'X-Arbutusvale-Engine-Signature': f'sig-{self.name}',
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        writer.write(fleet.format_head(200, headers))
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.interval_s)
            event = f'id: {number}\ndata: {self.name} {self.version}\n\n'
            writer.write(encode_chunk(event.encode()))
            await writer.drain()
            run.sent_events += 1
        writer.write(LAST_CHUNK)
        run.finished = True
        return True


class Stream:
    """One client's stream, over one or more attempts.

    ``prompt`` is empty for one that goes to no model engine.
    """

    def __init__(self, fleet_, path, prompt, events, deadline_ms=15000):
        self.fleet = fleet_
        self.path = path
        self.prompt = prompt
        self.total = events
        self.deadline_ms = deadline_ms
        self.first_attempt = ''
        self.last_event = 0
        self.versions = []
        self.complete = False
        # Differs from stream to stream, and not between tries of one.
        self.body = json.dumps({'prompt': prompt}).encode()
        self.began_at = asyncio.get_running_loop().time()

    def time_left_ms(self):
        elapsed_s = asyncio.get_running_loop().time() - self.began_at
        return max(1, int(self.deadline_ms - 1000 * elapsed_s))

    async def attempt(self, router, stop_after=None):
        """Make one attempt; close it after the event ``stop_after``.

        Return the number of events that it brought, the status and the
        Retry-After of a refusal in seconds.
        """
        attempt_id = self.fleet.next_attempt_id()
        headers = {}
        if self.prompt:
            headers = {
                'X-Arbutusvale-Model-Id': 'm',
                'X-Arbutusvale-Token-Count': '1460,80',
                'X-Arbutusvale-Prompt-Prefix': self.prompt,
            }
        if self.first_attempt:
            headers['Resumes'] = self.first_attempt
            headers['Last-Event-Id'] = str(self.last_event)
        try:
            reader, writer = await asyncio.open_connection(
                router.host, self.fleet.caller_port
            )
        except OSError:
            return 0, 0, 0.0
        headers['Content-Length'] = str(len(self.body))
        head = fleet.format_call(
            self.fleet,
            'POST',
            self.path,
            attempt_id,
            self.time_left_ms(),
            headers,
        )
        writer.write(head + self.body)
        brought = 0
        status = 0
        retry_after_s = 0.0
        try:
            status, answer = await fleet.read_head(reader)
            retry_after_s = float(answer.get('retry-after', '0'))
            if status != 200:
                return 0, status, retry_after_s
            while data := await fleet.read_chunk(reader):
                for event in data.decode().split('\n\n'):
                    if not event:
                        continue
                    brought += 1
                    if not self.first_attempt:
                        self.first_attempt = attempt_id
                    self.last_event = int(event.split('\n')[0][3:])
                    self.versions.append(event.rsplit(' ', 1)[1])
                if stop_after is not None and self.last_event >= stop_after:
                    return brought, status, 0.0
            self.complete = self.last_event == self.total
            return brought, status, 0.0
        except (EOFError, OSError):
            return brought, status, retry_after_s
        finally:
            writer.transport.abort()
            self.fleet.record.write(
                f'client: {attempt_id} '
                f'resumes {headers.get("Resumes", "-")} '
                f'after {headers.get("Last-Event-Id", "-")}: '
                f'status {status}, {brought} events, '
                f'up to {self.last_event} of {self.total}'
            )
