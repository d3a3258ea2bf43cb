import asyncio
import contextlib

import pytest

from arbutusvale.coordination import claim_stream
from arbutusvale.coordination import claims
from arbutusvale.protocol import claim_record
from tests import helpers_log
from tests import helpers_runs

KEY = b'k' * 16
BODY = b'b' * 16
OTHER_BODY = b'e' * 16


@contextlib.asynccontextmanager
async def run_manager(log, vm='vm-1', incarnation=1, gone_vms=(), lazy=False):
    """Run a claim manager, which has read the log when this is entered."""
    manager = claims.ClaimManager(
        log,
        vm,
        incarnation,
        is_gone=lambda name, number: name in gone_vms,
        clock=helpers_log.read_loop_time,
        lazy=lazy,
    )
    task = asyncio.create_task(manager.run())
    await helpers_runs.wait_until(lambda: manager.ready or log.down)
    try:
        yield manager
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def run_case(case):
    async def run():
        await case(helpers_log.FakeLog())

    helpers_log.run_in_virtual_time(run())


def test_won_claim_can_be_used_only_once():
    async def case(log):
        async with run_manager(log) as manager:
            assert manager.lookup(KEY, BODY) is None
            assert await manager.claim(KEY, BODY, 5) == claims.Won()
            assert manager.mark_used(KEY)
            assert not manager.mark_used(KEY)
            assert manager.lookup(KEY, BODY) == claims.Used()
            assert manager.lookup(KEY, OTHER_BODY) == claims.KeyReused()
            manager.clear_used(KEY)
            assert manager.mark_used(KEY)

    run_case(case)


def test_lazy_manager_reads_earlier_claims_before_its_first_claim():
    async def case(log):
        async with run_manager(log) as manager:
            assert await manager.claim(KEY, BODY, 5) == claims.Won()
        async with run_manager(log, 'vm-2', lazy=True) as late:
            assert late.shards[0].next_offset == 0
            outcome = await late.claim(KEY, BODY, 5)
            assert outcome == claims.HeldBy('vm-1', 1)
            assert await late.claim(b'n' * 16, BODY, 5) == claims.Won()

    run_case(case)


class CountingLog:
    """Wrapper of a log that counts the reads."""

    def __init__(self, log):
        self.log = log
        self.append = log.append
        self.down = False
        self.reads = 0

    async def read(self, stream, start, wait):
        self.reads += 1
        return await self.log.read(stream, start, wait)


def test_claims_of_others_are_read_in_batches_but_own_claims_at_once():
    async def case(log):
        counting = CountingLog(log)
        async with (
            run_manager(log, 'vm-2') as other,
            run_manager(counting) as own,
        ):
            for number in range(20):
                await other.claim(bytes([number]) * 16, BODY, 5)
                await asyncio.sleep(0.1)
            assert counting.reads <= 6
            began = helpers_log.read_loop_time()
            assert await own.claim(KEY, BODY, 5) == claims.Won()
            assert helpers_log.read_loop_time() - began < 0.1

    run_case(case)


def test_one_of_two_racing_sidecars_wins():
    async def case(log):
        async with run_manager(log) as one, run_manager(log, 'vm-2') as two:
            outcomes = await asyncio.gather(
                one.claim(KEY, BODY, 5), two.claim(KEY, BODY, 5)
            )
            assert outcomes == [claims.Won(), claims.HeldBy('vm-1', 1)]
            assert not two.mark_used(KEY)

    run_case(case)


def test_claim_with_a_lost_append_answer_is_confirmed_by_reading():
    async def case(log):
        async with run_manager(log) as manager:
            log.lose_answers = 1
            assert await manager.claim(KEY, BODY, 5) == claims.Won()
            assert log.appends == 1

    run_case(case)


def test_lost_append_allows_no_run_and_a_resend_claims_again():
    async def case(log):
        async with run_manager(log) as manager:
            log.lose_appends = 1
            outcome = await manager.claim(KEY, BODY, 30)
            assert isinstance(outcome, claims.LogDown)
            assert not manager.mark_used(KEY)
            assert await manager.claim(KEY, BODY, 5) == claims.Won()

    run_case(case)


