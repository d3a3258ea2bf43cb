"""Status that a process reports at its admin port, as JSON."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BundleStatus:
    """Log offset, version and digest of the active bundle."""

    offset: int
    version: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkStatus:
    """Bytes on all links since the process started.

    ``control_by_kind`` has the sent control bytes by message class.
    """

    control_bytes_sent: int
    control_bytes_received: int
    control_by_kind: dict[str, int]
    request_bytes_sent: int
    request_bytes_received: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformStatus:
    """Bytes exchanged with the platform, by the service called."""

    sent: dict[str, int]
    received: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class RouterStatus:
    """Status of a router."""

    vm: str
    role: str
    data_centre: str
    incarnation: int
    ready: bool
    bundle: BundleStatus | None
    links: LinkStatus
    platform: PlatformStatus
    active: int
    outcomes: dict[str, int]
    retries: int
    redirects: int
    hedges: int


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarStatus:
    """Status of a sidecar.

    ``claim_window_s`` is how long a claim protects its key; 0 until the log
    has reported its retention.
    """

    vm: str
    role: str
    data_centre: str
    pool: str
    incarnation: int
    ready: bool
    bundle: BundleStatus | None
    links: LinkStatus
    platform: PlatformStatus
    load: int
    mean_load: float
    directory_entries: int
    claims_ready: bool
    claim_window_s: float
    quarantined: int
