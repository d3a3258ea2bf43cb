"""A pool short of room in virtual time: routers, callers and slots.

The routers are whole programs, whose messages to each other arrive at once but
are sent at their usual intervals.  The engines are one pool of slots with a
queue, which the most urgent leave first.
"""

import collections
import dataclasses
import heapq
import random

from arbutusvale import composeedge
from arbutusvale.coordination import edge_admission
from arbutusvale.coordination import edge_admission_policy
from arbutusvale.coordination import edge_requests
from arbutusvale.protocol import edge_settings
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import proxying
from tests import helpers_edge

ENGINES = 8
SLOTS = 24
# Time to the first event once a request has a slot.
READING_S = 0.05
CALM_S = 6.0
SHORT_S = 10.0
CALM_LOAD = 0.4


@dataclasses.dataclass(frozen=True)
class Kind:
    """A route: requests a second while the pool is short, times in s."""

    name: str
    priority: int
    rate: float
    target_s: float
    deadline_s: float
    duration_s: float
    tokens: int = 800


# These need 1.8 times the slots that there are.
KINDS = (
    Kind('chat', 0, 160.0, 0.4, 10.0, 1.1),
    Kind('tag', 1, 50.0, 0.4, 2.6, 0.25),
    Kind('draft', 2, 60.0, 1.2, 12.0, 2.6),
)


@dataclasses.dataclass
class Arrival:
    """A caller's first request, and how it was answered."""

    at: float
    kind: Kind
    deadline_s: float
    router: int
    organisation: str = 'acme'
    first_event_s: float | None = None

    @property
    def in_aim(self):
        return (
            self.first_event_s is not None
            and self.first_event_s <= self.kind.target_s
        )


def draw_arrivals(seed, routers):
    """Draw the first requests of all callers, in order of time."""
    generator = random.Random(seed)
    weights = [generator.uniform(0.5, 1.5) for _ in range(routers)]
    arrivals = []
    for kind in KINDS:
        at = 0.0
        while at < CALM_S + SHORT_S:
            rate = kind.rate * (CALM_LOAD if at < CALM_S else 1.0)
            at += generator.expovariate(rate)
            arrivals.append(
                Arrival(
                    at,
                    kind,
                    kind.deadline_s * generator.uniform(0.85, 1.15),
                    generator.choices(range(routers), weights)[0],
                )
            )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def summarise(arrivals):
    """Return the shares in aim by kind, and counts in aim and late.

    They are of the requests asked while the pool is short of room.
    """
    short = [each for each in arrivals if each.at >= CALM_S]
    counts = collections.Counter(each.kind.name for each in short)
    in_aim = collections.Counter(
        each.kind.name for each in short if each.in_aim
    )
    late = sum(
        each.first_event_s is not None and not each.in_aim for each in short
    )
    return (
        {name: in_aim[name] / counts[name] for name in counts},
        in_aim.total(),
        late,
    )


class Slots:
    """The slots of all engines; who waits leaves by urgency, then in order."""

    def __init__(self, generator):
        self.generator = generator
        self.free = ENGINES * SLOTS
        self.waiting = []
        self.events = []
        self.count = 0

    def schedule(self, at, function, *arguments):
        self.count += 1
        heapq.heappush(self.events, (at, self.count, function, arguments))

    def draw_duration_s(self, kind):
        return kind.duration_s * self.generator.uniform(0.5, 1.5)


def play_seeing_everything(arrivals, seed):
    """Serve arrivals from one queue that drops what can't be in time."""
    slots = Slots(random.Random(seed))

    def start_next(now):
        while slots.free and slots.waiting:
            _, _, arrival = heapq.heappop(slots.waiting)
            waited_s = now - arrival.at
            if waited_s + READING_S > arrival.kind.target_s:
                continue
            arrival.first_event_s = waited_s + READING_S
            slots.free -= 1
            slots.schedule(now + slots.draw_duration_s(arrival.kind), finish)

    def finish(now):
        slots.free += 1
        start_next(now)

    def arrive(now, arrival):
        heapq.heappush(
            slots.waiting, (arrival.kind.priority, arrival.at, arrival)
        )
        start_next(now)

    for arrival in arrivals:
        slots.schedule(arrival.at, arrive, arrival)
    while slots.events:
        now, _, function, arguments = heapq.heappop(slots.events)
        function(now, *arguments)


