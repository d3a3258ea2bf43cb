"""Following a topic through outages, lost history and peers' hints."""

import asyncio

from arbutusvale import errors
from arbutusvale.coordination import logfollower
from arbutusvale.protocol import keyed_log
from tests import helpers_edge

APPLY_S = 0.5


class Log:
    """Give scripted answers; an exception is raised, then it hangs."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.hanging = asyncio.Event()
        self.dropped = asyncio.Event()
        self.receiving = False

    async def read_newest(self):
        return await self.answer(('newest',))

    async def read_from(self, offset, wait_s):
        return await self.answer(('read', offset, wait_s))

    async def answer(self, call):
        self.calls.append(call)
        if not self.answers:
            self.hanging.set()
            await self.dropped.wait()
            self.dropped.clear()
            raise errors.StoreUnavailable('dropped')
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def disconnect(self):
        self.dropped.set()

    def is_receiving(self):
        return self.receiving


class Sink:
    def __init__(self):
        self.taken = []

    def replace(self, records, return_by):
        self.taken.append(('replace', [one.key for one in records], return_by))

    def update(self, records, return_by):
        self.taken.append(('update', [one.key for one in records], return_by))


def page(end, *keys):
    return keyed_log.Page([keyed_log.Record(key, b'v') for key in keys], end)


async def follow(log, clock=None, steps=None):
    """Run a follower until its log hangs."""
    sink, events = Sink(), helpers_edge.Events()
    follower = logfollower.LogFollower(
        'topic', log, sink, events, APPLY_S, clock or helpers_edge.Clock()
    )
    task = asyncio.create_task(follower.run())
    await asyncio.wait_for(log.hanging.wait(), 10)
    if steps is not None:
        await steps(follower)
    task.cancel()
    return follower, sink, events


def test_newest_records_come_first_and_then_the_log():
    log = Log(page(5, 'a', 'b'), page(6, 'c'))
    follower, sink, _ = asyncio.run(follow(log))
    assert [taken[:2] for taken in sink.taken] == [
        ('replace', ['a', 'b']),
        ('update', ['c']),
    ]
    assert [call[:2] for call in log.calls] == [
        ('newest',),
        ('read', 5),
        ('read', 6),
    ]


def test_lost_history_is_read_anew():
    log = Log(page(5, 'a'), errors.StoreHistoryGone('topic', 5), page(9, 'a'))
    _, sink, events = asyncio.run(follow(log))
    assert [taken[0] for taken in sink.taken] == ['replace', 'replace']
    assert events.named('store-history-gone')


def test_an_outage_is_logged_once_and_keeps_the_offset():
    away = errors.StoreUnavailable('away')
    log = Log(page(5, 'a'), away, away, page(6, 'b'))
    follower, sink, events = asyncio.run(follow(log))
    assert len(events.named('store-lost')) == 1
    assert len(events.named('store-regained')) == 1
    assert log.calls[1][:2] == ('read', 5)
    assert [call[0] for call in log.calls[2:4]] == ['newest', 'newest']
    assert not follower.needs_copy()


def test_entries_may_return_for_two_seconds_after_an_outage():
    clock = helpers_edge.Clock()

    class SlowLog(Log):
        async def answer(self, call):
            clock.now += 1.5
            return await super().answer(call)

    away = errors.StoreUnavailable('away')
    log = SlowLog(page(5, 'a'), away, page(6, 'b'), page(7, 'c'), page(8, 'd'))
    _, sink, _ = asyncio.run(follow(log, clock))
    regained_at = 1000.0 + 3 * 1.5
    assert [taken[2] for taken in sink.taken] == [
        None,
        regained_at + 2.0,
        regained_at + 2.0,
        None,
    ]


def test_a_peer_that_has_read_further_makes_a_stuck_call_end():
    log = Log(page(5, 'a'))

    async def hint(follower):
        follower.note_behind(5)
        assert not follower.hinted
        follower.note_behind(7)
        log.hanging.clear()
        await asyncio.wait_for(log.hanging.wait(), 5)

    _, _, events = asyncio.run(follow(log, steps=hint))
    assert events.named('store-behind') == [
        {'topic': 'topic', 'own': 5, 'told': 7}
    ]
    # The newest records bring all that was missed in one short answer.
    assert log.calls[-1] == ('newest',)


def test_a_hint_ends_a_stuck_call_soon(monkeypatch):
    """Seen on inc-faee of lembrete-sul-grown: CONFIG.

    The hint waited for as long as a follower may settle, though this one
    was waiting for an answer that was lost.
    """
    log = Log(page(5))

    async def hint(follower):
        follower.settle_s = 3600.0
        follower.note_behind(7)
        log.hanging.clear()
        await asyncio.wait_for(log.hanging.wait(), 20)

    _, _, events = asyncio.run(follow(log, steps=hint))
    assert events.named('store-behind')


def test_new_records_are_told_to_peers():
    log = Log(page(5, 'a'), page(6, 'b'), page(6))
    told = []

    async def run():
        follower = logfollower.LogFollower(
            'topic', log, Sink(), helpers_edge.Events(), 0.1
        )
        follower.on_progress = lambda: told.append(follower.offset)
        task = asyncio.create_task(follower.run())
        await asyncio.wait_for(log.hanging.wait(), 20)
        task.cancel()

    asyncio.run(run())
    assert told == [5, 6]


def test_a_call_after_a_failed_one_does_not_wait_for_news():
    """Seen on hunt-81e8-3 of lembrete-sul-grown: CONFIG.

    With a wait of 10 s, the first call after a failure hung on a connection
    that lost its answer, for 12 s, though the store was back.
    """
    away = errors.StoreUnavailable('away')
    log = Log(page(5, 'a'), away, away, page(5), page(5))
    asyncio.run(follow(log))
    assert [call[0] for call in log.calls[1:5]] == [
        'read', 'newest', 'newest', 'read',
    ]  # fmt: skip
    assert log.calls[4][2] > 0


def test_a_call_whose_answer_arrives_is_not_dropped_on_a_hint():
    """Seen on inc-faee of lembrete-sul-grown: CONFIG on 30 VMs.

    A VM with a link of 5 Mbit/s was 20 configurations of 60 kB behind; each
    hint dropped the call that brought them, again and again.
    """
    log = Log(page(5, 'a'))
    log.receiving = True

    async def hint(follower):
        follower.note_behind(7)
        await asyncio.sleep(3 * logfollower.ANSWER_S)
        assert not log.dropped.is_set()
        log.receiving = False
        log.hanging.clear()
        await asyncio.wait_for(log.hanging.wait(), 5)

    _, _, events = asyncio.run(follow(log, steps=hint))
    assert len(events.named('store-behind')) == 1


def test_a_call_that_was_dropped_on_a_hint_is_no_outage():
    log = Log(page(5, 'a'))

    async def hint(follower):
        follower.note_behind(7)
        log.hanging.clear()
        await asyncio.wait_for(log.hanging.wait(), 5)

    follower, _, events = asyncio.run(follow(log, steps=hint))
    assert events.named('store-behind')
    assert events.named('store-lost') == []
    assert follower.contact.lost_at is None


def test_more_routers_wait_longer_each():
    async def count(readers):
        log = Log(page(5, 'a'))
        follower = logfollower.LogFollower(
            'topic', log, Sink(), helpers_edge.Events(), APPLY_S
        )
        follower.count_readers = lambda: readers
        task = asyncio.create_task(follower.run())
        await asyncio.wait_for(log.hanging.wait(), 5)
        task.cancel()
        return log.calls[-1][2]

    assert asyncio.run(count(1)) == logfollower.POLL_S
    assert asyncio.run(count(9)) == 3 * logfollower.POLL_S
    assert asyncio.run(count(300)) == logfollower.MAX_POLL_S


def test_a_waiting_call_counts_as_contact_and_a_failed_one_does_not():
    clock = helpers_edge.Clock()
    log = Log(page(5, 'a'))

    async def look(follower):
        clock.now += follower.wait_s
        assert follower.age_s() == 0.0
        clock.now += 2.0
        assert follower.age_s() > 2.0

    asyncio.run(follow(log, clock, look))
