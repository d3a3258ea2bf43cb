"""Loads that collectors add up, and placement by them in a large fleet.

A seeded simulation of many routers with their real decisions and exchanges;
messages arrive after a hop.  Engines lose their caches in the middle, and
requests wait while an engine reads what they share.
"""

import heapq
import random

import pytest

from arbutusvale import errors
from arbutusvale.coordination import edge_placement_policy
from arbutusvale.coordination import load_exchange
from arbutusvale.coordination import peers
from arbutusvale.protocol import load_message
from arbutusvale.state import rendezvous
from arbutusvale.state import server_loads
from tests import helpers_edge

ENGINES = tuple(f'e{number}' for number in range(60))
EMPTIED = ENGINES[:20]
EMPTIED_AT_S = 6.0
SLOTS = 64
REQUESTS_PER_S = 600.0
DURATION_S = 0.9
FIRST_EVENT_S = 0.1
# An engine reads a new prompt for up to twice as long.
READ_S = 0.35
COPY_S = 0.02
NEWS_S = 0.06
HOP_S = 0.002
CONNECT_S = 0.003
MAX_WAIT_S = 0.75
CHECK_S = 0.02
PARTS = 300
SKEW = 0.5
LOAD_FACTOR = 2.0
BOUND_RESERVE = 3
# The users' bound: at most so many of 100 requests may reach an engine that
# holds more than the factor times the mean and three, in any 5 s.
MAX_SHARE_ABOVE_BOUND = 0.03
WINDOW_S = 5.0
PLAYED_S = 14.0
WARM_UP_S = 2.0


class Fleet:
    """Routers that place requests and exchange their loads."""

    def __init__(self, seed, router_count, lost=0.0):
        self.random = random.Random(seed)
        self.clock = helpers_edge.Clock(0.0)
        self.lost = lost
        self.hosts = [f'10.0.0.{number}' for number in range(router_count)]
        self.down = set()
        self.exchanges = {
            host: self.make_exchange(host) for host in self.hosts
        }
        self.peer_interval_s = peers.SEND_INTERVAL_S * max(
            1.0, (router_count - 1) / peers.FULL_RATE_PEERS
        )
        self.ranking = rendezvous.Ranking(list(ENGINES), vectorise=False)
        # When each engine has a part cached, by part.
        self.holders = {}
        self.in_flight = dict.fromkeys(ENGINES, 0)
        self.sent = []
        self.events = []
        self.event_count = 0

    def make_exchange(self, host):
        exchange = load_exchange.LoadExchange(
            host,
            server_loads.ServerLoads(self.clock),
            lambda: [
                each for each in self.hosts if each not in (host, *self.down)
            ],
            helpers_edge.Events(),
            self.clock,
        )
        exchange.send = self.deliver
        return exchange

    def deliver(self, host, data):
        assert len(data) <= 1400
        if host not in self.down and self.random.random() >= self.lost:
            message = load_message.decode(data)
            self.after(HOP_S, self.exchanges[host].receive, message)

    def after(self, delay_s, function, *arguments):
        self.event_count += 1
        entry = (self.clock.now + delay_s, self.event_count)
        heapq.heappush(self.events, (*entry, function, arguments))

    def run(self, until_s):
        while self.events and self.events[0][0] < until_s:
            self.clock.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)

    def start_exchanges(self):
        for host in self.hosts:
            start_s = self.random.uniform(0, load_exchange.REPORT_INTERVAL_S)
            self.after(start_s, self.exchange, host)

    def exchange(self, host):
        if host not in self.down:
            self.exchanges[host].exchange()
        self.after(load_exchange.REPORT_INTERVAL_S, self.exchange, host)

    def tell_peers(self, host):
        """Send the loads as small fleets do, to all, the less often."""
        counts = self.exchanges[host].loads.own_counts()
        valid_s = peers.LIVE_INTERVALS * self.peer_interval_s
        for other in self.hosts:
            if other != host:
                loads = self.exchanges[other].loads
                loads.record_peer_counts(host, counts, valid_s)
        self.after(self.peer_interval_s, self.tell_peers, host)

    def play(self):
        """Return the largest share of requests above the bound in 5 s."""
        for host in self.hosts:
            start_s = self.random.uniform(0, self.peer_interval_s)
            self.after(start_s, self.tell_peers, host)
        self.after(0.0, self.arrive)
        self.after(EMPTIED_AT_S, self.empty_engines)
        self.run(PLAYED_S)
        return max(
            self.share_above_bound(WARM_UP_S + step / 2)
            for step in range(int(2 * (PLAYED_S - WARM_UP_S - WINDOW_S)))
        )

    def share_above_bound(self, start):
        window = [
            above for at, above in self.sent if start <= at < start + WINDOW_S
        ]
        return sum(window) / len(window)

    def empty_engines(self):
        for holders in self.holders.values():
            for engine in EMPTIED:
                holders.pop(engine, None)

    def arrive(self):
        self.after(self.random.expovariate(REQUESTS_PER_S), self.arrive)
        part = f'p{int(PARTS * self.random.random() ** (1 / (1 - SKEW)))}'
        host = self.random.choice(self.hosts)
        self.place(self.exchanges[host], part, self.clock.now + MAX_WAIT_S)

    def place(self, exchange, part, wait_until):
        now = self.clock.now
        holders = self.holders.setdefault(part, {})
        cached = {
            engine: at for engine, at in holders.items() if at + NEWS_S <= now
        }
        if holders and not cached and now < wait_until:
            self.after(CHECK_S, self.place, exchange, part, wait_until)
            return
        loads = exchange.loads
        choice = edge_placement_policy.choose_engine(
            [
                edge_placement_policy.Candidate(
                    name, loads.estimate(name), SLOTS, False
                )
                for name in ENGINES
            ],
            self.ranking.rank(part, len(ENGINES)),
            cached,
            LOAD_FACTOR,
            min(self.peer_interval_s, exchange.load_age_s()),
        )
        loads.record_start(choice.id)
        self.after(CONNECT_S, self.send, loads, part, choice.id, bool(cached))

    def send(self, loads, part, engine, is_copied):
        holders = self.holders[part]
        if engine not in holders:
            read_s = READ_S * self.random.uniform(0.5, 2)
            holders[engine] = self.clock.now + (
                COPY_S if is_copied else read_s
            )
        mean = sum(self.in_flight.values()) / len(ENGINES)
        bound = LOAD_FACTOR * mean + BOUND_RESERVE
        self.sent.append((self.clock.now, self.in_flight[engine] > bound))
        self.in_flight[engine] += 1
        start_s = max(0.0, holders[engine] - self.clock.now)
        self.after(start_s + FIRST_EVENT_S, self.report, loads, engine)
        work_s = self.random.uniform(0.5, 1.5) * DURATION_S
        self.after(start_s + work_s, self.end, loads, engine)

    def report(self, loads, engine):
        loads.record_reported_load(engine, self.in_flight[engine])

    def end(self, loads, engine):
        self.in_flight[engine] -= 1
        loads.record_end(engine)


