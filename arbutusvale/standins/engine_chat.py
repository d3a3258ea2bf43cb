"""HTTP handlers of a simulated engine for chat completions."""

import asyncio
import dataclasses
import hashlib
import json

from tornado import iostream

from arbutusvale.protocol import caller_api
from arbutusvale.protocol import engine
from arbutusvale.standins import engine_state
from arbutusvale.standins import web_server
from arbutusvale.transport import socket_options

DEFAULT_ANSWER_TOKENS = 12
RESET_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True)
class ChatRequest:
    """The fields of a chat request that the simulated engine uses.

    ``prompt_digest`` is a prefix of the hash of all messages.
    """

    prompt_tokens: int
    last_message: str
    prompt_digest: str
    answer_tokens: int
    stream: bool
    include_usage: bool


def parse_chat_request(body: bytes) -> ChatRequest:
    """Parse a chat request, counting each word as one token."""
    document = json.loads(body)
    texts = [str(message['content']) for message in document['messages']]
    options = document.get('stream_options') or {}
    limit = document.get('max_tokens') or DEFAULT_ANSWER_TOKENS
    return ChatRequest(
        prompt_tokens=sum(len(text.split()) for text in texts),
        last_message=texts[-1],
        prompt_digest=hashlib.sha256('\n'.join(texts).encode()).hexdigest()[
            :12
        ],
        answer_tokens=max(2, limit),
        stream=bool(document.get('stream')),
        include_usage=bool(options.get('include_usage')),
    )


def make_completion(chat_request: ChatRequest) -> list[str]:
    """Return the tokens of an answer that echoes the last message.

    The last token has the prompt's digest, so that tests recognise an
    answer to another prompt.
    """
    filler = [f' {number}' for number in range(chat_request.answer_tokens - 2)]
    return [
        f'echo[{chat_request.last_message}]',
        *filler,
        f' end[{chat_request.prompt_digest}]',
    ]


