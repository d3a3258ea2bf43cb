"""Define what a process tells operators about itself."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BundleStatus:
    """Name the bundle in force by its log offset, version and digest."""

    offset: int
    version: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkStatus:
    """Count the bytes on all links since the start.

    ``control_by_kind`` splits the control bytes sent by message class.
    """

    control_bytes_sent: int
    control_bytes_received: int
    control_by_kind: dict[str, int]
    request_bytes_sent: int
    request_bytes_received: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformStatus:
    """Count the bytes exchanged with the platform, by what was called."""

    sent: dict[str, int]
    received: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class RouterStatus:
    """Describe a router."""

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
    """Describe a sidecar.

    ``claim_window_s`` is how long a claim protects its key; 0 when the log
    has not told it yet.
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
