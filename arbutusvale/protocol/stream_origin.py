"""Messages by which edge routers find which version began a stream.

A message is one UDP datagram of JSON, like the other messages of peers.
"""

import dataclasses
import json

from arbutusvale import errors
from arbutusvale.protocol import numeric

_NOTICE_KIND = 'origin'
_QUERY_KIND = 'origin-query'
_HOLDER_QUERY_KIND = 'origin-holder-query'
_HOLDER_ANSWER_KIND = 'origin-holders'
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


@dataclasses.dataclass(frozen=True, slots=True)
class HolderQuery:
    """A question how much of a prompt part some servers have cached.

    ``query_id`` tells the queries of ``host``, which gets the answer.
    """

    host: str
    query_id: int
    model: str
    part: str
    server_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HolderAnswer:
    """The tokens of a part by id of the servers that told.

    ``host`` is that of the answering router.
    """

    host: str
    query_id: int
    counts: dict[str, int]


OriginMessage = StreamOrigin | OriginQuery | HolderQuery | HolderAnswer


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
        case HolderQuery(host, query_id, model, part, server_ids):
            document = {
                'kind': _HOLDER_QUERY_KIND,
                'host': host,
                'query': query_id,
                'model': model,
                'part': part,
                'servers': server_ids,
            }
        case HolderAnswer(host, query_id, counts):
            document = {
                'kind': _HOLDER_ANSWER_KIND,
                'host': host,
                'query': query_id,
                'counts': counts,
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
        if document['kind'] == _HOLDER_QUERY_KIND:
            return HolderQuery(
                _check_string(document['host']),
                _check_count(document['query']),
                str(document['model']),
                _check_string(document['part']),
                tuple(map(_check_string, document['servers'])),
            )
        if document['kind'] == _HOLDER_ANSWER_KIND:
            return HolderAnswer(
                _check_string(document['host']),
                _check_count(document['query']),
                {
                    _check_string(server_id): _check_count(count)
                    for server_id, count in document['counts'].items()
                },
            )
        attempt_id = _check_string(document['attempt'])
        if document['kind'] == _QUERY_KIND:
            return OriginQuery(_check_string(document['host']), attempt_id)
        return StreamOrigin(
            attempt_id,
            _check_string(document['pool']),
            _check_string(document['version']),
        )
    except (
        ValueError, KeyError, TypeError, AttributeError, RecursionError,
    ) as error:  # fmt: skip
        raise errors.FrameError(
            f'The message on a stream is malformed: {error!r}.'
        ) from error


def _check_string(value: object) -> str:
    """Return a non-empty string, or raise TypeError."""
    if not isinstance(value, str) or not value:
        raise TypeError('not a text')
    return value


def _check_count(value: object) -> int:
    """Return an integer, or raise TypeError."""
    return numeric.check_whole(value)
