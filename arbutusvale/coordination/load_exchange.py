"""Exchange of servers' loads among many edge routers.

In a small fleet each router tells all others its requests in flight four
times a second (``peers``).  In a larger one that would take too many messages,
and the less often routers hear of each other, the more requests reach engines
above their load bound.  So each router reports to three collectors, chosen by
rendezvous hashing, and each collector sends the sums to all routers.

A collector keeps nothing that must last: while one is dead or cut off, the
sums of the other two arrive, and without any of them routers go by the loads
in the messages of ``peers``.
"""

import asyncio
from collections.abc import Callable
import math

from arbutusvale.protocol import load_message
from arbutusvale.state import event_log
from arbutusvale.state import rendezvous
from arbutusvale.state import server_loads

COLLECTORS = 3
# Up to this size all routers tell each other their loads as often.
MAX_ROUTERS_WITHOUT = 9
REPORT_INTERVAL_S = 0.25
# Up to this size each collector sends the sums with each of its reports; in a
# larger fleet less often, by turns.
MAX_ROUTERS_AT_FULL_RATE = 30
# Beyond this size intervals grow, so that a collector's messages don't.
FULL_RATE_ROUTERS = 80
# A report counts for this many intervals, as datagrams get lost.
VALID_INTERVALS = 4
_TOPIC = 'loads'


class LoadExchange:
    """Reporter of this router's loads, and collector of all routers'.

    ``list_live`` returns the hosts of the other routers; ``send`` transmits a
    datagram to a host.
    """

    def __init__(
        self,
        host: str,
        loads: server_loads.ServerLoads,
        list_live: Callable[[], list[str]],
        events: event_log.EventLog,
        clock: Callable[[], float],
    ):
        self.host = host
        self.loads = loads
        self.list_live = list_live
        self.events = events
        self.clock = clock
        self.send: Callable[[str, bytes], None] = _discard
        # The counts of other routers, and until when they are valid.
        self.reports: dict[str, tuple[float, dict[str, int]]] = {}
        self.is_collector = False
        self.report_count = 0
        # Which of the collectors this one is, so that they take turns.
        self.turn = 0

    def interval_factor(self) -> float:
        """Return by how much longer the intervals are in a large fleet."""
        return max(1.0, (1 + len(self.list_live())) / FULL_RATE_ROUTERS)

    def load_age_s(self) -> float:
        """Return how old the loads of other routers get, in s.

        It is infinite while no collector's sums are valid.
        """
        if not self.loads.has_summary():
            return math.inf
        intervals = 1 + self.reports_per_summary()
        return intervals * REPORT_INTERVAL_S * self.interval_factor()

    def reports_per_summary(self) -> int:
        """Return how many reports a collector sends for one summary."""
        routers = 1 + len(self.list_live())
        return min(COLLECTORS, math.ceil(routers / MAX_ROUTERS_AT_FULL_RATE))

    def receive(self, message: load_message.LoadMessage) -> None:
        """Store a report, or the sums of a collector."""
        if message.host == self.host:
            return
        factor = self.interval_factor()
        match message:
            case load_message.LoadReport(host, loads):
                valid_s = VALID_INTERVALS * REPORT_INTERVAL_S * factor
                self.reports[host] = (self.clock() + valid_s, loads)
            case load_message.LoadSummary(_, loads):
                self.loads.record_summary(
                    loads, VALID_INTERVALS * REPORT_INTERVAL_S * factor
                )

    async def run(self) -> None:
        """Report, and summarise if chosen, until cancelled."""
        while True:
            self.exchange()
            await asyncio.sleep(REPORT_INTERVAL_S * self.interval_factor())

    def exchange(self) -> None:
        """Send this router's report, and a summary if one is due."""
        live = self.list_live()
        if len(live) + 1 <= MAX_ROUTERS_WITHOUT:
            self._set_collector(False)
            return
        ranking = rendezvous.Ranking([self.host, *live], vectorise=False)
        collectors = ranking.rank(_TOPIC, COLLECTORS)
        report = load_message.LoadReport(self.host, self.loads.own_counts())
        self.loads.note_reported(report.loads)
        data = load_message.encode(report)
        for host in collectors:
            if host != self.host:
                self.send(host, data)
        self._set_collector(self.host in collectors)
        if self.is_collector:
            self.turn = collectors.index(self.host)
            self._summarise(live, report)

    def _summarise(
        self, live: list[str], own_report: load_message.LoadReport
    ) -> None:
        """Add up all reports, and send the sums if that is due."""
        now = self.clock()
        self.reports = {
            host: (valid_until, loads)
            for host, (valid_until, loads) in self.reports.items()
            if valid_until >= now
        }
        sums = dict(own_report.loads)
        for _, loads in self.reports.values():
            for server_id, count in loads.items():
                sums[server_id] = sums.get(server_id, 0) + count
        factor = self.interval_factor()
        self.loads.record_summary(
            sums, VALID_INTERVALS * REPORT_INTERVAL_S * factor
        )
        self.report_count += 1
        if (self.report_count + self.turn) % self.reports_per_summary():
            return
        summary = load_message.LoadSummary(self.host, sums)
        for message in load_message.split(summary):
            data = load_message.encode(message)
            for host in live:
                self.send(host, data)

    def _set_collector(self, is_collector: bool) -> None:
        """Log when this router begins or ends to collect loads."""
        if is_collector == self.is_collector:
            return
        self.is_collector = is_collector
        if not is_collector:
            self.reports.clear()
        self.events.write('load-collector', active=is_collector)


def _discard(host: str, data: bytes) -> None:
    """Drop a datagram while no socket is open."""