def test_claim_that_timed_out_may_run_for_a_resend():
    async def case(log):
        async with run_manager(log) as manager:
            log.delay_s = 1.0
            outcome = await manager.claim(KEY, BODY, 0.5)
            assert isinstance(outcome, claims.LogDown)
            await asyncio.sleep(5)
            assert manager.lookup(KEY, BODY) == claims.Won()
            assert log.appends == 1

    run_case(case)


def test_unavailable_log_is_reported_at_once_and_used_after_recovery():
    async def case(log):
        async with run_manager(log) as manager:
            log.down = True
            before = helpers_log.read_loop_time()
            outcome = await manager.claim(KEY, BODY, 5)
            assert isinstance(outcome, claims.LogDown)
            assert helpers_log.read_loop_time() - before < 0.1
            log.down = False
            await asyncio.sleep(1)
            assert await manager.claim(KEY, BODY, 5) == claims.Won()

    run_case(case)


def test_starting_sidecar_waits_for_the_retained_claims():
    async def case(log):
        async with run_manager(log) as manager:
            await manager.claim(KEY, BODY, 5)
            manager.mark_used(KEY)
        log.down = True
        async with run_manager(log, incarnation=2) as manager:
            outcome = await manager.claim(KEY, BODY, 5)
            assert isinstance(outcome, claims.NotYet)
            log.down = False
            await helpers_runs.wait_until(lambda: manager.ready)
            outcome = await manager.claim(KEY, BODY, 5)
            assert outcome == claims.HolderGone()

    run_case(case)


def test_outcome_is_final_when_the_holder_is_gone():
    async def case(log):
        async with run_manager(log) as manager:
            await manager.claim(KEY, BODY, 5)
        async with run_manager(log, 'vm-2', gone_vms=['vm-1']) as other:
            assert other.lookup(KEY, BODY) == claims.HolderGone()

    run_case(case)


def test_reader_that_missed_records_refuses_new_keys_for_the_retention():
    async def case(log):
        log_client = helpers_log.PausableLogClient(log)
        log_client.down = False
        async with run_manager(log_client) as manager:
            log_client.running.clear()
            record = claim_record.ClaimRecord(
                'vm-2', 1, [claim_record.KeyClaim(KEY, BODY, 1)]
            )
            log.add_record(claim_record.encode(record))
            await asyncio.sleep(helpers_log.RETENTION_S + 1)
            log.add_record(claim_record.encode(record))
            log_client.running.set()
            stream = manager.shards[0]
            await helpers_runs.wait_until(lambda: stream.next_offset == 2)
            outcome = await manager.claim(OTHER_BODY, BODY, 5)
            assert outcome.reason == 'claims-missing'
            await asyncio.sleep(helpers_log.RETENTION_S)
            assert await manager.claim(OTHER_BODY, BODY, 5) == claims.Won()

    run_case(case)


def test_claim_is_unusable_after_its_share_of_the_retention():
    async def case(log):
        async with run_manager(log) as manager:
            await manager.claim(KEY, BODY, 5)
            share = claim_stream.USABLE_SHARE
            await asyncio.sleep(helpers_log.RETENTION_S * share)
            assert not manager.mark_used(KEY)
            assert manager.lookup(KEY, BODY) == claims.HolderGone()

    run_case(case)


def test_claims_made_within_the_batch_delay_share_an_append():
    async def case(log):
        async with run_manager(log) as manager:
            keys = [number.to_bytes(16, 'big') for number in range(100)]
            outcomes = await asyncio.gather(
                *(manager.claim(key, BODY, 5) for key in keys)
            )
            assert set(outcomes) == {claims.Won()}
            assert log.appends == 1

    run_case(case)


@pytest.mark.parametrize('data', [b'\xff', b'\x80', b'\x83\x61a\x01\x81\x01'])
def test_malformed_record_is_skipped(data):
    async def case(log):
        log.add_record(data)
        async with run_manager(log) as manager:
            assert await manager.claim(KEY, BODY, 5) == claims.Won()

    run_case(case)