class ChatHandler(web_server.StandinHandler):
    """Handler of chat completions."""

    def initialize(self, standin: web_server.Standin) -> None:
        """Set the server to which the handler belongs."""
        super().initialize(standin)
        # The connection, once an answer without framing has started.
        self.raw_stream: iostream.IOStream | None = None

    @property
    def is_client_gone(self) -> bool:
        """Return whether the client's connection is closed."""
        if self.raw_stream is not None:
            return self.raw_stream.closed()
        return super().is_client_gone

    def close_connection(self) -> None:
        """Close the connection without the rest of a response."""
        if self.raw_stream is not None:
            self.raw_stream.close()
        else:
            super().close_connection()

    async def post(self) -> None:
        """Wait for a slot, then generate the answer token by token."""
        standin = self.standin
        marker = standin.faults.crash_marker.encode()
        if marker and marker in self.request.body:
            await standin.crash()
            return
        if standin.models_loading:
            standin.chats_while_loading += 1
            self.send_json({'error': 'a model is being loaded'}, 503)
            return
        headers = self.request.headers
        self.request_id = headers.get(caller_api.REQUEST_ID, '')
        run = engine_state.Run(self.request_id)
        slots = standin.slots
        standin.record_start(run)
        try:
            await slots.acquire(int(headers.get(engine.PRIORITY, '0')))
            try:
                await self.generate(run)
            finally:
                slots.release()
        finally:
            run.finish(complete=run.complete)
            standin.record_end(run)

    def is_abandoned(self, run: engine_state.Run) -> bool:
        """Return whether the run is cancelled or has no connection left."""
        return run.cancelled or (self.is_client_gone and not run.readers)

    def write_output(self, run: engine_state.Run, data: bytes) -> None:
        """Write a part of the answer and store it for resumed connections."""
        run.append_output(data)
        if self.is_client_gone:
            return
        if self.raw_stream is not None:
            self.raw_stream.write(data)
        else:
            self.write(data)

    async def generate(self, run: engine_state.Run) -> None:
        """Generate the answer unless a fault or a cancellation ends it."""
        faults = self.standin.faults
        self.echo_request_id()
        if faults.down:
            self.close_connection()
            return
        if self.standin.rng.random() < faults.error_share:
            self.send_json({'error': {'message': 'engine error'}}, 500)
            return
        try:
            chat_request = parse_chat_request(self.request.body)
        except (ValueError, KeyError, TypeError, IndexError):
            self.send_json({'error': {'message': 'malformed request'}}, 400)
            return
        cached = self.use_prefix_cache(chat_request)
        latencies = self.standin.latencies
        prefill = (
            chat_request.prompt_tokens - cached
        ) * latencies.prompt_token_s
        await self.simulate_delay(latencies.first_token_s + prefill)
        completion = make_completion(chat_request)
        for number, token in enumerate(completion):
            if self.is_abandoned(run):
                self.close_connection()
                return
            if chat_request.stream:
                self.send_token(run, number, token, len(completion))
            await self.simulate_delay(latencies.token_s)
        await self.finish_response(run, chat_request, cached, completion)

    def use_prefix_cache(self, chat_request: ChatRequest) -> int:
        """Return the number of cached prompt tokens, then cache the prompt."""
        chat = self.request.headers.get(engine.CACHE_KEY, '')
        if not chat:
            return 0
        cached = min(
            self.standin.cache.get_tokens(chat), chat_request.prompt_tokens
        )
        self.standin.cache_hits += cached > 0
        self.standin.cache_prefix(chat, chat_request.prompt_tokens)
        return cached

    async def simulate_delay(self, seconds: float) -> None:
        """Sleep for a time that the faults may lengthen."""
        await asyncio.sleep(seconds * self.standin.faults.slow_factor)
        await self.wait_while_frozen()

    def echo_request_id(self) -> None:
        """Return the request's id in a header, or a wrong one by a fault."""
        echoed = self.request_id
        if self.standin.faults.cross_answers > 0:
            self.standin.faults.cross_answers -= 1
            echoed = f'not-{echoed}'
        self.set_header(caller_api.REQUEST_ID, echoed)
        self.set_header('Content-Type', 'application/json')

    def send_token(
        self, run: engine_state.Run, number: int, token: str, count: int
    ) -> None:
        """Send token ``number`` of ``count`` as a server-sent event."""
        delta = {'content': token}
        if number == 0:
            run.content_type = 'text/event-stream'
            self.set_header('Content-Type', run.content_type)
            delta['role'] = 'assistant'
            if self.standin.faults.unframed:
                self.start_unframed()
        reason = 'stop' if number == count - 1 else None
        choice = {'index': 0, 'delta': delta, 'finish_reason': reason}
        self.send_event(run, {'choices': [choice]})
        if self.raw_stream is None and not self.is_client_gone:
            self.flush()

    def start_unframed(self) -> None:
        """Send a head with neither a length nor chunks."""
        lines = ['HTTP/1.1 200 OK']
        lines += [f'{name}: {value}' for name, value in self._headers.items()]
        self.raw_stream = self.detach()
        self.raw_stream.write(('\r\n'.join(lines) + '\r\n\r\n').encode())

    async def end_unframed(self, run: engine_state.Run) -> None:
        """End an answer without framing as the fault says."""
        ending = b'data: [DONE]\n\n'
        match self.standin.faults.unframed:
            case 'cut':
                await self.raw_stream.write(ending[:-6])
            case 'reset':
                await self.raw_stream.write(ending[:-6])
                # The client reads what was sent before the reset.
                await asyncio.sleep(RESET_DELAY_S)
                socket_options.reset_on_close(self.raw_stream.socket)
            case _:
                self.write_output(run, ending)
                run.complete = True
        self.raw_stream.close()

    def send_event(self, run: engine_state.Run, fields: dict) -> None:
        """Write a completion chunk as a server-sent event."""
        document = self.base_document('chat.completion.chunk')
        text = f'data: {json.dumps(document | fields)}\n\n'
        self.write_output(run, text.encode())

    def base_document(self, kind: str) -> dict:
        """Return the fields common to all completion documents."""
        return {
            'id': f'chatcmpl-{self.request_id}',
            'object': kind,
            'created': 0,
            'model': self.standin.model,
            'system_fingerprint': self.standin.name,
        }

    async def finish_response(
        self,
        run: engine_state.Run,
        chat_request: ChatRequest,
        cached: int,
        completion: list[str],
    ) -> None:
        """Send what follows the last token, or all if not streaming."""
        if self.is_abandoned(run):
            self.close_connection()
            return
        usage = {
            'prompt_tokens': chat_request.prompt_tokens,
            'completion_tokens': len(completion),
            'total_tokens': chat_request.prompt_tokens + len(completion),
            'prompt_tokens_details': {'cached_tokens': cached},
        }
        if chat_request.stream:
            if chat_request.include_usage:
                self.send_event(run, {'choices': [], 'usage': usage})
            if self.raw_stream is not None:
                await self.end_unframed(run)
                return
            self.write_output(run, b'data: [DONE]\n\n')
            self.complete_response(run)
            return
        message = {'role': 'assistant', 'content': ''.join(completion)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        document = self.base_document('chat.completion')
        document |= {'choices': [choice], 'usage': usage}
        run.content_type = 'application/json'
        self.write_output(run, json.dumps(document).encode())
        self.complete_response(run)

    def complete_response(self, run: engine_state.Run) -> None:
        """Mark the answer as complete and finish the response."""
        run.complete = True
        if not self.is_client_gone:
            self.finish()


class ResumeHandler(web_server.StandinHandler):
    """Handler that resumes a run's answer over another connection."""

    async def get(self, run_id: str) -> None:
        """Send the answer from byte offset ``from`` until it ends."""
        run = self.standin.resumable_runs.get(run_id)
        if run is None:
            self.send_json({'error': 'no such run'}, 410)
            return
        self.set_header(caller_api.REQUEST_ID, run_id)
        run.readers += 1
        try:
            await self.stream_output(run, int(self.get_argument('from')))
        finally:
            run.readers -= 1

    async def stream_output(self, run: engine_state.Run, sent: int) -> None:
        """Write the answer from byte offset ``sent`` on as it grows."""
        while not self.is_client_gone:
            changed = run.changed
            rest = bytes(run.output[sent:])
            sent += len(rest)
            if rest:
                self.set_header('Content-Type', run.content_type)
                self.write(rest)
                self.flush()
            elif run.ended:
                break
            else:
                await changed.wait()
        if run.complete and not self.is_client_gone:
            self.finish()
        else:
            self.close_connection()
