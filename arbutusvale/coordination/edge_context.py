"""Shared state and dependencies of all requests of an edge router."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import time

from arbutusvale.coordination import config_view
from arbutusvale.coordination import crash_tracker
from arbutusvale.coordination import edge_shutdown
from arbutusvale.coordination import holder_exchange
from arbutusvale.coordination import origin_exchange
from arbutusvale.coordination import outlier_detection
from arbutusvale.coordination import peers
from arbutusvale.coordination import retries
from arbutusvale.coordination import server_pacing
from arbutusvale.protocol import edge_ports
from arbutusvale.protocol import edge_settings
from arbutusvale.state import byte_budget
from arbutusvale.state import caller_deadlines
from arbutusvale.state import edge_metrics
from arbutusvale.state import event_log
from arbutusvale.state import link_queue
from arbutusvale.state import organisation_usage
from arbutusvale.state import pool_demand
from arbutusvale.state import pool_room
from arbutusvale.state import pool_waiters
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import prompt_loads
from arbutusvale.state import rendezvous
from arbutusvale.state import server_limits
from arbutusvale.state import server_list
from arbutusvale.state import server_loads
from arbutusvale.state import server_pauses
from arbutusvale.state import server_speeds
from arbutusvale.state import service_times


@dataclasses.dataclass(slots=True)
class EdgeContext:
    """The state and ports that requests use.

    ``store_age_s`` returns the seconds since the configuration was last
    confirmed to be current; ``confirm_server_list`` reads the server list anew
    and returns whether that succeeded in time.
    ``last_received_at`` has the time at which a server last sent anything, by
    its id.  ``announce_limits`` tells peers soon of a server's limit, and
    ``load_age_s`` returns how old the counts of other routers get, in s.
    """

    settings: edge_settings.EdgeSettings
    codec: edge_ports.HttpCodec
    connection_pool: edge_ports.ServerConnectionPool
    config: config_view.ConfigView
    servers: server_list.ServerList
    loads: server_loads.ServerLoads
    pauses: server_pauses.ServerPauses
    limits: server_limits.ServerLimits
    pacer: server_pacing.ServerPacer
    speeds: server_speeds.ServerSpeeds
    prompts: prompt_cache_index.PromptCacheIndex
    prompt_loads: prompt_loads.PromptLoads
    outlier_detector: outlier_detection.OutlierDetector
    crashes: crash_tracker.CrashTracker
    metrics: edge_metrics.EdgeMetrics
    events: event_log.EventLog
    generator: random.Random
    clock: Callable[[], float]
    peers: peers.Peers
    origins: origin_exchange.OriginExchange
    holders: holder_exchange.HolderExchange
    store_age_s: Callable[[], float]
    confirm_server_list: Callable[[], Awaitable[bool]]
    link_queue: link_queue.LinkQueue
    latency_estimator: service_times.LatencyEstimator
    announce_limits: Callable[[], None]
    load_age_s: Callable[[], float]
    rooms: pool_room.PoolRooms = dataclasses.field(
        default_factory=lambda: pool_room.PoolRooms(time.monotonic)
    )
    retry_budgets: dict[str, retries.WindowedRetryBudget] = dataclasses.field(
        default_factory=dict
    )
    rankings: dict[
        tuple[str, str | None], tuple[list[str], rendezvous.Ranking]
    ] = dataclasses.field(default_factory=dict)
    last_received_at: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    in_flight: organisation_usage.OrganisationUsage = dataclasses.field(
        default_factory=organisation_usage.OrganisationUsage
    )
    typical_service_times: service_times.ServiceTimes = dataclasses.field(
        default_factory=service_times.ServiceTimes
    )
    # Seconds from sending a request until its whole response, by route.
    run_times: service_times.RunTimes = dataclasses.field(
        default_factory=service_times.RunTimes
    )
    # Seconds for one token of a prompt until the first byte, by pool.
    reading_times: service_times.ServiceTimes = dataclasses.field(
        default_factory=service_times.ServiceTimes
    )
    # Seconds until the first byte on a server that works as usual, by route.
    first_event_times: service_times.ServiceTimes = dataclasses.field(
        default_factory=service_times.ServiceTimes
    )
    admission_rates: pool_demand.AdmissionRates = dataclasses.field(
        default_factory=pool_demand.AdmissionRates
    )
    usual_deadlines: caller_deadlines.CallerDeadlines = dataclasses.field(
        default_factory=caller_deadlines.CallerDeadlines
    )
    waiters: pool_waiters.PoolWaiters = dataclasses.field(
        default_factory=pool_waiters.PoolWaiters
    )
    demand: pool_demand.PoolDemand = dataclasses.field(
        default_factory=pool_demand.PoolDemand
    )
    # Until when this router works; None unless it was told to stop.
    work_limits: edge_shutdown.WorkLimits | None = None

    # What is in memory for callers and servers.
    held: byte_budget.ByteBudget = dataclasses.field(
        default_factory=byte_budget.ByteBudget
    )

    def retry_budget(self, pool: str) -> retries.WindowedRetryBudget:
        """Return the retry budget of a pool."""
        if pool not in self.retry_budgets:
            bounds = self.settings.bounds
            self.retry_budgets[pool] = retries.WindowedRetryBudget(
                bounds.retry_ratio,
                bounds.retry_reserve,
                bounds.retry_window_s,
                self.clock,
                self.peers.census,
            )
        return self.retry_budgets[pool]

    def ranking(
        self,
        pool: str,
        names: list[str],
        software_version: str | None = None,
    ) -> rendezvous.Ranking:
        """Return a pool's rendezvous ranking, cached while it is the same."""
        key = (pool, software_version)
        cached = self.rankings.get(key)
        if cached is None or cached[0] != names:
            cached = (names, rendezvous.Ranking(names, vectorise=False))
            self.rankings[key] = cached
        return cached[1]

    def forget_server(self, server_id: str) -> None:
        """Drop the state of a server that left the list."""
        self.prompts.remove_engine(server_id)
        self.last_received_at.pop(server_id, None)
        self.limits.forget(server_id)
        self.speeds.forget(server_id)
        self.outlier_detector.prune(set(self.servers.by_id))
