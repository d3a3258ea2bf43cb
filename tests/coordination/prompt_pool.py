"""A simulated pool of engines that read and keep prompts, in virtual time.

The routers are whole programs, as in ``crashing_pool``.  An engine reads one
prompt after the other; what it lacks of a prompt is decided on arrival, so two
requests that arrive while neither is read cost the engine both.
"""

import asyncio
import dataclasses
import random

from tests import helpers_edge
from tests.coordination import crashing_pool

TOKENS_PER_S = 57_000.0
COPIED_TOKENS_PER_S = 900_000.0
TARGET_LATENCY_S = 0.8
EVENTS = b'id: 1\ndata: whole\n\n'
OWN_TOKENS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Tokens that an engine read; ``sent_at`` is when the request came."""

    sent_at: float
    part: str
    tokens: int


class Engine(crashing_pool.Server):
    """An engine with a cache of prompt parts."""

    def __init__(self, day, number):
        self.free_at = 0.0
        # The time from which on each part is cached.
        self.cached_at = {}
        super().__init__(day, number)

    def receive(self, transport, data):
        head, _, _ = data.partition(b'\r\n\r\n')
        fields = crashing_pool.parse_fields(head)
        if transport not in self.transports:
            return
        now = self.day.now()
        source = self.day.find_engine(fields.get(b'kv-fetch', b'').decode())
        copied = 0
        start = max(now, self.free_at)
        to_read = []
        for text in fields[b'x-arbutusvale-prompt-prefix'].decode().split(','):
            part, _, tokens = text.partition(':')
            if not to_read and self.has_cached(part):
                continue
            if not to_read and source is not None and source.has_cached(part):
                copied += int(tokens)
                self.cached_at[part] = start + copied / COPIED_TOKENS_PER_S
                continue
            to_read.append((part, int(tokens)))
        at = start + copied / COPIED_TOKENS_PER_S
        for part, tokens in to_read:
            at += tokens / TOKENS_PER_S
            self.cached_at[part] = min(self.cached_at.get(part, at), at)
            self.day.readings.append(Reading(now, part, tokens))
        self.free_at = at
        attempt = fields[b'x-arbutusvale-attempt-id']
        self.day.after(at - now, self.respond, transport, attempt, b'200 OK')

    def has_cached(self, part):
        return self.cached_at.get(part, float('inf')) <= self.day.now()

    def respond(self, transport, attempt, status):
        if transport in self.transports:
            self.day.after(
                crashing_pool.NETWORK_S,
                transport.respond,
                b'HTTP/1.1 %s\r\nx-arbutusvale-attempt-id: %s\r\n'
                b'x-arbutusvale-engine-signature: s\r\n'
                b'keep-alive: timeout=5\r\ncontent-length: %d\r\n\r\n%s'
                % (status, attempt, len(EVENTS), EVENTS),
            )


class PromptDay(crashing_pool.CrashingPoolDay):
    """A day of some routers and engines; ``send_prompt`` plays a request."""

    def __init__(self, seed, routers, engines):
        plan = crashing_pool.draw_plan(random.Random(seed))
        plan.new_ids = False
        super().__init__(seed, plan)
        self.router_count = routers
        self.engine_count = engines
        self.readings = []
        self.latencies = []

    def publish_config(self, timeout_ms=9000):
        self.version += 1
        route = helpers_edge.make_route(
            'draft',
            '/chat/',
            RouteType='streaming',
            StreamResume=True,
            TimeoutMs=timeout_ms,
            TargetLatencyMs=int(1000 * TARGET_LATENCY_S),
        )
        self.publish('config', helpers_edge.make_config(self.version, [route]))

    def find_engine(self, address):
        _, _, port = address.partition(':')
        return self.servers[int(port) - 1] if port else None

    async def start(self):
        self.publish_config()
        self.servers = [
            Engine(self, number) for number in range(1, self.engine_count + 1)
        ]
        for number in range(1, self.router_count + 1):
            self.routers.append(crashing_pool.Router(self, number))
        for router in self.routers:
            router.start()
        await asyncio.sleep(1.0)

    async def send_prompt(self, parts, router):
        """Send a request with shared parts and one of its own."""
        started_at = self.now()
        status, body = await self.send(
            b'p', router, parts=parts, own_tokens=OWN_TOKENS
        )
        assert (status, body) == (200, EVENTS)
        self.latencies.append(self.now() - started_at)

    def list_readings(self, part):
        return [reading for reading in self.readings if reading.part == part]

    async def stop(self):
        for router in self.routers:
            router.kill()
        await asyncio.sleep(0.1)
