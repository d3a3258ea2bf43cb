"""Call routers as a customer's application does and check the answers."""

import asyncio
import dataclasses
import json

from arbutusvale import errors
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import ports
from arbutusvale.protocol import streaming_client

DONE = 'data: [DONE]'
EVENT_PREFIX = 'data: '


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Hold one answer of a router; status 0 when there was none.

    ``first_s`` is the time to the body's first piece.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    first_s: float
    total_s: float
    problem: str = ''

    def header(self, name: str) -> str:
        """Return a header's value, or an empty text."""
        return self.headers.get(name.lower(), '')

    @property
    def outcome(self) -> str:
        """Return what the router says became of the request."""
        return self.header(caller_api.OUTCOME)


@dataclasses.dataclass(frozen=True, slots=True)
class ChatReply:
    """Hold the answer to one turn of a chat.

    ``whole`` says that all tokens and the end marker came; ``own`` that
    the answer echoes the caller's message.
    """

    reply: Reply
    text: str
    whole: bool
    own: bool
    prompt_tokens: int
    cached_tokens: int
    tokens: int

    @property
    def answered(self) -> bool:
        """Tell whether a whole answer came."""
        return self.reply.status == 200 and self.whole


async def call(
    address: str,
    method: str,
    path: str,
    headers: list,
    body: bytes,
    timeout: float,
) -> Reply:
    """Send a request to a router and read its answer to the end."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    status, seen, pieces, problem = 0, {}, [], ''
    first_s = 0.0
    try:
        async for part in streaming_client.stream_response(
            address, method, path, headers, body, timeout
        ):
            if isinstance(part, ports.ServerResponseHead):
                status = part.status
                seen = {name.lower(): value for name, value in part.headers}
                continue
            first_s = first_s or loop.time() - began
            pieces.append(part)
    except (errors.ServerResponseError, errors.ServerUnreachable) as error:
        problem = error.problem
    total_s = loop.time() - began
    return Reply(status, seen, b''.join(pieces), first_s, total_s, problem)


async def chat(
    address: str,
    api_key: str,
    name: str,
    model: str,
    messages: list[dict],
    answer_tokens: int,
    timeout: float,
) -> ChatReply:
    """Send one turn of a chat, streaming, and check the answer."""
    document = {
        'model': model,
        'messages': messages,
        'stream': True,
        'stream_options': {'include_usage': True},
        'max_tokens': answer_tokens,
    }
    headers = [
        ['Authorization', f'Bearer {api_key}'],
        ['Content-Type', 'application/json'],
        [caller_api.CHAT_ID, name],
    ]
    body = json.dumps(document).encode()
    reply = await call(
        address, 'POST', caller_api.CHAT_PATH, headers, body, timeout
    )
    return _read_stream(reply, messages[-1]['content'])


def _read_stream(reply: Reply, wanted: str) -> ChatReply:
    """Read the server-sent events of an answer."""
    pieces: list[str] = []
    usage: dict = {}
    done = False
    lines = reply.body.decode(errors='replace').split('\n')
    for line in lines if reply.status == 200 else []:
        if line == DONE:
            done = True
        elif line.startswith(EVENT_PREFIX):
            event = json.loads(line.removeprefix(EVENT_PREFIX))
            usage = event.get('usage') or usage
            for choice in event.get('choices', []):
                pieces.append(choice['delta'].get('content', ''))
    text = ''.join(pieces)
    details = usage.get('prompt_tokens_details') or {}
    tokens = usage.get('completion_tokens', 0)
    return ChatReply(
        reply=reply,
        text=text,
        whole=done and not reply.problem and tokens == len(pieces),
        own=text.startswith(f'echo[{wanted}]'),
        prompt_tokens=usage.get('prompt_tokens', 0),
        cached_tokens=details.get('cached_tokens', 0),
        tokens=len(pieces),
    )


async def book(
    address: str,
    api_key: str,
    service: str,
    booking: str,
    token: str,
    timeout: float,
) -> Reply:
    """Send one booking under its own idempotency key."""
    headers = [
        ['Authorization', f'Bearer {api_key}'],
        ['Content-Type', 'application/json'],
        [caller_api.IDEMPOTENCY_KEY, booking],
    ]
    body = json.dumps({'booking': booking, 'token': token}).encode()
    path = f'{caller_api.SERVICES_PREFIX}{service}/bookings'
    return await call(address, 'POST', path, headers, body, timeout)


async def read(
    address: str, api_key: str, service: str, path: str, timeout: float
) -> Reply:
    """Call an idempotent route of a plain service."""
    headers = [['Authorization', f'Bearer {api_key}']]
    path = f'{caller_api.SERVICES_PREFIX}{service}{path}'
    return await call(address, 'GET', path, headers, b'', timeout)
