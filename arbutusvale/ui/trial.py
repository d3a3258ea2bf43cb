"""Play a day on the trial fleet, for the demo and the measurements."""

import asyncio
import dataclasses
import logging
import math
import pathlib
import tempfile

import yaml

from arbutusvale import base_process
from arbutusvale import errors
from arbutusvale.coordination import caller_request
from arbutusvale.coordination import rollout
from arbutusvale.load import fleetview
from arbutusvale.load import plan
from arbutusvale.load import player
from arbutusvale.load import procstat
from arbutusvale.load import rates
from arbutusvale.load import report
from arbutusvale.load import score
from arbutusvale.protocol import caller_api
from arbutusvale.standins import fleet
from arbutusvale.standins import fleetshape
from arbutusvale.ui import operatordesk
from arbutusvale.ui.commands import rollout as rollout_command

ROLLOUT_TIMEOUT_S = 20.0
PLATFORM_KIND = 'platform'
LATE_EXCEPTION = 'Exception after Future was cancelled'


class TrialView:
    """Show a trial fleet to the load tool; a :class:`fleetview.Fleet`."""

    def __init__(self, trial: fleet.TrialFleet):
        self.trial = trial
        self.digests: dict[str, str] = {}
        self.cut = 0
        self.leaving: set[asyncio.Task] = set()

    async def loads(self) -> dict[str, int]:
        """Return the outstanding requests of each engine in the pool."""
        return {
            name: len(guarded.server.active)
            for name, guarded in self.trial.engines.items()
            if guarded.live
        }

    async def holders(self, organisation: str, chat: str) -> list[str]:
        """Return the engines in the pool that hold a chat's prefix."""
        digest = self.find_digest(organisation, chat)
        return [
            name
            for name, guarded in self.trial.engines.items()
            if guarded.live and digest in guarded.server.cache.tokens
        ]

    def find_digest(self, organisation: str, chat: str) -> str:
        """Return the digest under which engines know a chat."""
        if chat not in self.digests:
            self.digests[chat] = self._digest(organisation, chat)
        return self.digests[chat]

    def _digest(self, organisation: str, chat: str) -> str:
        """Ask the router's own code for the digest."""
        accounts = fleetshape.list_accounts(self.trial.shape)
        key = next(
            account.api_key
            for account in accounts
            if account.organisation == organisation
        )
        request = caller_request.CallerRequest(
            request_id='',
            api_key=key,
            method='POST',
            path=caller_api.CHAT_PATH,
            headers=[],
            body=(
                f'{{"model": "{fleetshape.MODEL}", "messages": [{{}}]}}'
            ).encode(),
            chat_id=chat,
        )
        router = next(iter(self.trial.routers.values()))
        work = caller_request.resolve(
            request, router.bundle_follower.head.bundle
        )
        return work.chat

    async def usage(self) -> list[fleetview.ProcessUsage]:
        """Return the byte counts of each router and sidecar."""
        return [_usage(process) for process in self.trial.processes()]

    async def leave(self) -> None:
        """Let the engine that joined first leave, while calls go on."""
        name = next(
            name
            for name, guarded in self.trial.engines.items()
            if guarded.live
        )
        task = asyncio.create_task(self._leave(name))
        self.leaving.add(task)

    async def _leave(self, name: str) -> None:
        """Drain an engine and count what was cut."""
        self.cut += await self.trial.leave(name)

    async def join(self) -> None:
        """Add one engine to the pool."""
        await self.trial.add_engine()


def _usage(process: base_process.BaseProcess) -> fleetview.ProcessUsage:
    """Return one process's byte counts, links and platform together."""
    counters, traffic = process.link_counters, process.platform_traffic
    return fleetview.ProcessUsage(
        process.settings.vm,
        process.role.value,
        {**counters.sent.control_by_kind, **_named(traffic.sent)},
        {**counters.received.control_by_kind, **_named(traffic.received)},
        counters.sent.request_bytes + counters.received.request_bytes,
    )


def _named(calls: dict[str, int]) -> dict[str, int]:
    """Tell calls of the platform from messages on links."""
    return {f'{PLATFORM_KIND} {name}': count for name, count in calls.items()}


@dataclasses.dataclass(frozen=True)
class Trial:
    """Hold a played day's result and how its rollout ended."""

    rollout: rollout.Outcome
    result: report.PolicyResult


