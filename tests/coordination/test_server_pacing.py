"""Tests of finding the pace of a server from how it answers."""

import random

import pytest

from arbutusvale.coordination import edge_placement_policy
from arbutusvale.coordination import pace_policy
from arbutusvale.coordination import server_pacing
from arbutusvale.protocol import limit_message
from arbutusvale.state import server_limits
from arbutusvale.state import server_list
from arbutusvale.state import server_warmups
from arbutusvale.state import warmup_shares
from tests import helpers_edge

STEP_S = 0.02
USUAL_RATE = 10.0
USUAL_S = 0.2
# Requests a second beyond the usual ones to a server that looks idle, by
# counts that are as old as the routers' last messages.
HERD_RATE = 60.0
SERVERS = 24
UNDECLARED = warmup_shares.Warmup(0.0, 0.0, 0.0)


class Router:
    """A router's limits, and the news that it has for its peers."""

    def __init__(self, number, hosts, clock, events):
        peers = [host for host in hosts if host != hosts[number]]
        generator = random.Random(number)
        self.host = hosts[number]
        self.warmups = server_warmups.ServerWarmups(
            self.host, clock, lambda: peers, generator
        )
        self.warmups.list_warmups = lambda: {'chat': UNDECLARED}
        servers = server_list.ServerList(clock)
        for each in range(SERVERS):
            servers.put(helpers_edge.make_server(f's{each}'))
        self.pacer = server_pacing.ServerPacer(
            self.warmups, servers, events, lambda: 0.78, clock
        )
        self.warmups.choose_pace = self.pacer.choose_first_pace
        self.limits = server_limits.ServerLimits(
            clock, lambda: peers, generator, self.warmups
        )


class Recovery:
    """A server that restarts, and does so much work as it has warmed up."""

    def __init__(self, paced, routers=26, lost_news=0.0, warming_s=4.0):
        self.clock = helpers_edge.Clock(0.0)
        self.events = helpers_edge.Events()
        self.random = random.Random(1)
        hosts = [f'10.0.0.{number}' for number in range(routers)]
        self.routers = [
            Router(number, hosts, self.clock, self.events)
            for number in range(routers)
        ]
        self.paced = paced
        self.lost_news = lost_news
        self.warming_s = warming_s
        self.server = helpers_edge.make_server('back')
        self.wanted_rate = HERD_RATE
        self.sent = []
        self.late = 0
        self.answers = []

    def run(self, seconds):
        self.tell_demand()
        if self.paced:
            for router in self.routers:
                router.warmups.record_listed(self.server, True)
        steps = round(seconds / STEP_S)
        for step in range(steps):
            self.clock.now += STEP_S
            for router in self.routers:
                self.step_router(router)
            self.answer()
            if step % 39 == 38:
                self.tell_evidence()
                room = max(0.0, 1 - self.count_recent() / USUAL_RATE)
                self.wanted_rate = USUAL_RATE + room * HERD_RATE
        return self

    def tell_demand(self):
        demand = USUAL_RATE * SERVERS / len(self.routers)
        for router in self.routers:
            own = router.warmups._get_own_pool('chat', self.clock())
            own.demand = demand
            router.pacer.first_byte_times.record('chat/0', USUAL_S)
            for other in self.routers:
                if other is not router:
                    other.warmups.record_announced(
                        router.host, router.warmups.announce()
                    )

    def tell_evidence(self):
        for router in self.routers:
            told = tuple(router.pacer.list_evidence())
            message = limit_message.decode(
                limit_message.encode(
                    limit_message.LimitMessage(router.host, {}, (), told)
                )
            )
            for other in self.routers:
                if other is not router:
                    if self.random.random() >= self.lost_news:
                        other.pacer.merge(message.host, message.paces)

    def step_router(self, router):
        router.pacer.step()
        wanted = self.wanted_rate / len(self.routers) * STEP_S
        if self.random.random() >= wanted:
            return
        if router.limits.time_until_free_s(self.server):
            return
        router.limits.spend(self.server)
        now = self.clock.now
        self.sent.append(now)
        in_time = self.count_recent() <= self.capacity()
        takes_s = USUAL_S * (1 if in_time else 4)
        self.late += takes_s > USUAL_S
        self.answers.append((now + takes_s, router, takes_s))

    def count_recent(self):
        """Return the requests of the last second."""
        return sum(self.clock.now - at <= 1.0 for at in self.sent)

    def capacity(self):
        """Return the requests of a second that are answered in time."""
        warm = min(1.0, self.clock.now / max(self.warming_s, STEP_S))
        return USUAL_RATE * (0.5 + 2 * warm)

    def answer(self):
        due = [each for each in self.answers if each[0] <= self.clock.now]
        self.answers = [each for each in self.answers if each not in due]
        for _, router, takes_s in due:
            router.pacer.record_answer(self.server, takes_s, 0, 0)

    def reached_half_at(self):
        """Return when the server first got half of the usual rate."""
        return next(
            at
            for at in self.sent
            if sum(at - 1 < other <= at for other in self.sent)
            >= USUAL_RATE / 2
        )


