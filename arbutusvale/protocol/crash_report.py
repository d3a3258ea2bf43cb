"""Messages by which edge routers share what was in flight at crashes.

A message is one UDP datagram of JSON, like the other messages of peers.
Ages stand for times, as routers have no common clock.
"""

import base64
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import json

from arbutusvale import errors

# Fits in one datagram at an MTU of 1,500 bytes.
MAX_BYTES = 1400
MAX_DIGESTS = 32
MAX_AGE_MS = 3_600_000
_MARK = b'{"kind":"crash'
_KIND = 'crash-report'


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Suspects of the crash of a server, ``age_ms`` ago.

    ``suspects`` and ``proven`` are digests of requests and prompt parts; the
    latter have been completed before.
    """

    incarnation: str
    age_ms: int
    suspects: tuple[bytes, ...]
    proven: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """A suspect that a server completed ``age_ms`` ago."""

    digest: bytes
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashMessage:
    """Evidence of one router; ``wants_reply`` asks for the receiver's."""

    host: str
    reports: tuple[CrashReport, ...] = ()
    completions: tuple[Completion, ...] = ()
    wants_reply: bool = False


def split(
    host: str,
    reports: Iterable[CrashReport],
    completions: Sequence[Completion],
    wants_reply: bool = False,
) -> Iterator[CrashMessage]:
    """Divide evidence into messages that fit in a datagram each."""
    for report in reports:
        for start in range(0, len(report.suspects), MAX_DIGESTS):
            suspects = report.suspects[start : start + MAX_DIGESTS]
            part = dataclasses.replace(
                report,
                suspects=suspects,
                proven=tuple(set(suspects).intersection(report.proven)),
            )
            yield CrashMessage(host, (part,), wants_reply=wants_reply)
    for start in range(0, len(completions), MAX_DIGESTS):
        yield CrashMessage(
            host,
            completions=tuple(completions[start : start + MAX_DIGESTS]),
            wants_reply=wants_reply,
        )


def encode(message: CrashMessage) -> bytes:
    """Encode a message as a datagram."""
    document = {
        'kind': _KIND,
        'host': message.host,
        'reply': message.wants_reply,
        'crashes': [
            [
                report.incarnation,
                report.age_ms,
                [_encode_digest(digest) for digest in report.suspects],
                [_encode_digest(digest) for digest in report.proven],
            ]
            for report in message.reports
        ],
        'completed': [
            [_encode_digest(completion.digest), completion.age_ms]
            for completion in message.completions
        ],
    }
    return json.dumps(document, separators=(',', ':')).encode()


def decode(data: bytes) -> CrashMessage | None:
    """Decode a message; return None for one of another kind.

    Raise FrameError if it is malformed.
    """
    if not data.startswith(_MARK):
        return None
    try:
        document = json.loads(data)
        return CrashMessage(
            host=_check_string(document['host']),
            reports=tuple(
                CrashReport(
                    _check_string(incarnation),
                    _check_age(age_ms),
                    tuple(_decode_digest(text) for text in suspects),
                    tuple(_decode_digest(text) for text in proven),
                )
                for incarnation, age_ms, suspects, proven in document[
                    'crashes'
                ]
            ),
            completions=tuple(
                Completion(_decode_digest(text), _check_age(age_ms))
                for text, age_ms in document['completed']
            ),
            wants_reply=document['reply'] is True,
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise errors.FrameError(
            f'The report of a crash is malformed: {error!r}.'
        ) from error


def _encode_digest(digest: bytes) -> str:
    """Return a digest as text."""
    return base64.b64encode(digest).decode()


def _decode_digest(text: object) -> bytes:
    """Return the digest in a text; raise TypeError or ValueError."""
    return base64.b64decode(_check_string(text), validate=True)


def _check_string(value: object) -> str:
    """Return a non-empty string, or raise TypeError."""
    if not isinstance(value, str) or not value:
        raise TypeError('not a text')
    return value


def _check_age(value: object) -> int:
    """Return an age within bounds, or raise TypeError."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError('not an age')
    if not 0 <= value <= MAX_AGE_MS:
        raise TypeError('not an age within an hour')
    return value
