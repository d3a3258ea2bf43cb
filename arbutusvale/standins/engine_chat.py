"""Answer chat completions as a stand-in engine."""

import asyncio
import dataclasses
import hashlib
import json

from arbutusvale.protocol import caller_api
from arbutusvale.protocol import engine
from arbutusvale.standins import engine_state
from arbutusvale.standins import web_server

DEFAULT_ANSWER_TOKENS = 12


@dataclasses.dataclass(frozen=True)
class Prompt:
    """Hold what the engine takes from a chat request."""

    tokens: int
    last: str
    digest: str
    answer_tokens: int
    stream: bool
    usage_wanted: bool


def read_prompt(body: bytes) -> Prompt:
    """Parse a chat request; one word is one token."""
    document = json.loads(body)
    texts = [str(message['content']) for message in document['messages']]
    options = document.get('stream_options') or {}
    limit = document.get('max_tokens') or DEFAULT_ANSWER_TOKENS
    return Prompt(
        tokens=sum(len(text.split()) for text in texts),
        last=texts[-1],
        digest=hashlib.sha256('\n'.join(texts).encode()).hexdigest()[:12],
        answer_tokens=max(2, limit),
        stream=bool(document.get('stream')),
        usage_wanted=bool(options.get('include_usage')),
    )


def answer_pieces(prompt: Prompt) -> list[str]:
    """Return the tokens of the answer, which echoes the last message."""
    fill = [f' {number}' for number in range(prompt.answer_tokens - 2)]
    return [f'echo[{prompt.last}]', *fill, f' end[{prompt.digest}]']


