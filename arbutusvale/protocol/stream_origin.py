"""Messages by which edge routers share which version began a stream.

A message is one UDP datagram of JSON, like the other messages of peers.
"""

import dataclasses
import json

from arbutusvale import errors

_NOTICE_KIND = 'origin'
_QUERY_KIND = 'origin-query'
_MARK = b'{"kind":"origin'


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The pool and software version that began a stream.

    ``attempt_id`` is the caller's attempt that brought its first event.
    """

    attempt_id: str
    pool: str
    software_version: str


@dataclasses.dataclass(frozen=True, slots=True)
class OriginQuery:
    """A question for the origin of a stream; ``host`` gets the notice."""

    host: str
    attempt_id: str


OriginMessage = StreamOrigin | OriginQuery


def encode(message: OriginMessage) -> bytes:
    """Encode a message as a datagram; an origin is sent as a notice."""
    match message:
        case StreamOrigin(attempt_id, pool, software_version):
            document = {
                'kind': _NOTICE_KIND,
                'attempt': attempt_id,
                'pool': pool,
                'version': software_version,
            }
        case OriginQuery(host, attempt_id):
            document = {
                'kind': _QUERY_KIND,
                'attempt': attempt_id,
                'host': host,
            }
    return json.dumps(document, separators=(',', ':')).encode()


def decode(data: bytes) -> OriginMessage | None:
    """Decode a message; return None for one of another kind.

    Raise FrameError if it is malformed.
    """
    if not data.startswith(_MARK):
        return None
    try:
        document = json.loads(data)
        attempt_id = _check_string(document['attempt'])
        if document['kind'] == _QUERY_KIND:
            return OriginQuery(_check_string(document['host']), attempt_id)
        return StreamOrigin(
            attempt_id,
            _check_string(document['pool']),
            _check_string(document['version']),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise errors.FrameError(
            f'The message on a stream is malformed: {error!r}.'
        ) from error


def _check_string(value: object) -> str:
    """Return a non-empty string, or raise TypeError."""
    if not isinstance(value, str) or not value:
        raise TypeError('not a text')
    return value
