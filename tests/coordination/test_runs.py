import asyncio

import pytest

from arbutusvale import errors
from arbutusvale.coordination import answer_fanout
from arbutusvale.coordination import quarantine
from arbutusvale.coordination import runs
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import claim_index
from tests import helpers_runs

BROKEN = errors.ServerResponseError('fake', 'reset')


class Bench:
    """A run table with a fake server and one link."""

    def __init__(self):
        self.server = helpers_runs.FakeServer()
        self.quarantine = quarantine.Quarantine('vm-1', 1)
        self.table = runs.RunTable(self.server, self.quarantine)
        self.link = helpers_runs.FakeLink()
        self.finished = []

    def start(self, key=b'', link=None, **changes):
        submit = helpers_runs.make_submit(**changes)
        link = link or self.link
        return self.table.start(submit, link, self.finished.append, key)


def run_case(case):
    asyncio.run(case(Bench()))


def test_answer_is_relayed_completely():
    async def case(bench):
        bench.start()
        bench.server.feed('q1', *helpers_runs.whole_answer(b'ab', b'c'))
        await helpers_runs.wait_until(
            lambda: bench.link.list_sent(messages.End)
        )
        assert bench.link.body == b'abc'
        assert bench.link.list_sent(messages.End)[0].total_bytes == 3
        assert len(bench.finished) == 1
        assert bench.table.is_known('r1-1')

    run_case(case)


# The end of its connection was taken for the end of the stream.
def test_event_stream_that_ends_inside_an_event_is_incomplete():
    async def case(bench):
        bench.start(key=b'k')
        bench.server.feed(
            'q1', helpers_runs.EVENTS_HEAD, b'data: 1\n\ndata: 2\n', None
        )
        await helpers_runs.wait_until(lambda: bench.finished)
        assert bench.link.body == b'data: 1\n\n'
        [failed] = bench.link.list_sent(messages.Failed)
        assert failed.outcome == messages.Outcome.UNKNOWN.value
        assert not bench.link.list_sent(messages.End)
        assert bench.table.find_by_key(b'k') is None

    run_case(case)


def test_event_stream_split_inside_an_event_is_relayed_completely():
    async def case(bench):
        bench.start()
        bench.server.feed(
            'q1',
            helpers_runs.EVENTS_HEAD,
            b'data: 1\n\nda',
            b'ta: 2\n\n',
            None,
        )
        await helpers_runs.wait_until(lambda: bench.finished)
        assert bench.link.body == b'data: 1\n\ndata: 2\n\n'
        assert bench.link.list_sent(messages.End)

    run_case(case)


def test_reattach_sends_the_rest_over_a_new_link():
    async def case(bench):
        bench.start()
        bench.server.feed('q1', helpers_runs.HEAD, b'a')
        await helpers_runs.wait_until(lambda: bench.link.body == b'a')
        bench.link.close()
        bench.table.on_link_closed(bench.link)
        bench.server.feed('q1', b'b', None)
        await helpers_runs.wait_until(lambda: bench.finished)
        other = helpers_runs.FakeLink()
        bench.table.resume(other, 'r1-1', 1)
        assert other.body == b'b'
        assert other.list_sent(messages.End)
        assert len(bench.server.runs) == 1

    run_case(case)


def test_resumed_unknown_attempt_fails_and_may_never_run():
    async def case(bench):
        bench.table.resume(bench.link, 'lost', 0)
        assert bench.link.sent[0].outcome == 'unknown'
        assert bench.table.is_dead('lost')

    run_case(case)


