"""Messages by which edge routers share the limits that servers name.

A message is one UDP datagram of JSON, like the other messages of peers.
Ages stand for times, as routers have no common clock.
"""

import dataclasses
import json

from arbutusvale import errors
from arbutusvale.protocol import numeric

MAX_LIMITS = 12
MAX_AGE_MS = 3_600_000
_MARK = b'{"kind":"server-limits'
_KIND = 'server-limits'


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """A server's limit in requests a second, None for one that ended.

    It was observed ``age_ms`` ago.
    """

    server_id: str
    started_at_ms: int
    pool: str
    rate: float | None
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PaceEvidence:
    """A router's good and bad answers of a paced server, since its start."""

    server_id: str
    started_at_ms: int
    pool: str
    good: int
    bad: int


@dataclasses.dataclass(frozen=True, slots=True)
class LimitMessage:
    """Limits that a router knows, and its demand in requests a second.

    ``paces`` is what it knows of paced servers.
    """

    host: str
    demand: dict[str, float]
    limits: tuple[NamedLimit, ...]
    paces: tuple[PaceEvidence, ...] = ()


def encode(message: LimitMessage) -> bytes:
    """Encode a message as a datagram."""
    document = {
        'kind': _KIND,
        'host': message.host,
        'demand': {
            pool: round(rate, 3) for pool, rate in message.demand.items()
        },
        'limits': [
            [
                limit.server_id,
                limit.started_at_ms,
                limit.pool,
                limit.rate,
                limit.age_ms,
            ]
            for limit in message.limits
        ],
    }
    if message.paces:
        document['paces'] = [
            [
                pace.server_id,
                pace.started_at_ms,
                pace.pool,
                pace.good,
                pace.bad,
            ]
            for pace in message.paces
        ]
    return json.dumps(document, separators=(',', ':')).encode()


def decode(data: bytes) -> LimitMessage | None:
    """Decode a message; return None for one of another kind.

    Raise FrameError if it is malformed.
    """
    if not data.startswith(_MARK):
        return None
    try:
        document = json.loads(data)
        return LimitMessage(
            _check_string(document['host']),
            {
                _check_string(pool): _check_rate(rate)
                for pool, rate in document['demand'].items()
            },
            tuple(
                NamedLimit(
                    _check_string(server_id),
                    _check_integer(started_at_ms),
                    _check_string(pool),
                    None if rate is None else _check_rate(rate),
                    min(MAX_AGE_MS, _check_integer(age_ms)),
                )
                for server_id, started_at_ms, pool, rate, age_ms in document[
                    'limits'
                ]
            ),
            tuple(
                PaceEvidence(
                    _check_string(server_id),
                    _check_integer(started_at_ms),
                    _check_string(pool),
                    _check_integer(good),
                    _check_integer(bad),
                )
                for server_id, started_at_ms, pool, good, bad in document.get(
                    'paces', ()
                )
            ),
        )
    except (
        ValueError, KeyError, TypeError, AttributeError, RecursionError,
    ) as error:  # fmt: skip
        raise errors.FrameError(
            f'The message on limits is malformed: {error!r}.'
        ) from error


def _check_string(value: object) -> str:
    """Return a non-empty string, or raise TypeError."""
    if not isinstance(value, str) or not value:
        raise TypeError('not a text')
    return value


def _check_integer(value: object) -> int:
    """Return an integer from 0 on, or raise TypeError."""
    if not numeric.is_whole(value) or value < 0:
        raise TypeError('not a count')
    return value


def _check_rate(value: object) -> float:
    """Return a finite number from 0 on, or raise TypeError."""
    if not numeric.is_finite(value) or value < 0:
        raise TypeError('not a rate')
    return float(value)
