"""A seeded replay of many routers that place requests on a pool of engines.

Routers use their real decisions: each knows its own requests exactly and those
of the others, and what they learned of engines' speeds, as of their last
message.
"""

import heapq
import random

from arbutusvale.coordination import edge_placement_policy
from arbutusvale.coordination import peers
from arbutusvale.state import prompt_loads
from arbutusvale.state import rendezvous
from arbutusvale.state import server_loads
from arbutusvale.state import server_speeds
from tests import helpers_edge

ENGINES = tuple(f'e{number}' for number in range(39))
# The others are added empty later, so that most prompts are cached on these.
FIRST_ENGINES = ENGINES[:20]
ADDED_AT_S = 4.0
SLOTS = 48
REQUESTS_PER_S = 250.0
DURATION_S = 0.7
# An answer's head carries the engine's load.
FIRST_EVENT_S = 0.1
PARTS = 400
# A few prompts are asked for by many callers.
SKEW = 0.45
PLAYED_S = 16.0
WARM_UP_S = 5.0
LOAD_FACTOR = 2.0
# The users' bound: at most so many of 100 requests may reach an engine that
# holds more than the factor times the mean and three.
BOUND_RESERVE = 3
MAX_SHARE_ABOVE_BOUND = 0.03


class Day:
    """Routers that place requests; messages arrive at once."""

    def __init__(self, seed, router_count):
        self.random = random.Random(seed)
        self.clock = helpers_edge.Clock(0.0)
        self.loads = [
            server_loads.ServerLoads(self.clock) for _ in range(router_count)
        ]
        self.speeds = [
            server_speeds.ServerSpeeds(self.clock) for _ in range(router_count)
        ]
        self.prompt_loads = [
            prompt_loads.PromptLoads(self.clock) for _ in range(router_count)
        ]
        self.interval_s = peers.SEND_INTERVAL_S * max(
            1.0, (router_count - 1) / peers.FULL_RATE_PEERS
        )
        self.engines = FIRST_ENGINES
        self.servers = {
            name: helpers_edge.make_server(name) for name in ENGINES
        }
        self.ranking = rendezvous.Ranking(list(ENGINES), vectorise=False)
        self.holders = {}
        self.in_flight = dict.fromkeys(ENGINES, 0)
        self.sent = 0
        self.above_bound = 0
        self.events = []
        self.event_count = 0

    def schedule(self, at, function, *arguments):
        self.event_count += 1
        heapq.heappush(
            self.events, (at, self.event_count, function, arguments)
        )

    def play(self):
        for number in range(len(self.loads)):
            start = self.random.uniform(0.0, self.interval_s)
            self.schedule(start, self.tell, number)
        self.schedule(0.0, self.arrive)
        self.schedule(ADDED_AT_S, self.add_engines)
        while self.events and self.events[0][0] < PLAYED_S:
            self.clock.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self.above_bound / self.sent

    def add_engines(self):
        self.engines = ENGINES

    def slowdown(self, engine):
        return 1.0

    def tell(self, number):
        counts = self.loads[number].own_counts()
        news = self.speeds[number].pop_news()
        prompts = self.prompt_loads[number].list_own()
        ttl_s = peers.LIVE_INTERVALS * self.interval_s
        for other, loads in enumerate(self.loads):
            if other != number:
                loads.record_peer_counts(str(number), counts, ttl_s)
                self.prompt_loads[other].record_peer(
                    str(number), prompts, ttl_s
                )
                for each in news:
                    self.speeds[other].merge(each, 1)
        self.schedule(self.clock.now + self.interval_s, self.tell, number)

    def arrive(self):
        self.schedule(
            self.clock.now + self.random.expovariate(REQUESTS_PER_S),
            self.arrive,
        )
        part = self.draw_part()
        number = self.random.randrange(len(self.loads))
        self.prompt_loads[number].record(part, DURATION_S)
        engine = self.choose(part, number)
        self.holders[part][engine] = self.clock.now
        if self.clock.now > WARM_UP_S:
            mean = sum(self.in_flight.values()) / len(ENGINES)
            bound = LOAD_FACTOR * mean + BOUND_RESERVE
            self.sent += 1
            self.above_bound += self.in_flight[engine] > bound
        self.start(number, engine)

    def draw_part(self):
        return f'p{int(PARTS * self.random.random() ** (1 / (1 - SKEW)))}'

    def choose(self, part, number):
        return edge_placement_policy.choose_engine(
            [self.make_candidate(number, name) for name in self.engines],
            self.ranking.rank(part, len(ENGINES)),
            self.holders.setdefault(part, {}),
            LOAD_FACTOR,
            self.interval_s,
            self.prompt_loads[number].read(part),
            self.random.random(),
        ).id

    def make_candidate(self, number, name):
        return edge_placement_policy.Candidate(
            name,
            self.loads[number].estimate(name),
            SLOTS,
            False,
            self.speeds[number].estimate(self.servers[name]),
        )

    def start(self, number, engine):
        """Begin a request; return the time until its first event."""
        self.in_flight[engine] += 1
        self.loads[number].record_start(engine)
        factor = self.slowdown(engine)
        first_event_s = FIRST_EVENT_S * factor
        self.schedule(
            self.clock.now + first_event_s, self.report, number, engine
        )
        duration_s = self.random.uniform(0.5, 1.5) * DURATION_S * factor
        end = self.clock.now + duration_s
        self.schedule(end, self.end, number, engine)
        return first_event_s

    def report(self, number, engine):
        self.loads[number].record_reported_load(engine, self.in_flight[engine])
        self.speeds[number].record_told(
            self.servers[engine], self.slowdown(engine)
        )

    def end(self, number, engine):
        self.in_flight[engine] -= 1
        self.loads[number].record_end(engine)
