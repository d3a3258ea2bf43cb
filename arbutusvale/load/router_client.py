"""Client for the API of the routers, which checks the answers."""

import asyncio
import dataclasses
import json

from arbutusvale import errors
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import ports
from arbutusvale.protocol import streaming_client

DONE_EVENT = 'data: [DONE]'
EVENT_PREFIX = 'data: '


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer of a router; ``status`` is 0 if none arrived.

    ``first_byte_s`` and ``total_s`` count from sending the request to the
    first part of the body and to its end.  ``problem`` is the connection
    error that ended the answer, if any.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    first_byte_s: float
    total_s: float
    problem: str = ''

    def get_header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return self.headers.get(name.lower(), '')

    @property
    def outcome(self) -> str:
        """Outcome of the request as the router reports it in a header."""
        return self.get_header(caller_api.OUTCOME)


@dataclasses.dataclass(frozen=True, slots=True)
class ChatReply:
    """Parsed answer to one turn of a chat.

    ``complete`` is set if all tokens and the end marker arrived;
    ``echoes_message`` if the answer repeats the caller's message, as the
    stand-in engines do.  ``tokens`` counts the received chunks, one token
    each.  ``raw`` is the answer as received.
    """

    raw: Reply
    text: str
    complete: bool
    echoes_message: bool
    prompt_tokens: int
    cached_tokens: int
    tokens: int

    @property
    def answered(self) -> bool:
        """Whether a complete answer arrived."""
        return self.raw.status == 200 and self.complete


async def send_request(
    address: str,
    method: str,
    path: str,
    headers: list,
    body: bytes,
    timeout_s: float,
) -> Reply:
    """Send a request and read the whole answer.

    Connection errors end up in ``Reply.problem``; none is raised.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    status, response_headers, chunks, problem = 0, {}, [], ''
    first_byte_s = 0.0
    try:
        async for part in streaming_client.stream_response(
            address, method, path, headers, body, timeout_s
        ):
            if isinstance(part, ports.ServerResponseHead):
                status = part.status
                response_headers = {
                    name.lower(): value for name, value in part.headers
                }
                continue
            first_byte_s = first_byte_s or loop.time() - started_at
            chunks.append(part)
    except (errors.ServerResponseError, errors.ServerUnreachable) as error:
        problem = error.problem
    total_s = loop.time() - started_at
    return Reply(
        status,
        response_headers,
        b''.join(chunks),
        first_byte_s,
        total_s,
        problem,
    )


async def send_chat(
    address: str,
    api_key: str,
    chat_id: str,
    model: str,
    messages: list[dict],
    answer_tokens: int,
    timeout_s: float,
) -> ChatReply:
    """Send one turn of a chat, stream the answer and check it."""
    request = {
        'model': model,
        'messages': messages,
        'stream': True,
        'stream_options': {'include_usage': True},
        'max_tokens': answer_tokens,
    }
    headers = [
        ['Authorization', f'Bearer {api_key}'],
        ['Content-Type', 'application/json'],
        [caller_api.CHAT_ID, chat_id],
    ]
    body = json.dumps(request).encode()
    reply = await send_request(
        address, 'POST', caller_api.CHAT_PATH, headers, body, timeout_s
    )
    return _parse_event_stream(reply, messages[-1]['content'])


def _parse_event_stream(reply: Reply, message: str) -> ChatReply:
    """Parse the server-sent events of the answer to ``message``."""
    chunks: list[str] = []
    usage: dict = {}
    done_seen = False
    lines = reply.body.decode(errors='replace').split('\n')
    for line in lines if reply.status == 200 else []:
        if line == DONE_EVENT:
            done_seen = True
        elif line.startswith(EVENT_PREFIX):
            event = json.loads(line.removeprefix(EVENT_PREFIX))
            usage = event.get('usage') or usage
            for choice in event.get('choices', []):
                chunks.append(choice['delta'].get('content', ''))
    text = ''.join(chunks)
    details = usage.get('prompt_tokens_details') or {}
    tokens = usage.get('completion_tokens', 0)
    return ChatReply(
        raw=reply,
        text=text,
        complete=done_seen and not reply.problem and tokens == len(chunks),
        echoes_message=text.startswith(f'echo[{message}]'),
        prompt_tokens=usage.get('prompt_tokens', 0),
        cached_tokens=details.get('cached_tokens', 0),
        tokens=len(chunks),
    )


async def post_booking(
    address: str,
    api_key: str,
    service: str,
    booking: str,
    token: str,
    timeout_s: float,
) -> Reply:
    """Send a booking, a non-idempotent request, with its ID as the key.

    ``token`` is echoed in the answer and shows whose answer it is.
    """
    headers = [
        ['Authorization', f'Bearer {api_key}'],
        ['Content-Type', 'application/json'],
        [caller_api.IDEMPOTENCY_KEY, booking],
    ]
    body = json.dumps({'booking': booking, 'token': token}).encode()
    path = f'{caller_api.SERVICES_PREFIX}{service}/bookings'
    return await send_request(address, 'POST', path, headers, body, timeout_s)


async def send_read(
    address: str, api_key: str, service: str, path: str, timeout_s: float
) -> Reply:
    """Send a GET to an idempotent route of a plain service."""
    headers = [['Authorization', f'Bearer {api_key}']]
    path = f'{caller_api.SERVICES_PREFIX}{service}{path}'
    return await send_request(address, 'GET', path, headers, b'', timeout_s)