def test_slow_reader_blocks_only_its_own_run():
    async def case(bench):
        bench.start()
        bench.start(attempt='r1-2', request_id='q2')
        size = answer_fanout.WINDOW_BYTES + answer_fanout.READ_AHEAD_BYTES
        piece = b'x' * 65536
        count = 2 * size // len(piece)
        bench.server.feed('q1', helpers_runs.HEAD, *[piece] * count, None)
        bench.server.feed('q2', *helpers_runs.whole_answer(b'quick'))
        await helpers_runs.wait_until(
            lambda: bench.link.list_sent(messages.End)
        )
        assert bench.link.list_sent(messages.End)[0].attempt == 'r1-2'
        run = bench.table.runs['r1-1']
        assert run.buffer.buffered_bytes <= size + len(piece)
        while run.ending is None or not run.subscribers['r1-1'].end_sent:
            number = run.subscribers['r1-1'].next_chunk
            bench.table.apply_credit(messages.Credit('r1-1', number))
            await asyncio.sleep(0)
        assert run.buffer.total_bytes == count * len(piece)

    run_case(case)


def test_second_attempt_with_the_key_shares_run_and_stored_answer():
    async def case(bench):
        key = claim_index.scope_key('sul', 'booking', 'k')
        bench.start(key=key, idempotent=False)
        found = bench.table.find_by_key(key)
        second = helpers_runs.FakeLink()
        submit = helpers_runs.make_submit(attempt='r2-1')
        bench.table.attach(found, submit, second)
        bench.server.feed('q1', *helpers_runs.whole_answer(b'once'))
        await helpers_runs.wait_until(lambda: second.list_sent(messages.End))
        bench.table._drop_ended(bench.table.ended.popleft())
        third = helpers_runs.FakeLink()
        submit = helpers_runs.make_submit(attempt='r3-1')
        bench.table.attach(bench.table.find_by_key(key), submit, third)
        assert bench.link.body == second.body == third.body == b'once'
        assert len(bench.server.runs) == 1

    run_case(case)


@pytest.mark.parametrize('idempotent', [True, False])
def test_cancel_stops_only_idempotent_runs(idempotent):
    async def case(bench):
        bench.start(idempotent=idempotent)
        await helpers_runs.wait_until(lambda: bench.server.runs)
        bench.table.cancel('r1-1')
        bench.server.feed('q1', *helpers_runs.whole_answer(b'x'))
        await helpers_runs.wait_until(lambda: bench.finished)
        assert (bench.server.cancelled == ['q1']) is idempotent
        assert bench.table.is_known('r1-1')

    run_case(case)


def test_unreachable_server_is_reported_as_not_run():
    async def case(bench):
        bench.server.up = False
        bench.start()
        await helpers_runs.wait_until(lambda: bench.finished)
        assert bench.link.sent[0].outcome == 'not-run'

    run_case(case)


def test_broken_connection_of_a_healthy_server_is_not_a_crash():
    async def case(bench):
        bench.start()
        bench.server.feed('q1', BROKEN)
        await helpers_runs.wait_until(lambda: bench.finished)
        failed = bench.link.sent[0]
        assert (failed.outcome, failed.reason) == ('unknown', 'server-broken')
        assert not bench.quarantine.is_suspect(b'f1')

    run_case(case)


def test_crash_marks_all_requests_in_flight_as_suspects_once():
    async def case(bench):
        bench.start()
        bench.start(attempt='r1-2', request_id='q2', fingerprint=b'f2')
        await helpers_runs.wait_until(lambda: len(bench.server.runs) == 2)
        bench.server.up = False
        bench.server.feed('q1', BROKEN)
        await helpers_runs.wait_until(lambda: len(bench.finished) == 1)
        bench.server.feed('q2', BROKEN)
        await helpers_runs.wait_until(lambda: len(bench.finished) == 2)
        reasons = [failed.reason for failed in bench.link.sent]
        assert reasons == ['server-crashed', 'server-crashed']
        assert bench.quarantine.crash_count == 1
        assert bench.quarantine.is_suspect(b'f2')
        assert not bench.quarantine.is_quarantined(b'f2')

    run_case(case)