class ChatHandler(web_server.StandinHandler):
    """Run a chat completion."""

    async def post(self) -> None:
        """Wait for a slot, then produce the answer token by token."""
        standin = self.standin
        marker = standin.faults.crash_marker.encode()
        if marker and marker in self.request.body:
            await standin.crash()
            return
        if standin.loading:
            standin.chats_while_loading += 1
            self.answer({'error': 'a model is being loaded'}, 503)
            return
        headers = self.request.headers
        self.request_id = headers.get(caller_api.REQUEST_ID, '')
        run = engine_state.Run(self.request_id)
        slots = standin.slots
        standin.begin(run)
        try:
            await slots.acquire(int(headers.get(engine.PRIORITY, '0')))
            try:
                await self.work(run)
            finally:
                slots.release()
        finally:
            run.end(whole=run.whole)
            standin.end(run)

    def left(self, run: engine_state.Run) -> bool:
        """Tell whether nobody waits for the answer any more."""
        return run.cancelled or (self.gone and not run.readers)

    def pass_on(self, run: engine_state.Run, data: bytes) -> None:
        """Write a part of the answer and keep it for those who resume."""
        run.emit(data)
        if not self.gone:
            self.write(data)

    async def work(self, run: engine_state.Run) -> None:
        """Produce the answer, unless a fault or a cancel ends it."""
        faults = self.standin.faults
        self.echo_id()
        if faults.down:
            self.drop()
            return
        if self.standin.generator.random() < faults.error_share:
            self.answer({'error': {'message': 'engine error'}}, 500)
            return
        try:
            prompt = read_prompt(self.request.body)
        except (ValueError, KeyError, TypeError, IndexError):
            self.answer({'error': {'message': 'malformed request'}}, 400)
            return
        cached = self.use_cache(prompt)
        latencies = self.standin.latencies
        prefill = (prompt.tokens - cached) * latencies.prompt_token_s
        await self.pause(latencies.first_token_s + prefill)
        pieces = answer_pieces(prompt)
        for number, piece in enumerate(pieces):
            if self.left(run):
                self.drop()
                return
            if prompt.stream:
                self.send_piece(run, number, piece, len(pieces))
            await self.pause(latencies.token_s)
        self.finish_answer(run, prompt, cached, pieces)

    def use_cache(self, prompt: Prompt) -> int:
        """Return the tokens found in the cache and store the prompt."""
        chat = self.request.headers.get(engine.CACHE_KEY, '')
        if not chat:
            return 0
        cached = min(self.standin.cache.find(chat), prompt.tokens)
        self.standin.cached_hits += cached > 0
        self.standin.cache_prefix(chat, prompt.tokens)
        return cached

    async def pause(self, seconds: float) -> None:
        """Take time, and more of it as the faults say."""
        await asyncio.sleep(seconds * self.standin.faults.slow_factor)
        await self.thawed()

    def echo_id(self) -> None:
        """Send the request's id back, unless answers are crossed."""
        echoed = self.request_id
        if self.standin.faults.cross_answers > 0:
            self.standin.faults.cross_answers -= 1
            echoed = f'not-{echoed}'
        self.set_header(caller_api.REQUEST_ID, echoed)
        self.set_header('Content-Type', 'application/json')

    def send_piece(
        self, run: engine_state.Run, number: int, piece: str, count: int
    ) -> None:
        """Send one token as a server-sent event."""
        delta = {'content': piece}
        if number == 0:
            run.content_type = 'text/event-stream'
            self.set_header('Content-Type', run.content_type)
            delta['role'] = 'assistant'
        reason = 'stop' if number == count - 1 else None
        choice = {'index': 0, 'delta': delta, 'finish_reason': reason}
        self.send_event(run, {'choices': [choice]})
        if not self.gone:
            self.flush()

    def send_event(self, run: engine_state.Run, fields: dict) -> None:
        """Write one server-sent event."""
        document = self.envelope('chat.completion.chunk')
        text = f'data: {json.dumps(document | fields)}\n\n'
        self.pass_on(run, text.encode())

    def envelope(self, kind: str) -> dict:
        """Return the fields that all answer documents have."""
        return {
            'id': f'chatcmpl-{self.request_id}',
            'object': kind,
            'created': 0,
            'model': self.standin.model,
            'system_fingerprint': self.standin.name,
        }

    def finish_answer(
        self,
        run: engine_state.Run,
        prompt: Prompt,
        cached: int,
        pieces: list[str],
    ) -> None:
        """Send what follows the last token."""
        if self.left(run):
            self.drop()
            return
        usage = {
            'prompt_tokens': prompt.tokens,
            'completion_tokens': len(pieces),
            'total_tokens': prompt.tokens + len(pieces),
            'prompt_tokens_details': {'cached_tokens': cached},
        }
        if prompt.stream:
            if prompt.usage_wanted:
                self.send_event(run, {'choices': [], 'usage': usage})
            self.pass_on(run, b'data: [DONE]\n\n')
            self.finish_whole(run)
            return
        message = {'role': 'assistant', 'content': ''.join(pieces)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        document = self.envelope('chat.completion')
        document |= {'choices': [choice], 'usage': usage}
        run.content_type = 'application/json'
        self.pass_on(run, json.dumps(document).encode())
        self.finish_whole(run)

    def finish_whole(self, run: engine_state.Run) -> None:
        """Close a whole answer."""
        run.whole = True
        if not self.gone:
            self.finish()


class ResumeHandler(web_server.StandinHandler):
    """Send the answer of a run again over another connection."""

    async def get(self, run_id: str) -> None:
        """Send what comes after byte ``from``, until the answer ends."""
        run = self.standin.kept.get(run_id)
        if run is None:
            self.answer({'error': 'no such run'}, 410)
            return
        self.set_header(caller_api.REQUEST_ID, run_id)
        run.readers += 1
        try:
            await self.follow(run, int(self.get_argument('from')))
        finally:
            run.readers -= 1

    async def follow(self, run: engine_state.Run, sent: int) -> None:
        """Write the answer from byte ``sent`` on as it grows."""
        while not self.gone:
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
        if run.whole and not self.gone:
            self.finish()
        else:
            self.drop()
