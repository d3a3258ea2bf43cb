"""A replay of cold servers that return to a pool whose routers have work."""

import collections
import dataclasses
import math
import random

from arbutusvale.state import server_limits
from arbutusvale.state import server_warmups
from arbutusvale.state import warmup_shares
from tests import helpers_edge

STEP_S = 0.02
LISTED_AT = 14.0
COLD_S = 3.0
RATE = 18.0
# The users' rule: rate x overage + slack, in any second.
BOUND = 32.0
PATIENCE_S = 1.0


@dataclasses.dataclass(slots=True)
class Load:
    """Callers a second at each router, and what goes wrong."""

    callers_per_s: list[float]
    lost_messages: float = 0.0
    view_delay_s: float = 0.0
    restarted: frozenset[int] = frozenset()
    servers: int = 8
    callers_from: float = 0.0


class Scheduler:
    """One that sees everything: a bucket of one request per server."""

    def __init__(self, clock):
        self.clock = clock
        self.credits = {}

    def is_free(self, server):
        now = self.clock()
        credit, at = self.credits.get(server.id, (1.0, now))
        credit = min(1.0, credit + (now - at) * RATE)
        self.credits[server.id] = credit, now
        return credit >= 1

    def spend(self, server):
        credit, at = self.credits[server.id]
        self.credits[server.id] = credit - 1, at


class Unlimited:
    """A server is used as soon as it is listed."""

    def is_free(self, server):
        return True

    def spend(self, server):
        pass


class NamedLimit:
    """Parts by demand, as for rates that servers name."""

    def __init__(self, number, hosts, clock, listed):
        self.limits = _make_limits(number, hosts, clock)
        self.clock = clock
        self.listed = listed
        self.known = False

    def is_free(self, server):
        if not self.known:
            self.known = True
            for each in self.listed:
                self.limits.observe(each, RATE, self.clock())
        return not self.limits.time_until_free_s(server)

    def spend(self, server):
        self.limits.spend(server)


class Product:
    """The product's way."""

    def __init__(self, number, hosts, clock):
        self.limits = _make_limits(number, hosts, clock)
        warmup = warmup_shares.Warmup(COLD_S, RATE, BOUND)
        self.limits.warmups.list_warmups = lambda: {'chat': warmup}

    def list_server(self, server):
        self.limits.warmups.record_listed(server, True)

    def is_free(self, server):
        return not self.limits.time_until_free_s(server)

    def spend(self, server):
        self.limits.spend(server)


def _make_limits(number, hosts, clock):
    """Return the limits of a router that knows all its peers."""
    generator = random.Random(number)
    peers = [host for host in hosts if host != hosts[number]]
    warmups = server_warmups.ServerWarmups(
        hosts[number], clock, lambda: peers, generator
    )
    return server_limits.ServerLimits(clock, lambda: peers, generator, warmups)


class Replay:
    """Routers before and after servers return cold, all at once."""

    def __init__(self, way, load, seed=1):
        self.clock = helpers_edge.Clock(0.0)
        self.random = random.Random(seed)
        self.way = way
        self.load = load
        count = len(load.callers_per_s)
        self.hosts = [f'10.0.0.{number}' for number in range(count)]
        self.servers = [
            helpers_edge.make_server(f'e{number}-{seed}')
            for number in range(load.servers)
        ]
        self.scheduler = Scheduler(self.clock)
        self.routers = [self.make_router(number) for number in range(count)]
        self.listed_at = [
            LISTED_AT + self.random.random() * load.view_delay_s
            for _ in range(count)
        ]
        self.interval_s = 0.25 * max(1.0, count / 8)
        self.sends_at = [
            self.random.random() * self.interval_s for _ in range(count)
        ]
        self.waiting = [collections.deque() for _ in range(count)]
        self.sent = {server.id: [] for server in self.servers}

    def make_router(self, number):
        match self.way:
            case 'unlimited':
                return Unlimited()
            case 'named':
                return NamedLimit(number, self.hosts, self.clock, self.servers)
            case 'product':
                return Product(number, self.hosts, self.clock)
            case 'scheduler':
                return self.scheduler

    def run(self):
        end = LISTED_AT + COLD_S
        restart_at = LISTED_AT + 0.5
        while self.clock.now < end:
            before = self.clock.now
            self.clock.now += STEP_S
            if before < restart_at <= self.clock.now:
                for number in self.load.restarted:
                    self.routers[number] = self.make_router(number)
                    self.list_servers(number)
            for number in range(len(self.routers)):
                self.step_router(number, before)
        return self

    def list_servers(self, number):
        if isinstance(self.routers[number], Product):
            for server in self.servers:
                self.routers[number].list_server(server)

    def step_router(self, number, before):
        now = self.clock.now
        router = self.routers[number]
        if before < self.listed_at[number] <= now:
            self.list_servers(number)
        line = self.waiting[number]
        for _ in range(self.draw_callers(number)):
            line.append(now + PATIENCE_S)
            if isinstance(router, Product | NamedLimit):
                router.limits.record_demand('chat')
        while line and line[0] < now:
            line.popleft()
        if now >= self.sends_at[number]:
            self.sends_at[number] += self.interval_s
            self.tell_peers(number)
        if now < self.listed_at[number]:
            return
        free = [s for s in self.servers if line and router.is_free(s)]
        self.random.shuffle(free)
        for server in free:
            while line and router.is_free(server):
                line.popleft()
                router.spend(server)
                self.sent[server.id].append(now)
                if self.way == 'unlimited':
                    break

    def draw_callers(self, number):
        if self.clock.now < self.load.callers_from:
            return 0
        expected = self.load.callers_per_s[number] * STEP_S
        whole = math.floor(expected)
        return whole + (self.random.random() < expected - whole)

    def tell_peers(self, number):
        router = self.routers[number]
        if not isinstance(router, Product | NamedLimit):
            return
        announced = router.limits.warmups.announce()
        demand = router.limits.read_demand()
        for other in self.routers:
            if other is router:
                continue
            if self.random.random() < self.load.lost_messages:
                continue
            warmups = other.limits.warmups
            warmups.record_announced(self.hosts[number], announced)
            other.limits.record_peer_demand(self.hosts[number], demand)

    def most_in_a_second(self):
        """Return the most requests that a server got in any second."""
        return max(
            (
                sum(at <= other <= at + 1 for other in times)
                for times in self.sent.values()
                for at in times
            ),
            default=0,
        )

    def used_share(self):
        """Return what was sent as a share of what the rate allows."""
        sent = sum(len(times) for times in self.sent.values())
        return sent / (len(self.servers) * RATE * COLD_S)
