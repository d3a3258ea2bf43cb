"""Gossip messages between edge routers, and their encoding.

A message is one UDP datagram; a lost one costs efficiency only.  It is
JSON, as a CBOR codec would take 1 MB of memory in each router.
"""

import dataclasses
import json

from arbutusvale import errors
from arbutusvale.protocol import numeric

# Fits in one datagram at an MTU of 1,500 bytes.
MAX_BYTES = 1400
_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class CacheLocation:
    """An engine that has a prompt in its cache, or is reading it."""

    prompt: str
    server_id: str
    is_reading: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A request, by fingerprint, that was in flight at crashes.

    ``crashes`` are crash ids; ``cleared`` are those after which a server
    completed the request.
    """

    fingerprint: bytes
    crashes: tuple[str, ...]
    cleared: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingServer:
    """A server that says that it leaves; its start is in Unix ms."""

    server_id: str
    started_at_ms: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedDataCentre:
    """An evacuated data centre, and the position of its record."""

    name: str
    era: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolAnnouncement:
    """What a router tells of a pool whose servers may be cold.

    ``demand`` is its requests a second, ``kept`` the fraction of its parts of
    cold servers' rates that it doesn't lend to others.
    """

    demand: float
    kept: float


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedNews:
    """What a router has lately learned of a server's speed.

    ``slowdown`` is 1.0 if work takes as long as usual.  It is the mean of
    ``calls`` calls, or what the server told if that is 0.
    """

    server_id: str
    slowdown: float
    calls: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """One message of a router.

    ``offsets`` are the offsets up to which the sender has read the store's
    topics, and ``eras`` those of the offsets, as far as known.  ``loads``
    counts its requests in flight by server id.  ``peers`` are IP addresses
    of routers that sent to it recently.  ``incarnation`` differs after
    each start; it is None from a router of an earlier build.
    ``prompt_loads`` are the requests in flight that prompt parts ask for at
    the sender.  ``demand`` has its callers' requests a second, by pool, for
    pools that get full.
    """

    name: str
    host: str
    offsets: dict[str, int]
    loads: dict[str, int]
    peers: tuple[str, ...]
    cache_locations: tuple[CacheLocation, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    leaving: bool = False
    eras: dict[str, int] = dataclasses.field(default_factory=dict)
    leaving_servers: tuple[LeavingServer, ...] = ()
    incarnation: int | None = None
    evacuated: tuple[EvacuatedDataCentre, ...] = ()
    warmups: dict[str, PoolAnnouncement] = dataclasses.field(
        default_factory=dict
    )
    speeds: tuple[SpeedNews, ...] = ()
    prompt_loads: dict[str, float] = dataclasses.field(default_factory=dict)
    demand: dict[str, float] = dataclasses.field(default_factory=dict)


def encode(message: PeerMessage) -> bytes:
    """Encode a message as a datagram."""
    document = {
        'v': _VERSION,
        'name': message.name,
        'host': message.host,
        'at': message.offsets,
        'load': message.loads,
        'peers': message.peers,
        'places': [
            [location.prompt, location.server_id]
            for location in message.cache_locations
            if not location.is_reading
        ],
        'reading': [
            [location.prompt, location.server_id]
            for location in message.cache_locations
            if location.is_reading
        ],
        'suspects': [
            [
                suspicion.fingerprint.hex(),
                suspicion.crashes,
                suspicion.cleared,
            ]
            for suspicion in message.suspicions
        ],
        'leaving': message.leaving,
        'eras': message.eras,
        'servers_leaving': [
            [server.server_id, server.started_at_ms, server.address]
            for server in message.leaving_servers
        ],
        'run': message.incarnation,
    }
    if message.evacuated:
        document['evacuated'] = [
            [data_centre.name, data_centre.era, data_centre.offset]
            for data_centre in message.evacuated
        ]
    if message.warmups:
        document['warm'] = {
            pool: [round(announced.demand, 2), announced.kept]
            for pool, announced in message.warmups.items()
        }
    if message.speeds:
        document['speeds'] = [
            [news.server_id, round(news.slowdown * 100), news.calls]
            for news in message.speeds
        ]
    if message.prompt_loads:
        document['prompts'] = {
            prompt: round(load * 100)
            for prompt, load in message.prompt_loads.items()
        }
    if message.demand:
        document['demand'] = message.demand
    return json.dumps(document, separators=(',', ':')).encode()


def decode(data: bytes) -> PeerMessage:
    """Decode a message; raise FrameError if it is malformed."""
    try:
        document = json.loads(data)
        if document['v'] != _VERSION:
            raise errors.FrameError('The message has another version.')
        return PeerMessage(
            name=_check_string(document['name']),
            host=_check_string(document['host']),
            offsets=_check_counts(document['at']),
            loads=_check_counts(document['load']),
            peers=_check_strings(document['peers']),
            cache_locations=(
                *_read_locations(document['places'], False),
                *_read_locations(document.get('reading', ()), True),
            ),
            suspicions=tuple(
                Suspicion(
                    bytes.fromhex(_check_string(fingerprint)),
                    _check_strings(crashes),
                    _check_strings(cleared),
                )
                for fingerprint, crashes, cleared in document['suspects']
            ),
            leaving=document['leaving'] is True,
            eras=_check_counts(document.get('eras', {})),
            leaving_servers=tuple(
                LeavingServer(
                    _check_string(server_id),
                    _check_integer(started_at_ms),
                    _check_string(address),
                )
                for server_id, started_at_ms, address in document.get(
                    'servers_leaving', ()
                )
            ),
            incarnation=_check_optional_integer(document.get('run')),
            evacuated=tuple(
                EvacuatedDataCentre(
                    _check_string(name),
                    _check_integer(era),
                    _check_integer(offset),
                )
                for name, era, offset in document.get('evacuated', ())
            ),
            warmups={
                _check_string(pool): PoolAnnouncement(
                    _check_number(demand), min(1.0, _check_number(kept))
                )
                for pool, (demand, kept) in document.get('warm', {}).items()
            },
            speeds=tuple(
                SpeedNews(
                    _check_string(server_id),
                    _check_integer(percent) / 100,
                    _check_integer(calls),
                )
                for server_id, percent, calls in document.get('speeds', ())
            ),
            prompt_loads={
                prompt: load / 100
                for prompt, load in _check_counts(
                    document.get('prompts', {})
                ).items()
            },
            demand=_check_rates(document.get('demand', {})),
        )
    except (
        ValueError, KeyError, TypeError, AttributeError, RecursionError,
        OverflowError,
    ) as error:  # fmt: skip
        raise errors.FrameError(
            f'The message is malformed: {error!r}.'
        ) from error


def _read_locations(
    rows: list[list[str]], is_reading: bool
) -> list[CacheLocation]:
    """Return cache locations, or raise TypeError or ValueError."""
    return [
        CacheLocation(
            _check_string(prompt), _check_string(server_id), is_reading
        )
        for prompt, server_id in rows
    ]


def _check_string(value: object) -> str:
    """Return a string, or raise TypeError."""
    if not isinstance(value, str):
        raise TypeError('not a text')
    return value


def _check_strings(value: object) -> tuple[str, ...]:
    """Return a list of strings as a tuple, or raise TypeError."""
    if not isinstance(value, list):
        raise TypeError('not a list')
    return tuple(_check_string(item) for item in value)


def _check_counts(value: object) -> dict[str, int]:
    """Return a map from strings to integers, or raise TypeError."""
    if not isinstance(value, dict):
        raise TypeError('not an object')
    for count in value.values():
        _check_integer(count)
    return value


def _check_rates(value: object) -> dict[str, float]:
    """Return a map from strings to rates, or raise TypeError."""
    if not isinstance(value, dict):
        raise TypeError('not an object')
    for rate in value.values():
        if not numeric.is_finite(rate) or rate < 0:
            raise TypeError('not a rate')
    return value


def _check_integer(value: object) -> int:
    """Return an integer, or raise TypeError."""
    return numeric.check_whole(value)


def _check_number(value: object) -> float:
    """Return a finite number from 0 on, or raise TypeError."""
    if not numeric.is_finite(value) or value < 0:
        raise TypeError('not a number')
    return float(value)


def _check_optional_integer(value: object) -> int | None:
    """Return an integer or None, or raise TypeError."""
    return None if value is None else _check_integer(value)
