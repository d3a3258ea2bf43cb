"""Read what routing has to know of a chat completion's body."""

import dataclasses
import hashlib
import json

from arbutusvale.protocol import callerapi
from arbutusvale.protocol import messages

_DIGEST_LENGTH = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Chat:
    """Hold what routing has to know of a chat completion's body."""

    model: str
    messages: list
    streams: bool


def read_chat(body: bytes) -> Chat | callerapi.ErrorAnswer:
    """Read the body of a chat completion."""
    try:
        document = json.loads(body)
    except ValueError:
        return malformed('The body is not JSON.')
    if not isinstance(document, dict):
        return malformed('The body is not a JSON object.')
    model = document.get('model')
    turns = document.get('messages')
    if not isinstance(model, str):
        return malformed('The field "model" is not a text.')
    if not isinstance(turns, list) or not turns:
        return malformed('The field "messages" is not a filled list.')
    if not all(isinstance(turn, dict) for turn in turns):
        return malformed('The field "messages" holds more than objects.')
    return Chat(model, turns, document.get('stream') is True)


def digest_chat(chat_id: str, organisation: str, chat: Chat) -> str:
    """Digest a chat's id, or without one its first messages."""
    named: list = [organisation, 'id', chat_id]
    if not chat_id:
        system = [m for m in chat.messages if _role(m) == 'system'][:1]
        user = [m for m in chat.messages if _role(m) == 'user'][:1]
        named = [organisation, 'text', chat.model, system, user]
    text = json.dumps(named, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_LENGTH]


def is_first_turn(chat: Chat) -> bool:
    """Tell whether no engine has answered in this chat yet."""
    return not any(_role(item) == 'assistant' for item in chat.messages)


def _role(message: dict) -> str:
    """Return the role of a message."""
    return str(message.get('role', ''))


def malformed(problem: str) -> callerapi.ErrorAnswer:
    """Answer a request that cannot be understood."""
    return callerapi.ErrorAnswer(
        400,
        'malformed',
        f'{problem} Correct it and send again.',
        messages.Outcome.NOT_RUN.value,
    )