async def roll_out(trial: fleet.TrialFleet, version: str) -> rollout.Outcome:
    """Sign and publish the trial's bundle as the operator's command does."""
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(folder)
        (place / 'key').write_text(trial.keys.private)
        bundle_path = place / 'bundle.yaml'
        bundle_path.write_text(
            fleetshape.write_bundle(trial.shape, trial.operators, version)
        )
        settings_path = place / 'operator.yaml'
        held = {
            'platform': f'http://{trial.platform.address}',
            'operators': trial.operators,
            'name': fleet.OPERATOR,
            'key_file': 'key',
        }
        settings_path.write_text(yaml.safe_dump(held))
        desk = operatordesk.OperatorDesk(str(settings_path))
        publisher = desk.make_rollout()
        options = {'BUNDLE': str(bundle_path), '--parent': None}
        record = await rollout_command.prepare(desk, publisher, options)
        return await publisher.publish(record, ROLLOUT_TIMEOUT_S)


def _is_wanted(record: logging.LogRecord) -> bool:
    """Drop what tornado logs of a long poll that a stopping process ends."""
    return not record.getMessage().startswith(LATE_EXCEPTION)


async def play_day(
    shape: fleetshape.FleetShape, day_shape: plan.DayShape
) -> Trial:
    """Start a fleet, roll out its bundle, play a day and stop all."""
    logging.getLogger('tornado.application').addFilter(_is_wanted)
    trial = fleet.TrialFleet(shape)
    await trial.start()
    try:
        outcome = await roll_out(trial, 'trial-1')
        if not isinstance(outcome, rollout.InForceEverywhere):
            raise errors.ArbutusvaleError(
                f'The rollout ended as {outcome}.',
                'Look at the log lines with --verbose.',
            )
        await trial.wait_ready()
        result = await _play(trial, day_shape)
    finally:
        await trial.stop()
    return Trial(outcome, result)


async def _play(
    trial: fleet.TrialFleet, day_shape: plan.DayShape
) -> report.PolicyResult:
    """Play a day on a fleet that is ready."""
    view = TrialView(trial)
    customers = [
        plan.Customer(account.organisation, account.api_key, account.share)
        for account in fleetshape.list_accounts(trial.shape)
    ]
    target = fleetview.Target(
        trial.caller_addresses(),
        customers,
        fleetshape.MODEL,
        fleetshape.PLAIN_SERVICE,
    )
    playing = player.Player(plan.plan_day(day_shape, customers), target, view)
    loop = asyncio.get_running_loop()
    before, cpu, began = await view.usage(), procstat.read_own(), loop.time()
    counts = await playing.play()
    await asyncio.gather(*view.leaving)
    seconds = loop.time() - began
    control = rates.control_rates(before, await view.usage(), seconds)
    playing.check_runs(trial.count_bookings())
    used = procstat.read_own()
    return _summarize(
        trial, view, counts, seconds, control, used, used.cpu_s - cpu.cpu_s
    )


def _summarize(
    trial: fleet.TrialFleet,
    view: TrialView,
    counts: score.Score,
    seconds: float,
    control: dict[str, report.ProcessRates],
    used: procstat.Usage,
    cpu_s: float,
) -> report.PolicyResult:
    """Gather what a day showed."""
    bound = trial.check_bound()
    requests = max(1, counts.outcomes.total())
    routers = trial.routers.values()
    return report.PolicyResult(
        deployment=trial.shape.name,
        policy=trial.shape.policy,
        seconds=seconds,
        turns=counts.turns,
        answered=counts.answered,
        returning=counts.returning,
        reuse=counts.reuse,
        best_reuse=counts.best_reuse,
        skew_p50=counts.skew.percentile(50),
        skew_p99=counts.skew.percentile(99),
        skew_max=counts.skew.percentile(100),
        first_token_ms=score.milliseconds(counts.first_token),
        read_ms=score.milliseconds(counts.read_time),
        tokens_per_s=counts.tokens / seconds,
        bookings=counts.bookings,
        booked=counts.booked,
        doubled=counts.doubled,
        taken=bound.taken,
        above_instant=bound.instant,
        bound_breaches=len(bound.breaches),
        highest_excess=max(
            (breach.load - breach.allowed for breach in bound.breaches),
            default=0,
        ),
        redirects_per_request=sum(
            router.dispatcher.metrics.redirects for router in routers
        )
        / requests,
        retries_per_request=sum(
            router.dispatcher.metrics.retries for router in routers
        )
        / requests,
        cpu_ms_per_request=cpu_s / requests * 1e3,
        rss_mb=used.rss_bytes / math.pow(1024, 2),
        control=control,
        outcomes=dict(counts.outcomes),
        broken=_broken(counts, view, len(bound.breaches)),
    )


def _broken(counts: score.Score, view: TrialView, breaches: int) -> list[str]:
    """Name each promise that the day broke."""
    broken = counts.broken_promises()
    if breaches:
        broken.append(f'{breaches} requests were taken above the load bound')
    if view.cut:
        broken.append(f'{view.cut} requests were cut by a leaving engine')
    return broken
