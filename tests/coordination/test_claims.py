import asyncio
import contextlib

import pytest

from arbutusvale.coordination import claim_stream
from arbutusvale.coordination import claims
from arbutusvale.protocol import claimrecord
from tests import helpers_log
from tests import helpers_runs

KEY = b'k' * 16
BODY = b'b' * 16
ELSE = b'e' * 16


@contextlib.asynccontextmanager
async def keeper_at(log, vm='vm-1', incarnation=1, gone=(), lazy=False):
    """Run a claim keeper until it has read the log."""
    keeper = claims.ClaimManager(
        log,
        vm,
        incarnation,
        is_gone=lambda name, number: name in gone,
        clock=helpers_log.read_loop_time,
        lazy=lazy,
    )
    task = asyncio.create_task(keeper.run())
    await helpers_runs.wait_until(lambda: keeper.ready or log.down)
    try:
        yield keeper
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def run_case(case):
    async def run():
        await case(helpers_log.FakeLog())

    helpers_log.run_in_virtual_time(run())


def test_won_key_is_used_once():
    async def case(log):
        async with keeper_at(log) as keeper:
            assert keeper.lookup(KEY, BODY) is None
            assert await keeper.claim(KEY, BODY, 5) == claims.Won()
            assert keeper.mark_used(KEY)
            assert not keeper.mark_used(KEY)
            assert keeper.lookup(KEY, BODY) == claims.Used()
            assert keeper.lookup(KEY, ELSE) == claims.KeyReused()
            keeper.clear_used(KEY)
            assert keeper.mark_used(KEY)

    run_case(case)


def test_lazy_keeper_reads_earlier_claims_before_its_first():
    async def case(log):
        async with keeper_at(log) as keeper:
            assert await keeper.claim(KEY, BODY, 5) == claims.Won()
        async with keeper_at(log, 'vm-2', lazy=True) as late:
            assert late.shards[0].next_offset == 0
            outcome = await late.claim(KEY, BODY, 5)
            assert outcome == claims.HeldBy('vm-1', 1)
            assert await late.claim(b'n' * 16, BODY, 5) == claims.Won()

    run_case(case)


class CountingLog:
    """Pass calls on to a log and count the reads."""

    def __init__(self, log):
        self.log = log
        self.append = log.append
        self.down = False
        self.reads = 0

    async def read(self, stream, start, wait):
        self.reads += 1
        return await self.log.read(stream, start, wait)


def test_claims_of_others_are_read_together_but_own_ones_at_once():
    async def case(log):
        counting = CountingLog(log)
        async with keeper_at(log, 'vm-2') as other, keeper_at(counting) as own:
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
        async with keeper_at(log) as one, keeper_at(log, 'vm-2') as two:
            outcomes = await asyncio.gather(
                one.claim(KEY, BODY, 5), two.claim(KEY, BODY, 5)
            )
            assert outcomes == [claims.Won(), claims.HeldBy('vm-1', 1)]
            assert not two.mark_used(KEY)

    run_case(case)


def test_lost_append_answer_is_found_in_the_log():
    async def case(log):
        async with keeper_at(log) as keeper:
            log.lose_answers = 1
            assert await keeper.claim(KEY, BODY, 5) == claims.Won()
            assert log.appends == 1

    run_case(case)


def test_lost_append_is_not_run_and_a_resend_claims_again():
    async def case(log):
        async with keeper_at(log) as keeper:
            log.lose_appends = 1
            outcome = await keeper.claim(KEY, BODY, 30)
            assert isinstance(outcome, claims.LogDown)
            assert not keeper.mark_used(KEY)
            assert await keeper.claim(KEY, BODY, 5) == claims.Won()

    run_case(case)