# Without collectors 6.3 % of the requests reach such engines (seed 0).
@pytest.mark.parametrize('lost', [0.0, 0.05])
def test_requests_released_by_a_read_prompt_keep_to_the_bound(lost):
    shares = []
    for seed in range(3):
        fleet = Fleet(seed, 68, lost)
        fleet.start_exchanges()
        shares.append(fleet.play())
    assert max(shares) <= MAX_SHARE_ABOVE_BOUND


def test_sums_leave_out_own_requests_and_name_all_others():
    fleet = Fleet(1, 20)
    fleet.start_exchanges()
    loads = [fleet.exchanges[host].loads for host in fleet.hosts]
    for each in loads:
        each.record_start('e1')
    fleet.run(2.0)
    loads[0].record_start('e1')
    assert loads[0].estimate('e1') == 21
    assert loads[1].estimate('e1') == 20
    assert loads[0].estimate('e2') == 0


def test_dead_collectors_cost_no_loads():
    fleet = Fleet(1, 20)
    fleet.start_exchanges()
    for host in fleet.hosts:
        fleet.exchanges[host].loads.record_start('e1')
    fleet.run(2.0)
    collectors = [
        host for host in fleet.hosts if fleet.exchanges[host].is_collector
    ]
    assert len(collectors) == load_exchange.COLLECTORS
    fleet.down.update(collectors[1:])
    fleet.run(4.0)
    assert fleet.exchanges[collectors[0]].loads.estimate('e1') >= 18


def test_small_fleet_sends_nothing_more():
    fleet = Fleet(1, load_exchange.MAX_ROUTERS_WITHOUT)
    fleet.start_exchanges()
    fleet.run(2.0)
    exchange = fleet.exchanges[fleet.hosts[0]]
    assert not exchange.loads.has_summary()
    assert exchange.load_age_s() == float('inf')


def test_malformed_messages_are_rejected():
    for document in (b'{}', b'{"kind":"load-'):
        assert load_message.decode(b'{"kind":"origin"}') is None
        with pytest.raises(errors.FrameError):
            load_message.decode(b'{"kind":"load-report",' + document)
