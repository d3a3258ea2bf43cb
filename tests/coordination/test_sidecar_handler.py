import asyncio
import contextlib

import pytest

from arbutusvale.protocol import messages
from tests import helpers_log
from tests import helpers_runs
from tests import helpers_sidecar as helpers
from tests import helpers_sidecar_handler


@contextlib.asynccontextmanager
async def running_sidecar(**arguments):
    sidecar = helpers_sidecar_handler.Sidecar(**arguments)
    await sidecar.health.check()
    claims_task = asyncio.create_task(sidecar.claims.run())
    await helpers_runs.wait_until(lambda: sidecar.claims.ready)
    try:
        yield sidecar
    finally:
        claims_task.cancel()
        await asyncio.gather(claims_task, return_exceptions=True)


def run_with_sidecar(work, **arguments):
    async def run():
        async with running_sidecar(**arguments) as sidecar:
            await work(sidecar)

    asyncio.run(run())


BOOKING = {'idempotent': False, 'key': 'k1', 'service': 'bookings', 'chat': ''}


def test_admitted_attempt_runs_and_frees_its_slot():
    async def work(sidecar):
        await sidecar.submit()
        sidecar.server.feed('request-a1', *helpers_runs.whole_answer(b'hello'))
        await sidecar.wait_for_message('a1', messages.End)
        assert sidecar.link.body == b'hello'
        await helpers_runs.wait_until(lambda: sidecar.scheduler.load == 0)
        assert sidecar.directory.find('c1') == 's1'

    run_with_sidecar(work)


@pytest.mark.parametrize(
    'change, reason',
    [
        ('leaving', messages.Refusal.LEAVING),
        ('no-bundle', messages.Refusal.NOT_READY),
        ('behind', messages.Refusal.NOT_READY),
        ('stale', messages.Refusal.STALE_BUNDLE),
        ('down', messages.Refusal.SERVER_DOWN),
        ('late', messages.Refusal.EXPIRED),
    ],
)
def test_refused_attempt_never_runs(change, reason):
    async def work(sidecar):
        fields = {}
        match change:
            case 'leaving':
                sidecar.drain.start_leaving('test', 0.0)
            case 'no-bundle':
                sidecar.follower.head = None
            case 'behind':
                fields['bundle_offset'] = 9
            case 'stale':
                fields['bundle_offset'] = 2
            case 'down':
                sidecar.health.mark_down()
            case 'late':
                fields['time_left'] = 0.0
        refused = await sidecar.submit_and_wait(
            'a1', messages.Refused, **fields
        )
        assert refused.reason == reason
        sidecar.drain.stop_leaving('test')
        sidecar.link.sent.clear()
        copy = await sidecar.submit_and_wait('a1', messages.Refused)
        assert copy.reason == messages.Refusal.DEAD_ATTEMPT
        assert sidecar.server.runs == []

    run_with_sidecar(work)


def test_newer_bundle_is_fetched_before_admission():
    async def work(sidecar):
        sidecar.follower.available_offset = 5
        await sidecar.submit_and_wait('a1', messages.Accepted, bundle_offset=5)

    run_with_sidecar(work)


def test_duplicate_of_a_running_attempt_is_answered_on_the_new_link():
    async def work(sidecar):
        await sidecar.submit()
        sidecar.server.feed('request-a1', helpers_runs.HEAD, b'one')
        await sidecar.wait_for_message('a1', messages.Chunk)
        other = helpers_runs.FakeLink()
        await sidecar.submit(link=other)
        sidecar.server.feed('request-a1', b'two', None)
        await sidecar.wait_for_message('a1', messages.End, other)
        assert other.body == b'onetwo'
        assert len(sidecar.server.runs) == 1

    run_with_sidecar(work)


def test_queued_attempt_can_be_reattached_and_cancelled():
    async def work(sidecar):
        for number in range(3):
            await sidecar.submit_and_wait(f'a{number}', messages.Accepted)
        other = helpers_runs.FakeLink()
        await sidecar.handler.receive(other, messages.Reattach('a2', 0))
        assert isinstance(sidecar.find_sent('a2', other)[0], messages.Accepted)
        await sidecar.handler.receive(other, messages.Cancel('a2'))
        failed = await sidecar.wait_for_message('a2', messages.Failed, other)
        assert failed.outcome == messages.Outcome.NOT_RUN
        await helpers_runs.wait_until(lambda: sidecar.scheduler.load == 2)
        assert len(sidecar.server.runs) == 2

    run_with_sidecar(work)


def test_submit_after_a_reattach_to_an_unknown_attempt_never_runs():
    async def work(sidecar):
        await sidecar.handler.receive(sidecar.link, messages.Reattach('a1', 0))
        refused = await sidecar.wait_for_message('a1', messages.Refused)
        assert refused.reason == messages.Refusal.DEAD_ATTEMPT
        await sidecar.submit('a1')
        await sidecar.submit('a2')
        await sidecar.wait_for_message('a2', messages.Accepted)
        await helpers_runs.wait_until(lambda: sidecar.server.runs)
        assert [run.request_id for run in sidecar.server.runs] == [
            'request-a2'
        ]

    run_with_sidecar(work)


def test_quarantined_request_fails_at_once():
    async def work(sidecar):
        await sidecar.quarantine.record_crash([b'f1'])
        await sidecar.quarantine.record_crash([b'f1'])
        failed = await sidecar.submit_and_wait('a1', messages.Failed)
        assert failed.outcome == messages.Outcome.QUARANTINED

    run_with_sidecar(work)


