"""Random schedules of faults against the claim managers of a pool."""

import asyncio
import collections
import dataclasses

import hypothesis
from hypothesis import strategies

from arbutusvale.coordination import claims
from tests import helpers_log

RETENTION_S = 60.0
VMS = ('vm-1', 'vm-2', 'vm-3')
KEYS = (b'1' * 16, b'2' * 16)
START_S = 0.1
SETTLE_S = 30.0


@dataclasses.dataclass
class Sidecar:
    """One sidecar process; a restart loses its state."""

    vm: str
    incarnation: int
    log: helpers_log.FakeLog

    def __post_init__(self):
        self.log_client = helpers_log.PausableLogClient(self.log)
        self.manager = claims.ClaimManager(
            self.log_client,
            self.vm,
            self.incarnation,
            clock=helpers_log.read_loop_time,
        )
        self.tasks = [asyncio.create_task(self.manager.run())]

    def end(self) -> None:
        for task in self.tasks:
            task.cancel()


class Fleet:
    """Sidecars that share a log, and the times at which each key ran."""

    def __init__(self):
        self.log = helpers_log.FakeLog(retention_s=RETENTION_S)
        self.sidecars = {vm: Sidecar(vm, 1, self.log) for vm in VMS}
        self.runs = collections.defaultdict(list)
        self.outcome_counts = collections.Counter()

    def send(self, vm: str, key: bytes) -> None:
        sidecar = self.sidecars[vm]
        sidecar.tasks.append(asyncio.create_task(self._send(sidecar, key)))

    async def _send(self, sidecar: Sidecar, key: bytes) -> None:
        await sidecar.log_client.running.wait()
        outcome = await sidecar.manager.claim(key, b'body', 10.0)
        await sidecar.log_client.running.wait()
        self.outcome_counts[type(outcome).__name__] += 1
        if outcome == claims.Won() and sidecar.manager.mark_used(key):
            self.runs[key].append(helpers_log.read_loop_time())

    def restart(self, vm: str) -> None:
        old = self.sidecars[vm]
        old.end()
        self.sidecars[vm] = Sidecar(vm, old.incarnation + 1, self.log)

    async def apply_step(self, step) -> None:
        match step:
            case ('race', vm, other, key, gap_s):
                self.send(vm, key)
                await asyncio.sleep(gap_s)
                self.send(other, key)
            case ('stall', vm, key, after_s, seconds):
                self.send(vm, key)
                await asyncio.sleep(after_s)
                self.sidecars[vm].log_client.running.clear()
                await asyncio.sleep(seconds)
            case ('send', vm, key):
                self.send(vm, key)
            case ('pause', vm):
                self.sidecars[vm].log_client.running.clear()
            case ('resume', vm):
                self.sidecars[vm].log_client.running.set()
            case ('restart', vm):
                self.restart(vm)
            case ('down', state):
                self.log.down = state
            case ('delay', seconds):
                self.log.delay_s = seconds
            case ('lose-answer',):
                self.log.lose_answers += 1
            case ('lose-append',):
                self.log.lose_appends += 1
            case ('wait', seconds):
                await asyncio.sleep(seconds)

    async def run_schedule(self, steps) -> None:
        await asyncio.sleep(START_S)
        for step in steps:
            await self.apply_step(step)
        for sidecar in self.sidecars.values():
            sidecar.log_client.running.set()
        self.log.down = False
        await asyncio.sleep(SETTLE_S)
        for sidecar in self.sidecars.values():
            sidecar.end()


def make_step(name, values):
    return strategies.tuples(strategies.just(name), values)


VM = strategies.sampled_from(VMS)
WAITS = strategies.sampled_from([0.0, 0.001, 0.01, 0.3, 2.0, 20.0, 61.0])
KEY = strategies.sampled_from(KEYS)
GAPS = strategies.sampled_from([0.0, 0.001, 0.003, 0.004, 0.02])
SEND = strategies.tuples(strategies.just('send'), VM, KEY)
RACE = strategies.tuples(strategies.just('race'), VM, VM, KEY, GAPS)
STALL = strategies.tuples(strategies.just('stall'), VM, KEY, GAPS, WAITS)
STEP = strategies.one_of(
    SEND,
    SEND,
    RACE,
    STALL,
    make_step('pause', VM),
    make_step('resume', VM),
    make_step('resume', VM),
    make_step('restart', VM),
    make_step('down', strategies.booleans()),
    make_step('delay', strategies.sampled_from([0.0, 0.02, 1.5])),
    strategies.just(('lose-answer',)),
    strategies.just(('lose-append',)),
    make_step('wait', WAITS),
    make_step('wait', WAITS),
)

PAUSED_PAST_THE_WINDOW = [
    ('delay', 0.02),
    ('stall', 'vm-1', KEYS[0], 0.02, RETENTION_S + 1),
    ('send', 'vm-2', KEYS[0]),
    ('wait', 0.3),
    ('resume', 'vm-1'),
]


@hypothesis.example(PAUSED_PAST_THE_WINDOW)
@hypothesis.settings(
    derandomize=True, max_examples=400, deadline=None, database=None
)
@hypothesis.given(strategies.lists(STEP, min_size=5, max_size=40))
def test_no_key_runs_twice_within_the_retention(steps):
    async def run():
        fleet = Fleet()
        await fleet.run_schedule(steps)
        return fleet

    fleet = helpers_log.run_in_virtual_time(run())
    for times in fleet.runs.values():
        for earlier, later in zip(times, times[1:], strict=False):
            assert later - earlier >= RETENTION_S


def test_schedule_without_faults_runs_every_key_once():
    async def run():
        fleet = Fleet()
        steps = [('send', vm, key) for vm in VMS for key in KEYS]
        await fleet.run_schedule([*steps, ('wait', 5.0), *steps])
        return fleet

    fleet = helpers_log.run_in_virtual_time(run())
    assert [len(times) for times in fleet.runs.values()] == [1, 1]
    assert fleet.outcome_counts['HeldBy'] == 8