class Replay:
    """Routers that admit by their own views of the same pool."""

    def __init__(self, seed, routers, memory_tokens=1_000_000):
        self.clock = helpers_edge.Clock(0.0)
        self.slots = Slots(random.Random(seed))
        self.engines = [f'e{number}' for number in range(ENGINES)]
        self.in_flight = dict.fromkeys(self.engines, 0)
        hosts = [f'10.0.0.{number + 1}' for number in range(routers)]
        self.routers = [
            self.make_router(host, hosts, memory_tokens) for host in hosts
        ]
        by_host = dict(zip(hosts, self.routers, strict=True))
        for number, router in enumerate(self.routers):
            router.context.generator.seed(seed + number)
            router.peers.send = lambda host, data: by_host[host].peers.receive(
                data
            )
            self.slots.schedule(number / 100, self.tell, router)

    def make_router(self, host, hosts, memory_tokens):
        address = edge_settings.Address(host, 1)
        settings = edge_settings.EdgeSettings(
            name=host,
            data_centre='north',
            host=host,
            callers=address,
            readiness=address,
            store=address,
            seeds=tuple(edge_settings.Address(each, 1) for each in hosts),
            peer_port=1,
            metrics_port=1,
            memory_bytes=10**8,
            link_mbit_per_s=0,
            max_sockets=1000,
            bounds=helpers_edge.make_bounds(),
        )
        router = composeedge.EdgeProgram('', settings, self.clock)
        router.events.write = lambda event, **fields: None
        for number, engine in enumerate(self.engines):
            entry = helpers_edge.make_entry(
                f'10.1.0.1:{number + 1}', Slots=SLOTS
            )
            router.server_view.update([keyed_log.Record(engine, entry)], None)
        config = helpers_edge.make_config(
            routes=[
                helpers_edge.make_route(
                    kind.name,
                    f'/{kind.name}/',
                    RouteType='streaming',
                    TimeoutMs=int(2000 * kind.deadline_s),
                    TargetLatencyMs=int(1000 * kind.target_s),
                    Priority=kind.priority,
                )
                for kind in KINDS
            ],
            Services=[
                {
                    'Name': 'chat',
                    'HealthCheckPath': '/h',
                    'MaxConnections': 500,
                    'EngineId': {'KvCapacityTokens': memory_tokens},
                }
            ],
        )
        router.config.update([keyed_log.Record('config', config)], None)
        return router

    def tell(self, now, router):
        router.peers.broadcast()
        self.slots.schedule(now + router.peers.interval_s(), self.tell, router)

    def play(self, arrivals):
        for arrival in arrivals:
            self.slots.schedule(arrival.at, self.arrive, arrival)
        while self.slots.events:
            now, _, function, arguments = heapq.heappop(self.slots.events)
            if now > CALM_S + 2 * SHORT_S:
                break
            self.clock.now = now
            function(now, *arguments)

    def arrive(self, now, arrival, may_return=True):
        router = self.routers[arrival.router]
        request = self.make_request(now, arrival, router)
        decision = edge_admission.admit(router.context, request)
        if isinstance(decision, edge_admission_policy.Admitted):
            self.wait_for_slot(now, arrival, request)
        elif may_return:
            self.slots.schedule(
                now + decision.retry_after_s, self.arrive, arrival, False
            )

    def make_request(self, now, arrival, router):
        deadline = arrival.at + arrival.deadline_s
        metadata = proxying.RequestMetadata(
            'id', 'host', '', deadline - now, None, '', 'm',
            (proxying.PromptPart(f'{id(arrival)}', arrival.kind.tokens),),
            '',
        )  # fmt: skip
        routes = router.config.route_table.configuration.routes
        route = next(each for each in routes if each.name == arrival.kind.name)
        return edge_requests.RoutedRequest(
            None, metadata, route, 'chat', arrival.organisation,
            route.priority, deadline, 1, (),
        )  # fmt: skip

    def wait_for_slot(self, now, arrival, request):
        engine = min(self.engines, key=self.in_flight.__getitem__)
        self.in_flight[engine] += 1
        context = self.routers[arrival.router].context
        edge_admission.record_start(context, request)
        context.loads.record_start(engine)
        heapq.heappush(
            self.slots.waiting,
            (
                arrival.kind.priority,
                self.slots.count,
                (now, arrival, request, engine),
            ),
        )
        self.slots.count += 1
        self.start_next(now)

    def start_next(self, now):
        while self.slots.free and self.slots.waiting:
            _, _, job = heapq.heappop(self.slots.waiting)
            arrival = job[1]
            arrival.first_event_s = now - arrival.at + READING_S
            self.slots.free -= 1
            duration_s = self.slots.draw_duration_s(arrival.kind)
            self.slots.schedule(now + duration_s, self.finish, *job)

    def finish(self, now, sent_at, arrival, request, engine):
        context = self.routers[arrival.router].context
        self.slots.free += 1
        self.in_flight[engine] -= 1
        context.loads.record_end(engine)
        edge_admission.record_service_time(context, request, now - sent_at)
        edge_admission.record_end(context, request)
        self.start_next(now)