def test_retried_booking_gets_the_answer_of_its_only_run():
    async def work(sidecar):
        await sidecar.submit('a1', **BOOKING)
        await helpers_runs.wait_until(lambda: sidecar.server.runs)
        await sidecar.submit('a2', **BOOKING)
        sidecar.server.feed(
            'request-a1', *helpers_runs.whole_answer(b'booked')
        )
        for attempt in ('a1', 'a2'):
            await sidecar.wait_for_message(attempt, messages.End)
        sidecar.drain.start_leaving('test', 0.0)
        await sidecar.submit_and_wait('a3', messages.End, **BOOKING)
        assert len(sidecar.server.runs) == 1
        reused = await sidecar.submit_and_wait(
            'a4', messages.Refused, **{**BOOKING, 'fingerprint': b'other'}
        )
        assert reused.reason == messages.Refusal.KEY_REUSED

    run_with_sidecar(work)


def test_concurrent_duplicates_of_a_booking_run_once():
    async def work(sidecar):
        await asyncio.gather(
            *[sidecar.submit(f'a{n}', **BOOKING) for n in range(4)]
        )
        await helpers_runs.wait_until(lambda: sidecar.server.runs)
        request_id = sidecar.server.runs[0].request_id
        sidecar.server.feed(request_id, *helpers_runs.whole_answer(b'booked'))
        for number in range(4):
            await sidecar.wait_for_message(f'a{number}', messages.End)
        assert len(sidecar.server.runs) == 1

    run_with_sidecar(
        work, pool=helpers.make_pool(slots=4, queue=2, bound=50.0)
    )


def test_booking_claimed_elsewhere_is_redirected_to_the_claim_holder():
    log = helpers_log.FakeLog(helpers_log.FakeClock())

    async def work(sidecar):
        async with running_sidecar(vm='s2', log=log) as holder:
            await holder.submit_and_wait('b1', messages.Accepted, **BOOKING)
            await helpers_runs.wait_until(lambda: holder.server.runs)
            redirect = await sidecar.submit_and_wait(
                'a1', messages.Redirect, **BOOKING
            )
        assert redirect.vm == 's2'
        assert sidecar.server.runs == []
        assert sidecar.scheduler.load == 0

    run_with_sidecar(work, log=log)


def test_booking_is_not_run_while_the_log_is_down():
    async def work(sidecar):
        sidecar.log.down = True
        refused = await sidecar.submit_and_wait(
            'a1', messages.Refused, **BOOKING
        )
        assert refused.reason == messages.Refusal.LOG_DOWN
        assert refused.retry_after > 0
        assert sidecar.server.runs == []
        assert sidecar.scheduler.load == 0

    run_with_sidecar(work)


def test_unknown_outcome_stays_unknown_for_a_reattach():
    async def work(sidecar):
        await sidecar.submit('a1', **BOOKING)
        await helpers_runs.wait_until(lambda: sidecar.server.runs)
        sidecar.claims.is_gone = lambda vm, incarnation: True
        async with running_sidecar(vm='s2', log=sidecar.log) as other:
            other.claims.is_gone = lambda vm, incarnation: True
            failed = await other.submit_and_wait(
                'b1', messages.Failed, **BOOKING
            )
            assert failed.outcome == messages.Outcome.UNKNOWN
            other.link.sent.clear()
            await other.handler.receive(other.link, messages.Reattach('b1', 0))
            failed = await other.wait_for_message('b1', messages.Failed)
            assert failed.outcome == messages.Outcome.UNKNOWN

    run_with_sidecar(work)


def test_unreachable_server_releases_the_claim_and_is_marked_down():
    async def work(sidecar):
        sidecar.server.up = False
        failed = await sidecar.submit_and_wait(
            'a1', messages.Failed, **BOOKING
        )
        assert failed.outcome == messages.Outcome.NOT_RUN
        refused = await sidecar.submit_and_wait(
            'a2', messages.Refused, **BOOKING
        )
        assert refused.reason == messages.Refusal.SERVER_DOWN
        sidecar.server.up = True
        await sidecar.health.check()
        await sidecar.submit('a3', **BOOKING)
        sidecar.server.feed(
            'request-a3', *helpers_runs.whole_answer(b'booked')
        )
        await sidecar.wait_for_message('a3', messages.End)
        assert len(sidecar.server.runs) == 1

    run_with_sidecar(work)


def test_sidecar_refreshes_its_views_after_a_freeze_before_new_work():
    async def work(sidecar):
        sidecar.freeze_detector.last_checked_at -= 10.0
        await sidecar.submit_and_wait('a1', messages.Accepted)
        assert sidecar.refresh_count == 1

    run_with_sidecar(work)


def test_drain_lets_runs_end_and_cuts_none():
    async def work(sidecar):
        for number in range(3):
            await sidecar.submit_and_wait(f'a{number}', messages.Accepted)
        draining = asyncio.create_task(sidecar.drain.drain(5.0))
        await helpers_runs.wait_until(lambda: sidecar.drain.leaving)
        for number in range(3):
            sidecar.server.feed(
                f'request-a{number}', *helpers_runs.whole_answer(b'x')
            )
        assert await draining == []
        for number in range(3):
            await sidecar.wait_for_message(f'a{number}', messages.End)

    run_with_sidecar(work)


def test_drain_past_its_grace_period_returns_the_cut_attempts():
    async def work(sidecar):
        await sidecar.submit_and_wait('a1', messages.Accepted)
        assert await sidecar.drain.drain(0.1) == ['a1']

    run_with_sidecar(work)
