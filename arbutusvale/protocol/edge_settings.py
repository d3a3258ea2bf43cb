"""Define the settings that an edge router is started with."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Name a TCP or UDP endpoint by IP number and port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the limits that the operators of the platform promise or demand.

    ``retry_ratio`` and ``retry_reserve`` bound the repeats of all routers in
    any ``retry_window_s``: ratio times the requests, plus the reserve.
    ``load_factor`` bounds an engine's load by a multiple of its pool's mean.
    """

    contact_s: float
    drain_s: float
    grace_s: float
    config_apply_s: float
    retry_ratio: float
    retry_window_s: float
    retry_reserve: float
    load_factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeSettings:
    """Hold what an edge router knows at its start.

    ``seeds`` are the addresses of up to three routers; ``peer_port`` is the
    port that routers use among themselves, the same on every VM;
    ``link_mbit_per_s`` is the rate of the VM's link, 0 if it isn't told.
    ``max_sockets`` is the number of sockets that the process may hold open.
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