def test_suspect_that_never_reached_the_crashed_server_is_not_blamed():
    async def case(bench):
        entries = [[b'f1', ['vm-2/1/1'], []], [b'f2', ['vm-2/1/1'], []]]
        bench.quarantine.merge(entries)
        bench.start()
        waiting = bench.start(
            attempt='r1-2', request_id='q2', fingerprint=b'f2'
        )
        bench.start(attempt='r1-3', request_id='q3', fingerprint=b'f3')
        await helpers_runs.wait_until(lambda: len(bench.server.runs) == 2)
        bench.server.up = False
        bench.server.may_refuse.clear()
        bench.server.feed('q1', BROKEN)
        await helpers_runs.wait_until(lambda: waiting.sent_to_server)
        bench.server.feed('q3', BROKEN)
        await helpers_runs.wait_until(lambda: len(bench.finished) == 2)
        bench.server.may_refuse.set()
        await helpers_runs.wait_until(lambda: len(bench.finished) == 3)
        assert bench.quarantine.list_quarantined() == [b'f1']

    run_case(case)


def test_second_crash_quarantines_only_the_suspect_that_ran():
    async def case(bench):
        entries = [[b'f1', ['vm-2/1/1'], []], [b'f2', ['vm-2/1/1'], []]]
        bench.quarantine.merge(entries)
        bench.start()
        bench.start(attempt='r1-2', request_id='q2', fingerprint=b'f2')
        await helpers_runs.wait_until(lambda: bench.server.runs)
        bench.server.up = False
        bench.server.feed('q1', BROKEN)
        await helpers_runs.wait_until(lambda: len(bench.finished) == 2)
        assert len(bench.server.runs) == 1
        assert bench.quarantine.list_quarantined() == [b'f1']
        outcomes = {f.attempt: f.outcome for f in bench.link.sent}
        assert outcomes == {'r1-1': 'quarantined', 'r1-2': 'not-run'}

    run_case(case)


@pytest.mark.parametrize(('status', 'is_cleared'), [(200, True), (404, False)])
def test_only_a_success_clears_a_request_of_a_crash(status, is_cleared):
    async def case(bench):
        bench.quarantine.merge([[b'f1', ['vm-2/1/1'], []]])
        bench.start()
        head = ports.ServerResponseHead(status, [])
        bench.server.feed('q1', head, b'a', None)
        await helpers_runs.wait_until(lambda: bench.finished)
        assert bench.quarantine.is_suspect(b'f1') is not is_cleared

    run_case(case)


def test_request_whose_caller_left_is_a_suspect_of_a_crash_soon_after():
    async def case(bench):
        run = bench.start()
        await helpers_runs.wait_until(lambda: bench.server.runs)
        bench.table.cancel('r1-1')
        await helpers_runs.wait_until(lambda: run.ending is not None)
        bench.server.up = False
        await helpers_runs.wait_until(
            lambda: bench.quarantine.is_suspect(b'f1')
        )
        assert bench.quarantine.crash_count == 1

    run_case(case)


def test_request_whose_caller_left_is_no_suspect_while_the_server_lives():
    async def case(bench):
        bench.start()
        await helpers_runs.wait_until(lambda: bench.server.runs)
        bench.table.cancel('r1-1')
        detector = bench.table.server_caller.crash_detector
        await helpers_runs.wait_until(lambda: detector.watch_tasks)
        await helpers_runs.wait_until(lambda: not detector.watch_tasks)
        bench.server.up = False
        assert not bench.quarantine.is_suspect(b'f1')
        assert not detector.abandoned

    run_case(case)


def test_rate_that_an_answer_names_is_observed():
    async def case(bench):
        limit = bench.table.server_caller.server_rate
        for number, (value, rate) in enumerate(
            (('2.5', 2.5), ('soon', 2.5), (None, None))
        ):
            headers = [['Server-Limit', value]] if value else []
            head = ports.ServerResponseHead(200, headers)
            request_id = f'q{number}'
            bench.start(attempt=f'r1-{number}', request_id=request_id)
            bench.server.feed(request_id, head, b'a', None)
            await helpers_runs.wait_until(
                lambda count=number + 1: len(bench.finished) == count
            )
            assert limit.rate == rate

    run_case(case)