def test_claim_that_timed_out_may_run_for_a_resend():
    async def case(log):
        async with keeper_at(log) as keeper:
            log.delay_s = 1.0
            outcome = await keeper.claim(KEY, BODY, 0.5)
            assert isinstance(outcome, claims.LogDown)
            await asyncio.sleep(5)
            assert keeper.lookup(KEY, BODY) == claims.Won()
            assert log.appends == 1

    run_case(case)


def test_log_down_is_told_at_once_and_the_log_back_is_used():
    async def case(log):
        async with keeper_at(log) as keeper:
            log.down = True
            before = helpers_log.read_loop_time()
            outcome = await keeper.claim(KEY, BODY, 5)
            assert isinstance(outcome, claims.LogDown)
            assert helpers_log.read_loop_time() - before < 0.1
            log.down = False
            await asyncio.sleep(1)
            assert await keeper.claim(KEY, BODY, 5) == claims.Won()

    run_case(case)


def test_starting_sidecar_waits_for_the_retained_claims():
    async def case(log):
        async with keeper_at(log) as keeper:
            await keeper.claim(KEY, BODY, 5)
            keeper.mark_used(KEY)
        log.down = True
        async with keeper_at(log, incarnation=2) as keeper:
            outcome = await keeper.claim(KEY, BODY, 5)
            assert isinstance(outcome, claims.NotYet)
            log.down = False
            await helpers_runs.wait_until(lambda: keeper.ready)
            outcome = await keeper.claim(KEY, BODY, 5)
            assert outcome == claims.HolderGone()

    run_case(case)


def test_holder_known_as_gone_makes_the_outcome_final():
    async def case(log):
        async with keeper_at(log) as keeper:
            await keeper.claim(KEY, BODY, 5)
        async with keeper_at(log, 'vm-2', gone=['vm-1']) as other:
            assert other.lookup(KEY, BODY) == claims.HolderGone()

    run_case(case)


def test_reader_with_a_hole_refuses_until_it_is_older_than_the_window():
    async def case(log):
        view = helpers_log.PausableView(log)
        view.down = False
        async with keeper_at(view) as keeper:
            view.running.clear()
            record = claimrecord.ClaimRecord(
                'vm-2', 1, [claimrecord.KeyClaim(KEY, BODY, 1)]
            )
            log.put(claimrecord.encode(record))
            await asyncio.sleep(helpers_log.RETENTION_S + 1)
            log.put(claimrecord.encode(record))
            view.running.set()
            stream = keeper.shards[0]
            await helpers_runs.wait_until(lambda: stream.next_offset == 2)
            outcome = await keeper.claim(ELSE, BODY, 5)
            assert outcome.reason == 'claims-missing'
            await asyncio.sleep(helpers_log.RETENTION_S)
            assert await keeper.claim(ELSE, BODY, 5) == claims.Won()

    run_case(case)


def test_claim_older_than_its_share_of_the_window_is_not_used():
    async def case(log):
        async with keeper_at(log) as keeper:
            await keeper.claim(KEY, BODY, 5)
            share = claim_stream.USABLE_SHARE
            await asyncio.sleep(helpers_log.RETENTION_S * share)
            assert not keeper.mark_used(KEY)
            assert keeper.lookup(KEY, BODY) == claims.HolderGone()

    run_case(case)


def test_claims_of_a_few_milliseconds_share_an_append():
    async def case(log):
        async with keeper_at(log) as keeper:
            keys = [number.to_bytes(16, 'big') for number in range(100)]
            outcomes = await asyncio.gather(
                *(keeper.claim(key, BODY, 5) for key in keys)
            )
            assert set(outcomes) == {claims.Won()}
            assert log.appends == 1

    run_case(case)


@pytest.mark.parametrize('data', [b'\xff', b'\x80', b'\x83\x61a\x01\x81\x01'])
def test_malformed_record_is_passed_over(data):
    async def case(log):
        log.put(data)
        async with keeper_at(log) as keeper:
            assert await keeper.claim(KEY, BODY, 5) == claims.Won()

    run_case(case)