@pytest.mark.parametrize('routers', [1, 5, 26, 68])
def test_started_server_is_neither_flooded_nor_idle(routers):
    paced = Recovery(True, routers).run(5.0)
    flooded = Recovery(False, routers).run(5.0)
    # Issue 30: late answers are under a tenth of those given.
    assert flooded.late > 0.1 * len(flooded.sent)
    assert paced.late < 0.1 * len(paced.sent)
    assert paced.reached_half_at() < 5.0


def test_lost_news_delay_the_pace_but_do_not_flood():
    paced = Recovery(True, lost_news=0.5).run(5.0)
    assert paced.late < 0.1 * len(paced.sent)


def test_pace_ends_when_the_server_answers_as_others_do():
    recovery = Recovery(True, warming_s=0.0).run(8.0)
    assert not any(
        router.warmups.is_limited(recovery.server)
        for router in recovery.routers
    )
    assert recovery.events.named('pace')[-1]['rate'] == '-'


def make_progress(**changes):
    fields = {
        'pace': 8.0,
        'usual': 10.0,
        'ceiling': None,
        'good': 5,
        'bad': 0,
        'paced_for_s': 1.0,
    }
    return pace_policy.Progress(**(fields | changes))


def test_bad_answers_halve_the_pace_at_once():
    assert pace_policy.next_pace(make_progress(bad=2)) == 4.0
    assert pace_policy.next_pace(make_progress(pace=1.0, bad=2)) == 1.0


def test_pace_is_a_step_ahead_of_the_declared_rate_at_most():
    assert pace_policy.next_pace(make_progress(pace=6.0, ceiling=6.0)) == 12.0
    assert pace_policy.next_pace(make_progress(pace=12.0, ceiling=6.0)) == 12.0
    assert pace_policy.next_pace(make_progress(ceiling=12.0, bad=9)) == 4.0


def test_pace_without_answers_stays_and_ends_in_the_end():
    silent = make_progress(good=0)
    assert pace_policy.next_pace(silent) == 8.0
    late = make_progress(good=0, paced_for_s=pace_policy.MAX_PACED_S + 1)
    assert pace_policy.next_pace(late) is None


@pytest.mark.parametrize(
    'changes',
    [{'succeeded': False}, {'waiting': 1}, {'first_byte_s': 0.5}],
)
def test_answers_that_show_a_server_behind_are_bad(changes):
    fields = {
        'succeeded': True, 'first_byte_s': 0.3, 'usual_s': 0.2, 'waiting': 0,
    }  # fmt: skip
    assert pace_policy.is_good(pace_policy.Answer(**fields))
    assert not pace_policy.is_good(pace_policy.Answer(**(fields | changes)))


RANKING = ['back', 'second', 'third']


def restore(holders, loads, returning=('back',), chosen='second'):
    choice = pace_policy.restore_ranking(
        edge_placement_policy.Choice(chosen, 'cached', 20.0),
        RANKING,
        [
            edge_placement_policy.Candidate(name, load, 64, False)
            for name, load in zip(RANKING, loads, strict=True)
        ],
        dict.fromkeys(holders, 1.0),
        returning,
    )
    return choice.id, choice.reason


# It had no requests for seconds, as all prompts were cached at others.
def test_returning_engine_gets_back_the_shared_prompts_that_rank_it_first():
    shared = ['second', 'third']
    assert restore(shared, [0, 9, 9]) == ('back', 'returning')
    assert restore(['second'], [0, 9, 9]) == ('second', 'cached')
    assert restore(shared, [9, 9, 9]) == ('second', 'cached')
    assert restore(shared, [0, 9, 9], returning=()) == ('second', 'cached')
    most = ['back', 'third']
    assert restore(shared, [0, 9, 0], most) == ('second', 'cached')
    assert restore(shared, [9, 9, 0], ['third']) == ('second', 'cached')
