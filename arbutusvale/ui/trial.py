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
from arbutusvale.load import load_generator
from arbutusvale.load import process_stats
from arbutusvale.load import rates
from arbutusvale.load import report
from arbutusvale.load import target_fleet
from arbutusvale.load import workload_stats
from arbutusvale.load import workloads
from arbutusvale.protocol import caller_api
from arbutusvale.standins import fleet
from arbutusvale.standins import fleet_config
from arbutusvale.ui import operator_context
from arbutusvale.ui.commands import rollout as rollout_command

ROLLOUT_TIMEOUT_S = 20.0
PLATFORM_KIND_PREFIX = 'platform'
CANCELLED_FUTURE_LOG_PREFIX = 'Exception after Future was cancelled'


class TrialFleetAdapter:
    """Show a trial fleet to the load tool; a :class:`target_fleet.Fleet`."""

    def __init__(self, trial: fleet.TrialFleet):
        self.trial_fleet = trial
        self.digest_by_chat: dict[str, str] = {}
        self.aborted_requests = 0
        self.drain_tasks: set[asyncio.Task] = set()

    async def read_loads(self) -> dict[str, int]:
        """Return the outstanding requests of each engine in the pool."""
        return {
            name: len(guarded.server.active_runs)
            for name, guarded in self.trial_fleet.engines.items()
            if guarded.in_pool
        }

    async def list_cache_holders(
        self, organisation: str, chat: str
    ) -> list[str]:
        """Return the engines in the pool that hold a chat's prefix."""
        digest = self.chat_digest(organisation, chat)
        return [
            name
            for name, guarded in self.trial_fleet.engines.items()
            if guarded.in_pool
            and digest in guarded.server.cache.tokens_by_chat
        ]

    def chat_digest(self, organisation: str, chat: str) -> str:
        """Return the digest under which engines know a chat."""
        if chat not in self.digest_by_chat:
            self.digest_by_chat[chat] = self._digest(organisation, chat)
        return self.digest_by_chat[chat]

    def _digest(self, organisation: str, chat: str) -> str:
        """Ask the router's own code for the digest."""
        accounts = fleet_config.list_accounts(self.trial_fleet.config)
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
                f'{{"model": "{fleet_config.MODEL}", "messages": [{{}}]}}'
            ).encode(),
            chat_id=chat,
        )
        router = next(iter(self.trial_fleet.routers.values()))
        work = caller_request.resolve(
            request, router.bundle_follower.head.bundle
        )
        return work.chat

    async def read_traffic(self) -> list[target_fleet.ProcessTraffic]:
        """Return the byte counts of each router and sidecar."""
        return [
            _usage(process) for process in self.trial_fleet.list_processes()
        ]

    async def drain_engine(self) -> None:
        """Let the engine that joined first leave, while calls go on."""
        name = next(
            name
            for name, guarded in self.trial_fleet.engines.items()
            if guarded.in_pool
        )
        task = asyncio.create_task(self._leave(name))
        self.drain_tasks.add(task)

    async def _leave(self, name: str) -> None:
        """Drain an engine and count what was cut."""
        self.aborted_requests += await self.trial_fleet.drain_server(name)

    async def start_engine(self) -> None:
        """Add one engine to the pool."""
        await self.trial_fleet.add_engine()


def _usage(process: base_process.BaseProcess) -> target_fleet.ProcessTraffic:
    """Return one process's byte counts, links and platform together."""
    counters, traffic = process.link_counters, process.platform_traffic
    return target_fleet.ProcessTraffic(
        process.settings.vm,
        process.role.value,
        {**counters.sent.control_by_kind, **_named(traffic.sent)},
        {**counters.received.control_by_kind, **_named(traffic.received)},
        counters.sent.request_bytes + counters.received.request_bytes,
    )


def _named(calls: dict[str, int]) -> dict[str, int]:
    """Tell calls of the platform from messages on links."""
    return {
        f'{PLATFORM_KIND_PREFIX} {name}': count
        for name, count in calls.items()
    }


@dataclasses.dataclass(frozen=True)
class TrialResult:
    """Hold a played day's result and how its rollout ended."""

    rollout: rollout.Outcome
    result: report.PolicyResult


