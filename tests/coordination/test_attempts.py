import asyncio

from arbutusvale.coordination import attempts
from arbutusvale.protocol import messages
from tests import helpers_router


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Bench:
    def __init__(self):
        self.clock = Clock()
        self.links = helpers_router.FakeLinks()
        self.table = attempts.Attempts(
            vm='r-1', incarnation=1, links=self.links, clock=self.clock
        )
        self.links.handler = self.table
        self.links.react = lambda link, message: None

    async def start(self):
        self.link = await self.links.get('s-1')
        attempt = attempts.Attempt(self.table, 's-1', self.link, 'a')
        self.table.by_name['a'] = attempt
        self.table.monitor.add(self.link, attempt)

    async def hear(self, message):
        await self.table.receive(self.link, message)

    def pass_time(self, seconds):
        self.clock.now += seconds
        self.table.monitor.check_all()

    @property
    def pings(self):
        return [m for _, m in self.links.sent if type(m) is messages.Ping]


def play(scenario):
    async def run():
        bench = Bench()
        await bench.start()
        await scenario(bench)

    asyncio.run(run())


def test_a_link_that_carries_chunks_is_not_pinged():
    async def scenario(bench):
        await bench.hear(messages.Accepted('a', 1, 1.0))
        for number in range(20):
            await bench.hear(messages.Chunk('a', number, b'x'))
            bench.pass_time(0.2)
        assert bench.pings == []

    play(scenario)


def test_a_quiet_link_is_pinged_and_kept_while_it_answers():
    async def scenario(bench):
        await bench.hear(messages.Accepted('a', 1, 1.0))
        answered = 0
        for _ in range(50):
            bench.pass_time(0.2)
            for ping in bench.pings[answered:]:
                answered += 1
                await bench.hear(messages.Pong(ping.number))
        assert 10 <= len(bench.pings) <= 17
        assert not bench.link.closed

    play(scenario)


def test_a_quiet_link_that_answers_nothing_is_closed_in_two_seconds():
    async def scenario(bench):
        await bench.hear(messages.Accepted('a', 1, 1.0))
        started = bench.clock.now
        while not bench.link.closed:
            bench.pass_time(0.2)
        assert bench.clock.now - started <= 2.0
        assert bench.table.monitor.silent_links == 1

    play(scenario)


def test_a_submit_that_is_not_accepted_shows_a_link_frozen_one_way():
    async def scenario(bench):
        other = attempts.Attempt(bench.table, 's-1', bench.link, 'b')
        bench.table.by_name['b'] = other
        bench.table.monitor.add(bench.link, other)
        started = bench.clock.now
        number = 0
        while not bench.link.closed:
            await bench.hear(messages.Chunk('b', number, b'x'))
            number += 1
            bench.pass_time(0.2)
        assert bench.clock.now - started <= 2.6

    play(scenario)


def test_a_process_that_stood_still_blames_no_link():
    async def scenario(bench):
        bench.pass_time(0.6)
        assert len(bench.pings) == 1
        bench.clock.now += 10
        bench.table.monitor.excuse_silence()
        bench.pass_time(0.2)
        assert not bench.link.closed

    play(scenario)
