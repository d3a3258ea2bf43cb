"""Messages on the links between the processes of the fleet.

Each message is a frozen data class; :mod:`arbutusvale.protocol.codec` turns
lists of them into CBOR frames.  Times are in seconds, sizes in bytes.
An incarnation is the start time of a process in Unix milliseconds and tells
restarts apart.  ``attempt`` is the id of one attempt at a request, which
names the router and its incarnation.  ``query_id`` matches a reply to its
query.
"""

import dataclasses
import enum


class Role(enum.StrEnum):
    """The program at one end of a link."""

    ROUTER = 'router'
    SIDECAR = 'sidecar'


class VmState(enum.StrEnum):
    """Whether a VM accepts new requests."""

    LIVE = 'live'
    LEAVING = 'leaving'
    DOWN = 'down'


class Outcome(enum.StrEnum):
    """What happened to a request, as the caller sees it."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    QUARANTINED = 'quarantined'


class Refusal(enum.StrEnum):
    """Why a sidecar refused an attempt, which it did not run."""

    BUSY = 'busy'
    FULL = 'full'
    LEAVING = 'leaving'
    STALE_BUNDLE = 'stale-bundle'
    NOT_READY = 'not-ready'
    LOG_DOWN = 'log-down'
    KEY_REUSED = 'key-reused'
    EXPIRED = 'expired'
    DEAD_ATTEMPT = 'dead-attempt'
    SERVER_DOWN = 'server-down'


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The number of outstanding requests of one backend server.

    Of two entries for one VM the higher (incarnation, version) is newer.
    """

    vm: str
    incarnation: int
    version: int
    load: int
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The VM that last ran the chat with this digest."""

    chat: str
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First handshake message, from the listening side."""

    vm: str
    incarnation: int
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Reply to a Challenge, from the connecting side.

    ``expected_vm`` is the VM that the connecting side wants to reach.
    """

    vm: str
    incarnation: int
    role: str
    expected_vm: str
    nonce: bytes
    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Last handshake message; proves that the listener has the fleet key."""

    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """One attempt at a request, which the sidecar is to run.

    ``chat`` is a hex digest, or empty; ``home`` is the VM that rendezvous
    hashing ranks first for the chat, by the router's VM list;
    ``first_turn`` means that no engine can have cached the chat; ``key`` is
    the idempotency key, or empty; ``time_left`` is the time to the caller's
    deadline; ``hop`` counts the hops before this one, and ``last_hop``
    means that no other may follow; ``loads`` are loads that the router has
    recently received.  ``redirected`` means that another sidecar named this
    one as the holder of the chat's cache.
    """

    attempt: str
    request_id: str
    organisation: str
    service: str
    method: str
    path: str
    headers: list
    body: bytes
    chat: str
    home: str
    first_turn: bool
    key: str
    idempotent: bool
    fingerprint: bytes
    time_left: float
    priority: int
    bundle_offset: int
    hop: int
    last_hop: bool
    redirected: bool
    loads: list[Load]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The sidecar has admitted the attempt.

    ``load`` is that of its server, ``mean_load`` the mean of its pool.
    """

    attempt: str
    load: int
    mean_load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The sidecar has refused the attempt, which will never run under its id.

    ``alternatives`` are servers with free capacity, least loaded first.
    ``load`` is that of its server, ``mean_load`` the mean of its pool.
    """

    attempt: str
    reason: str
    detail: str
    retry_after: float
    load: int
    mean_load: float
    alternatives: list[Load]


@dataclasses.dataclass(frozen=True, slots=True)
class Redirect:
    """Reference to a sidecar to try instead; the attempt never runs here."""

    attempt: str
    vm: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The status and headers of a response."""

    attempt: str
    status: int
    headers: list


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A chunk of a response body; ``number`` counts from 0."""

    attempt: str
    number: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end of a complete response; the router checks the counts."""

    attempt: str
    chunks: int
    total_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The end of an accepted attempt without a complete response."""

    attempt: str
    outcome: str
    reason: str
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """Acknowledgement of all chunks below ``next_chunk``."""

    attempt: str
    next_chunk: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancellation of an attempt, as when its caller has disconnected."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reattach:
    """Request to send a response again, from ``next_chunk`` on."""

    attempt: str
    next_chunk: int


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Notice to the home VM of a chat that ``vm`` has run it."""

    chat: str
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Locate:
    """Query to a VM of the pool for the VM that last ran a chat."""

    query_id: int
    chat: str


@dataclasses.dataclass(frozen=True, slots=True)
class Located:
    """Reply to a Locate; ``vm`` is empty if the chat is unknown."""

    query_id: int
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolUpdate:
    """Gossip of loads and quarantined fingerprints within a pool."""

    query_id: int
    reply_wanted: bool
    loads: list[Load]
    quarantined: list


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Directory entries that a draining VM hands to the new home VMs."""

    placements: list[Placement]


@dataclasses.dataclass(frozen=True, slots=True)
class BundleHead:
    """The log offset of the bundle that is active at the sender."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchBundle:
    """Query for the active bundle if its offset is above ``above_offset``."""

    query_id: int
    above_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class BundleCopy:
    """Reply to a FetchBundle; ``record`` is empty if none is newer."""

    query_id: int
    offset: int
    record: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CacheCopy:
    """A chat's KV cache that a draining VM hands to the new home VM."""

    chat: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Liveness check; the listening side replies with the same number."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Reply to a Ping, so that bytes flow in both directions of the link."""

    number: int


Message = (
    Challenge
    | Hello
    | Welcome
    | Submit
    | Accepted
    | Refused
    | Redirect
    | Head
    | Chunk
    | End
    | Failed
    | Credit
    | Cancel
    | Reattach
    | Placed
    | Locate
    | Located
    | PoolUpdate
    | HandOver
    | BundleHead
    | FetchBundle
    | BundleCopy
    | CacheCopy
    | Ping
    | Pong
)
