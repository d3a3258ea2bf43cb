"""Hold what all requests of one edge router share."""

from collections.abc import Callable
import dataclasses
import random

from arbutusvale.coordination import configview
from arbutusvale.coordination import crashwatch
from arbutusvale.coordination import outlier_detection
from arbutusvale.coordination import peers
from arbutusvale.coordination import retries
from arbutusvale.protocol import edgeports
from arbutusvale.protocol import vmsettings
from arbutusvale.state import edgemeasures
from arbutusvale.state import eventlog
from arbutusvale.state import holdings
from arbutusvale.state import linkload
from arbutusvale.state import pooldemand
from arbutusvale.state import pooltimes
from arbutusvale.state import promptmap
from arbutusvale.state import rendezvous
from arbutusvale.state import serverlist
from arbutusvale.state import serverloads


@dataclasses.dataclass(slots=True)
class EdgeContext:
    """Wire the state and the ports that a request needs.

    ``store_age_s`` returns the time since the configuration was known to
    be current, in seconds.
    """

    settings: vmsettings.EdgeSettings
    wire: edgeports.Wire
    connector: edgeports.ServerConnector
    config: configview.ConfigView
    servers: serverlist.ServerList
    loads: serverloads.ServerLoads
    prompts: promptmap.PromptMap
    outlier_detector: outlier_detection.OutlierDetector
    crashes: crashwatch.CrashWatch
    measures: edgemeasures.EdgeMeasures
    events: eventlog.EventLog
    generator: random.Random
    clock: Callable[[], float]
    peers: peers.Peers
    store_age_s: Callable[[], float]
    link: linkload.LinkLoad
    throughput: pooltimes.Throughput
    retry_budgets: dict[str, retries.WindowedRetryBudget] = dataclasses.field(
        default_factory=dict
    )
    rankings: dict[str, tuple[int, rendezvous.Ranking]] = dataclasses.field(
        default_factory=dict
    )
    last_received_at: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    in_flight: holdings.Holdings = dataclasses.field(
        default_factory=holdings.Holdings
    )
    usual_times: pooltimes.UsualTimes = dataclasses.field(
        default_factory=pooltimes.UsualTimes
    )
    admitted_shares: pooldemand.AdmittedShares = dataclasses.field(
        default_factory=pooldemand.AdmittedShares
    )
    demand: pooldemand.PoolDemand = dataclasses.field(
        default_factory=pooldemand.PoolDemand
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
            )
        return self.retry_budgets[pool]

    def ranking(self, pool: str, names: list[str]) -> rendezvous.Ranking:
        """Return the ranking of a pool's servers, kept while they stay."""
        version = self.servers.version
        kept = self.rankings.get(pool)
        if kept is None or kept[0] != version:
            ranking = rendezvous.Ranking(names, vectorise=False)
            kept = (version, ranking)
            self.rankings[pool] = kept
        return kept[1]

    def forget_server(self, server_id: str) -> None:
        """Drop what is remembered of a server that is gone."""
        self.prompts.forget_server(server_id)
        self.last_received_at.pop(server_id, None)
        self.outlier_detector.prune(set(self.servers.listed))
