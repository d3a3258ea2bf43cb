"""Startup settings of an edge router."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """A TCP or UDP endpoint."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform's operators guarantee or require.

    A configuration not confirmed for ``contact_s`` counts as stale; changes
    must apply within ``config_apply_s``, or ``drain_s`` for draining
    servers; a process is killed ``grace_s`` after SIGTERM.
    ``retry_ratio`` and ``retry_reserve`` limit the retries of all routers in
    any ``retry_window_s``: ratio times the requests, plus the reserve.
    ``load_factor`` limits an engine's load to a multiple of its pool's mean.
    No request reaches an evacuated data centre after ``evacuation_s``; None
    where operators evacuate none.
    A cold server takes at most ``warmup_overage`` times the rate that its
    pool declares, and ``warmup_slack`` requests, in any second.
    """

    contact_s: float
    drain_s: float
    grace_s: float
    config_apply_s: float
    retry_ratio: float
    retry_window_s: float
    retry_reserve: float
    load_factor: float
    evacuation_s: float | None = None
    warmup_overage: float = 1.5
    warmup_slack: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeSettings:
    """The settings of one edge router.

    ``seeds`` are the addresses of up to three routers to contact first;
    ``peer_port`` is the port for traffic between routers, the same on every
    VM; ``link_mbit_per_s`` is the rate of the VM's network link, 0 if
    unknown.  ``max_sockets`` limits the sockets that the process may open.
    ``is_first_start`` means that the whole system starts for the first time.
    With ``pace_all_pools`` the servers of pools that declare no warm-up are
    paced after their start, too.
    """

    name: str
    data_centre: str
    host: str
    callers: Address
    readiness: Address
    store: Address
    seeds: tuple[Address, ...]
    peer_port: int
    metrics_port: int
    memory_bytes: int
    link_mbit_per_s: float
    max_sockets: int
    bounds: Bounds
    pace_all_pools: bool = False
    is_first_start: bool = False
