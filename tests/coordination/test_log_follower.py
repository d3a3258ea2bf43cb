"""Tests of the log follower: outages, lost history, hints from peers."""

import asyncio

from arbutusvale import errors
from arbutusvale.coordination import log_follower
from arbutusvale.protocol import keyed_log
from tests import helpers_edge

APPLY_S = 0.5


class Log:
    """A log with scripted answers or exceptions; then its calls hang."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.hanging = asyncio.Event()
        self.disconnected = asyncio.Event()
        self.receiving = False

    async def read_newest(self):
        return await self.next_answer(('newest',))

    async def read_from(self, offset, wait_s):
        return await self.next_answer(('read', offset, wait_s))

    async def next_answer(self, call):
        self.calls.append(call)
        if not self.answers:
            self.hanging.set()
            await self.disconnected.wait()
            self.disconnected.clear()
            raise errors.StoreUnavailable('dropped')
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def disconnect(self):
        self.disconnected.set()

    def is_receiving(self):
        return self.receiving


class Sink:
    def __init__(self):
        self.applied = []
        self.older_copies = 0

    def note_older_copy(self, records):
        self.older_copies += 1

    def replace(self, records, return_by):
        self.applied.append(
            ('replace', [record.key for record in records], return_by)
        )

    def update(self, records, return_by):
        self.applied.append(
            ('update', [record.key for record in records], return_by)
        )


def page(end, *keys, era=None):
    records = [keyed_log.Record(key, b'v') for key in keys]
    return keyed_log.Page(records, end, era)


async def follow(log, clock=None, steps=None):
    """Run a follower until its log hangs."""
    sink, events = Sink(), helpers_edge.Events()
    follower = log_follower.LogFollower(
        'topic', log, sink, events, APPLY_S, clock or helpers_edge.Clock()
    )
    task = asyncio.create_task(follower.run())
    await asyncio.wait_for(log.hanging.wait(), 10)
    if steps is not None:
        await steps(follower)
    task.cancel()
    return follower, sink, events


def test_a_full_read_comes_first_and_then_the_log():
    log = Log(page(5, 'a', 'b'), page(6, 'c'))
    follower, sink, _ = asyncio.run(follow(log))
    assert [applied[:2] for applied in sink.applied] == [
        ('replace', ['a', 'b']),
        ('update', ['c']),
    ]
    assert [call[:2] for call in log.calls] == [
        ('newest',),
        ('read', 5),
        ('read', 6),
    ]


def test_lost_history_leads_to_a_full_read():
    log = Log(page(5, 'a'), errors.StoreHistoryGone('topic', 5), page(9, 'a'))
    _, sink, events = asyncio.run(follow(log))
    assert [applied[0] for applied in sink.applied] == ['replace', 'replace']
    assert events.named('store-history-gone')


def test_an_outage_is_logged_once_and_keeps_the_offset():
    away = errors.StoreUnavailable('away')
    log = Log(page(5, 'a'), away, away, page(6, 'b'))
    follower, sink, events = asyncio.run(follow(log))
    assert len(events.named('store-lost')) == 1
    assert len(events.named('store-regained')) == 1
    assert log.calls[1][:2] == ('read', 5)
    assert [call[0] for call in log.calls[2:4]] == ['newest', 'newest']
    assert not follower.needs_snapshot()


def test_entries_may_return_for_two_seconds_after_an_outage():
    clock = helpers_edge.Clock()

    class SlowLog(Log):
        async def next_answer(self, call):
            clock.now += 1.5
            return await super().next_answer(call)

    away = errors.StoreUnavailable('away')
    log = SlowLog(page(5, 'a'), away, page(6, 'b'), page(7, 'c'), page(8, 'd'))
    _, sink, _ = asyncio.run(follow(log, clock))
    regained_at = 1000.0 + 3 * 1.5
    assert [applied[2] for applied in sink.applied] == [
        None,
        regained_at + 2.0,
        regained_at + 2.0,
        None,
    ]


def test_an_offset_hint_aborts_a_stuck_call():
    log = Log(page(5, 'a'))

    async def send_hint(follower):
        follower.handle_offset_hint(5)
        assert not follower.hint_pending
        follower.handle_offset_hint(7)
        log.hanging.clear()
        await asyncio.wait_for(log.hanging.wait(), 5)

    _, _, events = asyncio.run(follow(log, steps=send_hint))
    assert events.named('store-behind') == [
        {'topic': 'topic', 'own': 5, 'told': 7}
    ]
    # A full read brings all that was missed in one short answer.
    assert log.calls[-1] == ('newest',)


def test_an_offset_hint_for_a_stuck_call_skips_the_batch_delay(monkeypatch):
    """Guards against late configurations when an answer is lost.

    The check of a hint used to wait for the batch delay too, though the call
    in flight was the one whose answer was lost.
    """
    log = Log(page(5))

    async def send_hint(follower):
        follower.batch_delay_s = 3600.0
        follower.handle_offset_hint(7)
        log.hanging.clear()
        await asyncio.wait_for(log.hanging.wait(), 20)

    _, _, events = asyncio.run(follow(log, steps=send_hint))
    assert events.named('store-behind')


def test_new_records_invoke_the_callback():
    log = Log(page(5, 'a'), page(6, 'b'), page(6))
    announced_offsets = []

    async def run():
        follower = log_follower.LogFollower(
            'topic', log, Sink(), helpers_edge.Events(), 0.1
        )
        follower.on_new_records = lambda: announced_offsets.append(
            follower.offset
        )
        task = asyncio.create_task(follower.run())
        await asyncio.wait_for(log.hanging.wait(), 20)
        task.cancel()

    asyncio.run(run())
    assert announced_offsets == [5, 6]


def test_the_first_call_after_a_failure_is_not_a_long_poll():
    """Guards against late configurations after an outage.

    With a poll wait of 10 s, the first call after a failure hung for 12 s on
    a connection that lost its answer, though the store was back.
    """
    away = errors.StoreUnavailable('away')
    log = Log(page(5, 'a'), away, away, page(5), page(5))
    asyncio.run(follow(log))
    assert [call[0] for call in log.calls[1:5]] == [
        'read', 'newest', 'newest', 'read',
    ]  # fmt: skip
    assert log.calls[4][2] > 0


def test_an_offset_hint_does_not_abort_a_call_that_is_receiving():
    """Guards against a slow link that never catches up.

    A VM with a link of 5 Mbit/s was 20 configurations of 60 kB behind; each
    hint aborted the call that was bringing them.
    """
    log = Log(page(5, 'a'))
    log.receiving = True

    async def send_hint(follower):
        follower.handle_offset_hint(7)
        await asyncio.sleep(3 * log_follower.HINT_DELAY_S)
        assert not log.disconnected.is_set()
        log.receiving = False
        log.hanging.clear()
        await asyncio.wait_for(log.hanging.wait(), 5)

    _, _, events = asyncio.run(follow(log, steps=send_hint))
    assert len(events.named('store-behind')) == 1


def test_a_call_aborted_on_an_offset_hint_is_no_outage():
    log = Log(page(5, 'a'))

    async def send_hint(follower):
        follower.handle_offset_hint(7)
        log.hanging.clear()
        await asyncio.wait_for(log.hanging.wait(), 5)

    follower, _, events = asyncio.run(follow(log, steps=send_hint))
    assert events.named('store-behind')
    assert events.named('store-lost') == []
    assert follower.contact.lost_at is None


def test_the_poll_wait_grows_with_the_number_of_routers():
    async def count(routers):
        log = Log(page(5, 'a'))
        follower = log_follower.LogFollower(
            'topic', log, Sink(), helpers_edge.Events(), APPLY_S
        )
        follower.count_readers = lambda: routers
        task = asyncio.create_task(follower.run())
        await asyncio.wait_for(log.hanging.wait(), 5)
        task.cancel()
        return log.calls[-1][2]

    assert asyncio.run(count(1)) == log_follower.POLL_WAIT_S
    assert asyncio.run(count(9)) == 3 * log_follower.POLL_WAIT_S
    assert asyncio.run(count(300)) == log_follower.MAX_POLL_WAIT_S


def test_a_long_poll_counts_as_contact_until_it_is_overdue():
    clock = helpers_edge.Clock()
    log = Log(page(5, 'a'))

    async def check_age(follower):
        clock.now += follower.wait_s
        assert follower.age_s() == 0.0
        clock.now += 2.0
        assert follower.age_s() > 2.0

    asyncio.run(follow(log, clock, check_age))


def test_a_newer_era_leads_to_a_full_read_whatever_the_offsets_say():
    log = Log(page(5, 'a', era=1), page(6, 'b', era=2), page(4, 'c', era=2))
    follower, sink, events = asyncio.run(follow(log))
    assert [applied[:2] for applied in sink.applied] == [
        ('replace', ['a']),
        ('replace', ['c']),
    ]
    assert sink.older_copies == 1
    [line] = events.named('store-era')
    assert (line['before'], line['era']) == (1, 2)
    assert (line['offset_before'], line['offset']) == (5, 4)
    assert log.calls[-1][:2] == ('read', 4)


def test_a_missing_offset_in_a_newer_era_leads_to_a_full_read():
    gone = errors.StoreHistoryGone('topic', 5, 2)
    log = Log(page(5, 'a', era=1), gone, page(4, 'c', era=2))
    _, sink, events = asyncio.run(follow(log))
    assert sink.older_copies == 1
    assert events.named('store-era')[0]['offset_before'] == 5


def test_an_answer_of_an_older_era_is_dropped():
    log = Log(
        page(5, 'a', era=1),
        page(3, 'b', era=2),
        page(3, 'b', era=2),
        page(9, 'late', era=1),
        errors.StoreHistoryGone('topic', 3, 1),
        page(4, 'c', era=2),
    )
    follower, sink, _ = asyncio.run(follow(log))
    keys = [key for _, applied, _ in sink.applied for key in applied]
    assert 'late' not in keys
    assert (follower.era, follower.offset) == (2, 4)


def test_a_peer_offset_counts_only_in_its_era():
    log = Log(page(5, 'a', era=2))

    async def send_hints(follower):
        follower.handle_offset_hint(9, 1)
        assert not follower.hint_pending and not follower.full_read_due
        follower.handle_offset_hint(6)
        assert follower.hint_pending
        follower.handle_offset_hint(1, 3)
        assert follower.full_read_due

    asyncio.run(follow(log, steps=send_hints))
