"""Define the messages that travel on links between the fleet's processes.

Each message is a frozen data class; :mod:`arbutusvale.protocol.codec` turns
lists of them into CBOR frames.  Times are in seconds, sizes in bytes.
``attempt`` is unique per router incarnation and names one try of a request.
"""

import dataclasses
import enum


class Role(enum.StrEnum):
    """Tell which program speaks on a link."""

    ROUTER = 'router'
    SIDECAR = 'sidecar'


class VmState(enum.StrEnum):
    """Tell whether a VM takes new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    DOWN = 'down'


class Outcome(enum.StrEnum):
    """Tell a caller what became of its request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    QUARANTINED = 'quarantined'


class Refusal(enum.StrEnum):
    """Tell why a sidecar did not take an attempt; nothing was run."""

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
    """State the outstanding requests of one backend server.

    Between two entries of one VM the higher (incarnation, version) wins.
    """

    vm: str
    incarnation: int
    version: int
    load: int
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """State that ``vm`` last ran the chat with this digest."""

    chat: str
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """Open a link from the listening side."""

    vm: str
    incarnation: int
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Answer a challenge from the connecting side.

    ``expected_vm`` is the VM that the connecting side meant to reach.
    """

    vm: str
    incarnation: int
    role: str
    expected_vm: str
    nonce: bytes
    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """End the opening of a link; proves the listening side's key."""

    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Ask a sidecar to run one attempt of a request.

    ``chat`` is a hex digest, or empty; ``home`` is the chat's first choice
    of VM by the router's list; ``first_turn`` says that no engine can know
    the chat; ``key`` is the idempotency key, or empty; ``time_left`` counts
    to the caller's deadline; ``loads`` are loads seen on other answers.
    ``redirected`` says that a sidecar named this one as cache holder.
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
    """Confirm that the sidecar took the attempt."""

    attempt: str
    load: int
    mean_load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Decline an attempt, which will never run under this attempt id.

    ``alternatives`` are servers with room, least loaded first.
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
    """Send an attempt to another sidecar; it never runs here."""

    attempt: str
    vm: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Carry the status and headers of an answer."""

    attempt: str
    status: int
    headers: list


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Carry one piece of an answer's body, numbered from 0."""

    attempt: str
    number: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Close a whole answer; counts let the router check it."""

    attempt: str
    chunks: int
    total_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Close an accepted attempt that has no whole answer."""

    attempt: str
    outcome: str
    reason: str
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """Acknowledge every chunk below ``next_chunk``."""

    attempt: str
    next_chunk: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Withdraw an attempt whose caller is gone."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reattach:
    """Ask for an attempt's answer again from ``next_chunk`` on."""

    attempt: str
    next_chunk: int


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Tell a chat's home which VM ran it."""

    chat: str
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Locate:
    """Ask a pool mate which VM it knows to hold a chat."""

    query_id: int
    chat: str


@dataclasses.dataclass(frozen=True, slots=True)
class Located:
    """Answer a Locate; ``vm`` is empty when the chat is not known."""

    query_id: int
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolUpdate:
    """Gossip pool loads and quarantined fingerprints to a pool mate."""

    query_id: int
    reply_wanted: bool
    loads: list[Load]
    quarantined: list


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Pass directory entries on to the next homes during a drain."""

    placements: list[Placement]


@dataclasses.dataclass(frozen=True, slots=True)
class BundleHead:
    """Tell the offset of the bundle that is in force at the sender."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchBundle:
    """Ask a peer for the log records of its bundle."""

    query_id: int
    above_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class BundleCopy:
    """Answer a FetchBundle; ``record`` is empty when there is none newer."""

    query_id: int
    offset: int
    record: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CacheCopy:
    """Pass a chat's exported KV cache to its next home during a drain."""

    chat: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Ask the listening side of a link for a Pong with this number."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answer a Ping, so that the link carries bytes in both directions."""

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