async def roll_out(trial: fleet.TrialFleet, version: str) -> rollout.Outcome:
    """Sign and publish the trial's bundle as the operator's command does."""
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(folder)
        (place / 'key').write_text(trial.operator_key_pair.private)
        bundle_path = place / 'bundle.yaml'
        bundle_path.write_text(
            fleet_config.format_bundle(
                trial.config, trial.operator_public_keys, version
            )
        )
        settings_path = place / 'operator.yaml'
        held = {
            'platform': f'http://{trial.platform.address}',
            'operators': trial.operator_public_keys,
            'name': fleet.OPERATOR_NAME,
            'key_file': 'key',
        }
        settings_path.write_text(yaml.safe_dump(held))
        context = operator_context.OperatorContext(str(settings_path))
        publisher = context.make_rollout()
        options = {'BUNDLE': str(bundle_path), '--parent': None}
        record = await rollout_command.prepare_record(
            context, publisher, options
        )
        return await publisher.publish(record, ROLLOUT_TIMEOUT_S)


def _is_wanted(record: logging.LogRecord) -> bool:
    """Drop what tornado logs of a long poll that a stopping process ends."""
    return not record.getMessage().startswith(CANCELLED_FUTURE_LOG_PREFIX)


async def run_trial(
    shape: fleet_config.FleetConfig, day_shape: workloads.WorkloadParameters
) -> TrialResult:
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
    return TrialResult(outcome, result)


async def _play(
    trial: fleet.TrialFleet, day_shape: workloads.WorkloadParameters
) -> report.PolicyResult:
    """Play a day on a fleet that is ready."""
    view = TrialFleetAdapter(trial)
    customers = [
        workloads.Account(account.organisation, account.api_key, account.share)
        for account in fleet_config.list_accounts(trial.config)
    ]
    target = target_fleet.Target(
        trial.list_caller_addresses(),
        customers,
        fleet_config.MODEL,
        fleet_config.PLAIN_SERVICE,
    )
    playing = load_generator.LoadGenerator(
        workloads.generate_workload(day_shape, customers), target, view
    )
    loop = asyncio.get_running_loop()
    before, cpu, began = (
        await view.read_traffic(),
        process_stats.read_own_usage(),
        loop.time(),
    )
    counts = await playing.run()
    await asyncio.gather(*view.drain_tasks)
    seconds = loop.time() - began
    control = rates.compute_control_rates(
        before, await view.read_traffic(), seconds
    )
    playing.record_booking_runs(trial.count_booking_runs())
    used = process_stats.read_own_usage()
    return _summarize(
        trial, view, counts, seconds, control, used, used.cpu_s - cpu.cpu_s
    )


def _summarize(
    trial: fleet.TrialFleet,
    view: TrialFleetAdapter,
    counts: workload_stats.WorkloadStats,
    seconds: float,
    control: dict[str, report.ControlRates],
    used: process_stats.ResourceUsage,
    cpu_s: float,
) -> report.PolicyResult:
    """Gather what a day showed."""
    bound = trial.check_load_bound()
    requests = max(1, counts.outcomes.total())
    routers = trial.routers.values()
    return report.PolicyResult(
        deployment=trial.config.name,
        policy=trial.config.policy,
        seconds=seconds,
        turns=counts.turns,
        answered=counts.answered,
        returning=counts.returning,
        reuse=counts.reuse,
        best_reuse=counts.best_reuse,
        skew_p50=counts.load_skew.percentile(50),
        skew_p99=counts.load_skew.percentile(99),
        skew_max=counts.load_skew.percentile(100),
        first_token_ms=workload_stats.percentiles_ms(
            counts.first_token_latency
        ),
        read_ms=workload_stats.percentiles_ms(counts.read_latency),
        tokens_per_s=counts.tokens / seconds,
        bookings=counts.bookings,
        booked=counts.booked,
        doubled=counts.duplicate_bookings,
        taken=bound.accepted,
        above_instant=bound.above_instant,
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


def _broken(
    counts: workload_stats.WorkloadStats,
    view: TrialFleetAdapter,
    breaches: int,
) -> list[str]:
    """Name each promise that the day broke."""
    broken = counts.list_violations()
    if breaches:
        broken.append(f'{breaches} requests were taken above the load bound')
    if view.aborted_requests:
        broken.append(
            f'{view.aborted_requests} requests were cut by a leaving engine'
        )
    return broken
