"""Parsing of chat completion bodies, as far as routing needs them."""

import dataclasses
import hashlib
import json

from arbutusvale.protocol import caller_api
from arbutusvale.protocol import messages
from arbutusvale.state import suspects

_DIGEST_LENGTH = 32
_MAX_DIGESTED_MESSAGES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ChatBody:
    """The fields of a chat completion's body that routing needs."""

    model: str
    messages: list
    streams: bool


def parse_chat(body: bytes) -> ChatBody | caller_api.ErrorResponse:
    """Parse the body of a chat completion."""
    try:
        document = json.loads(body)
    except ValueError:
        return malformed_error('The body is not JSON.')
    if not isinstance(document, dict):
        return malformed_error('The body is not a JSON object.')
    model = document.get('model')
    turns = document.get('messages')
    if not isinstance(model, str):
        return malformed_error('The field "model" is not a text.')
    if not isinstance(turns, list) or not turns:
        return malformed_error('The field "messages" is not a filled list.')
    if not all(isinstance(turn, dict) for turn in turns):
        return malformed_error('The field "messages" holds more than objects.')
    return ChatBody(model, turns, document.get('stream') is True)


def digest_chat(chat_id: str, organisation: str, chat: ChatBody) -> str:
    """Digest a chat's id or, without one, its first messages.

    The digest is scoped to the organisation.
    """
    identity: list = [organisation, 'id', chat_id]
    if not chat_id:
        system = [m for m in chat.messages if _role(m) == 'system'][:1]
        user = [m for m in chat.messages if _role(m) == 'user'][:1]
        identity = [organisation, 'text', chat.model, system, user]
    text = json.dumps(identity, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_LENGTH]


def digest_messages(organisation: str, body: bytes) -> tuple[bytes, ...]:
    """Digest the messages of a chat but the last, which is the turn's own.

    The digests are scoped to organisation and model; a body that is no chat
    has none.
    """
    chat = parse_chat(body)
    if isinstance(chat, caller_api.ErrorResponse):
        return ()
    return tuple(
        dict.fromkeys(
            suspects.digest_message(
                json.dumps(
                    [organisation, chat.model, message], sort_keys=True
                ).encode()
            )
            for message in chat.messages[:-1][:_MAX_DIGESTED_MESSAGES]
        )
    )


def is_first_turn(chat: ChatBody) -> bool:
    """Return whether no engine has answered in this chat yet."""
    return not any(_role(item) == 'assistant' for item in chat.messages)


def _role(message: dict) -> str:
    """Return the role of a message."""
    return str(message.get('role', ''))


def malformed_error(problem: str) -> caller_api.ErrorResponse:
    """Return the error for a request that is malformed."""
    return caller_api.ErrorResponse(
        400,
        'malformed',
        f'{problem} Correct it and send again.',
        messages.Outcome.NOT_RUN.value,
    )
