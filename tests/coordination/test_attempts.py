import asyncio

from arbutusvale.coordination import attempts
from arbutusvale.protocol import messages
from tests import helpers_router


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Harness:
    def __init__(self):
        self.clock = FakeClock()
        self.links = helpers_router.FakeLinks()
        self.registry = attempts.AttemptRegistry(
            vm='r-1', incarnation=1, links=self.links, clock=self.clock
        )
        self.links.handler = self.registry
        self.links.reply_to = lambda link, message: None

    async def start(self):
        self.link = await self.links.get('s-1')
        attempt = attempts.Attempt(self.registry, 's-1', self.link, 'a')
        self.registry.by_id['a'] = attempt
        self.registry.monitor.add(self.link, attempt)

    async def deliver(self, message):
        await self.registry.receive(self.link, message)

    def advance_clock(self, seconds):
        self.clock.now += seconds
        self.registry.monitor.check_links()

    @property
    def pings(self):
        return [m for _, m in self.links.sent if type(m) is messages.Ping]


def run_scenario(scenario):
    async def run():
        harness = Harness()
        await harness.start()
        await scenario(harness)

    asyncio.run(run())


def test_link_that_receives_chunks_is_not_pinged():
    async def scenario(harness):
        await harness.deliver(messages.Accepted('a', 1, 1.0))
        for number in range(20):
            await harness.deliver(messages.Chunk('a', number, b'x'))
            harness.advance_clock(0.2)
        assert harness.pings == []

    run_scenario(scenario)


def test_idle_link_is_pinged_and_kept_while_it_answers():
    async def scenario(harness):
        await harness.deliver(messages.Accepted('a', 1, 1.0))
        answered = 0
        for _ in range(50):
            harness.advance_clock(0.2)
            for ping in harness.pings[answered:]:
                answered += 1
                await harness.deliver(messages.Pong(ping.number))
        assert 10 <= len(harness.pings) <= 17
        assert not harness.link.closed

    run_scenario(scenario)


def test_unresponsive_idle_link_is_closed_within_two_seconds():
    async def scenario(harness):
        await harness.deliver(messages.Accepted('a', 1, 1.0))
        started = harness.clock.now
        while not harness.link.closed:
            harness.advance_clock(0.2)
        assert harness.clock.now - started <= 2.0
        assert harness.registry.monitor.silent_links == 1

    run_scenario(scenario)


def test_link_that_fails_in_one_direction_is_closed():
    async def scenario(harness):
        other = attempts.Attempt(harness.registry, 's-1', harness.link, 'b')
        harness.registry.by_id['b'] = other
        harness.registry.monitor.add(harness.link, other)
        started = harness.clock.now
        number = 0
        while not harness.link.closed:
            await harness.deliver(messages.Chunk('b', number, b'x'))
            number += 1
            harness.advance_clock(0.2)
        assert harness.clock.now - started <= 2.6

    run_scenario(scenario)


def test_frozen_process_closes_no_link():
    async def scenario(harness):
        harness.advance_clock(0.6)
        assert len(harness.pings) == 1
        harness.clock.now += 10
        harness.registry.monitor.reset_timers()
        harness.advance_clock(0.2)
        assert not harness.link.closed

    run_scenario(scenario)
