"""Gossip messages between edge routers, and their encoding.

A message is one UDP datagram; a lost one costs efficiency only.  It is
JSON, as a CBOR codec would take 1 MB of memory in each router.
"""

import dataclasses
import json
import math

from arbutusvale import errors

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
class PeerMessage:
    """One message of a router.

    ``offsets`` are the offsets up to which the sender has read the store's
    topics, and ``eras`` those of the offsets, as far as known.  ``loads``
    counts its requests in flight by server id.  ``peers`` are IP addresses
    of routers that sent to it recently.  ``incarnation`` differs after
    each start; it is None from a router of an earlier build.  ``demand``
    has its callers' requests a second, by pool, for pools that get full.
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
    demand: dict[str, float] = dataclasses.field(default_factory=dict)


def encode(message: PeerMessage) -> bytes:
    """Encode a message as a datagram."""
    return json.dumps(
        {
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
            **({'demand': message.demand} if message.demand else {}),
        },
        separators=(',', ':'),
    ).encode()


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
            demand=_check_rates(document.get('demand', {})),
        )
    except (
        ValueError, KeyError, TypeError, AttributeError, RecursionError,
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
        if isinstance(rate, bool) or not isinstance(rate, int | float):
            raise TypeError('not a rate')
        if not math.isfinite(rate) or rate < 0:
            raise TypeError('not a rate')
    return value


def _check_integer(value: object) -> int:
    """Return an integer, or raise TypeError."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError('not a count')
    return value


def _check_optional_integer(value: object) -> int | None:
    """Return an integer or None, or raise TypeError."""
    return None if value is None else _check_integer(value)
