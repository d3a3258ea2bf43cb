"""Runs of a workload on a trial fleet, for the demo and the measurements."""

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
    """Adapter of a trial fleet to :class:`target_fleet.Fleet`.

    ``aborted_requests`` counts the requests that draining engines cut.
    """

    def __init__(self, trial_fleet: fleet.TrialFleet):
        self.trial_fleet = trial_fleet
        self.digest_by_chat: dict[str, str] = {}
        self.aborted_requests = 0
        self.drain_tasks: set[asyncio.Task] = set()

    async def read_loads(self) -> dict[str, int]:
        """Return the requests in flight of each engine in the pool."""
        return {
            name: len(engine.server.active_runs)
            for name, engine in self.trial_fleet.engines.items()
            if engine.in_pool
        }

    async def list_cache_holders(
        self, organisation: str, chat: str
    ) -> list[str]:
        """Return the engines in the pool that cache a chat's prefix."""
        digest = self.chat_digest(organisation, chat)
        return [
            name
            for name, engine in self.trial_fleet.engines.items()
            if engine.in_pool and digest in engine.server.cache.tokens_by_chat
        ]

    def chat_digest(self, organisation: str, chat: str) -> str:
        """Return the digest that identifies a chat to engines."""
        if chat not in self.digest_by_chat:
            self.digest_by_chat[chat] = self._compute_chat_digest(
                organisation, chat
            )
        return self.digest_by_chat[chat]

    def _compute_chat_digest(self, organisation: str, chat: str) -> str:
        """Resolve a request of the chat with the router's own code."""
        accounts = fleet_config.list_accounts(self.trial_fleet.config)
        account_key = next(
            account.api_key
            for account in accounts
            if account.organisation == organisation
        )
        request = caller_request.CallerRequest(
            request_id='',
            api_key=account_key,
            method='POST',
            path=caller_api.CHAT_PATH,
            headers=[],
            body=(
                f'{{"model": "{fleet_config.MODEL}", "messages": [{{}}]}}'
            ).encode(),
            chat_id=chat,
        )
        router = next(iter(self.trial_fleet.routers.values()))
        resolved = caller_request.resolve(
            request, router.bundle_follower.head.bundle
        )
        return resolved.chat

    async def read_traffic(self) -> list[target_fleet.ProcessTraffic]:
        """Return the byte counts of each router and sidecar."""
        return [
            _read_process_traffic(process)
            for process in self.trial_fleet.list_processes()
        ]

    async def drain_engine(self) -> None:
        """Start to drain the oldest engine; don't wait for its end."""
        name = next(
            name
            for name, engine in self.trial_fleet.engines.items()
            if engine.in_pool
        )
        task = asyncio.create_task(self._drain(name))
        self.drain_tasks.add(task)

    async def _drain(self, name: str) -> None:
        """Drain an engine and count the requests that it cut."""
        self.aborted_requests += await self.trial_fleet.drain_server(name)

    async def start_engine(self) -> None:
        """Add one engine to the pool."""
        await self.trial_fleet.add_engine()


def _read_process_traffic(
    process: base_process.BaseProcess,
) -> target_fleet.ProcessTraffic:
    """Return the bytes that a process exchanged on links and the platform."""
    counters, traffic = process.link_counters, process.platform_traffic
    return target_fleet.ProcessTraffic(
        process.settings.vm,
        process.role.value,
        {**counters.sent.control_by_kind, **_prefix_kinds(traffic.sent)},
        {
            **counters.received.control_by_kind,
            **_prefix_kinds(traffic.received),
        },
        counters.sent.request_bytes + counters.received.request_bytes,
    )


def _prefix_kinds(bytes_by_kind: dict[str, int]) -> dict[str, int]:
    """Prefix kinds of platform traffic, to separate them from messages."""
    return {
        f'{PLATFORM_KIND_PREFIX} {name}': byte_count
        for name, byte_count in bytes_by_kind.items()
    }


@dataclasses.dataclass(frozen=True)
class TrialResult:
    """Outcome of the rollout and result of the workload."""

    rollout: rollout.Outcome
    result: report.PolicyResult


async def roll_out(
    trial_fleet: fleet.TrialFleet, version: str
) -> rollout.Outcome:
    """Sign and publish the trial's bundle as ``arbutusvale rollout`` does."""
    with tempfile.TemporaryDirectory() as folder:
        folder_path = pathlib.Path(folder)
        (folder_path / 'key').write_text(trial_fleet.operator_key_pair.private)
        bundle_path = folder_path / 'bundle.yaml'
        bundle_path.write_text(
            fleet_config.format_bundle(
                trial_fleet.config, trial_fleet.operator_public_keys, version
            )
        )
        settings_path = folder_path / 'operator.yaml'
        operator_settings = {
            'platform': f'http://{trial_fleet.platform.address}',
            'operators': trial_fleet.operator_public_keys,
            'name': fleet.OPERATOR_NAME,
            'key_file': 'key',
        }
        settings_path.write_text(yaml.safe_dump(operator_settings))
        context = operator_context.OperatorContext(str(settings_path))
        publisher = context.make_rollout()
        options = {'BUNDLE': str(bundle_path), '--parent': None}
        record = await rollout_command.prepare_record(
            context, publisher, options
        )
        return await publisher.publish(record, ROLLOUT_TIMEOUT_S)


def _keep_log_record(record: logging.LogRecord) -> bool:
    """Return whether to log a record.

    When a process stops during a long poll, tornado logs the exception of
    the cancelled request; it is not a fault.
    """
    return not record.getMessage().startswith(CANCELLED_FUTURE_LOG_PREFIX)


async def run_trial(
    config: fleet_config.FleetConfig, parameters: workloads.WorkloadParameters
) -> TrialResult:
    """Start a fleet, roll out its bundle, run the workload, stop the fleet."""
    logging.getLogger('tornado.application').addFilter(_keep_log_record)
    trial_fleet = fleet.TrialFleet(config)
    await trial_fleet.start()
    try:
        outcome = await roll_out(trial_fleet, 'trial-1')
        if not isinstance(outcome, rollout.InForceEverywhere):
            raise errors.ArbutusvaleError(
                f'The rollout ended as {outcome}.',
                'Look at the log lines with --verbose.',
            )
        await trial_fleet.wait_ready()
        result = await _run_workload(trial_fleet, parameters)
    finally:
        await trial_fleet.stop()
    return TrialResult(outcome, result)


async def _run_workload(
    trial_fleet: fleet.TrialFleet, parameters: workloads.WorkloadParameters
) -> report.PolicyResult:
    """Run a workload on a fleet that is ready."""
    adapter = TrialFleetAdapter(trial_fleet)
    accounts = [
        workloads.Account(account.organisation, account.api_key, account.share)
        for account in fleet_config.list_accounts(trial_fleet.config)
    ]
    target = target_fleet.Target(
        trial_fleet.list_caller_addresses(),
        accounts,
        fleet_config.MODEL,
        fleet_config.PLAIN_SERVICE,
    )
    generator = load_generator.LoadGenerator(
        workloads.generate_workload(parameters, accounts), target, adapter
    )
    loop = asyncio.get_running_loop()
    traffic_before, usage_before, started_at = (
        await adapter.read_traffic(),
        process_stats.read_own_usage(),
        loop.time(),
    )
    stats = await generator.run()
    await asyncio.gather(*adapter.drain_tasks)
    seconds = loop.time() - started_at
    rates_by_role = rates.compute_control_rates(
        traffic_before, await adapter.read_traffic(), seconds
    )
    generator.record_booking_runs(trial_fleet.count_booking_runs())
    usage_after = process_stats.read_own_usage()
    return _summarize(
        trial_fleet,
        adapter,
        stats,
        seconds,
        rates_by_role,
        usage_after,
        usage_after.cpu_s - usage_before.cpu_s,
    )


def _summarize(
    trial_fleet: fleet.TrialFleet,
    adapter: TrialFleetAdapter,
    stats: workload_stats.WorkloadStats,
    seconds: float,
    rates_by_role: dict[str, report.ControlRates],
    usage: process_stats.ResourceUsage,
    cpu_s: float,
) -> report.PolicyResult:
    """Collect the figures of a run."""
    bound_report = trial_fleet.check_load_bound()
    requests = max(1, stats.outcomes.total())
    routers = trial_fleet.routers.values()
    return report.PolicyResult(
        deployment=trial_fleet.config.name,
        policy=trial_fleet.config.policy,
        seconds=seconds,
        turns=stats.turns,
        answered=stats.answered,
        returning=stats.returning,
        reuse=stats.reuse,
        best_reuse=stats.best_reuse,
        skew_p50=stats.load_skew.percentile(50),
        skew_p99=stats.load_skew.percentile(99),
        skew_max=stats.load_skew.percentile(100),
        first_token_ms=workload_stats.percentiles_ms(
            stats.first_token_latency
        ),
        read_ms=workload_stats.percentiles_ms(stats.read_latency),
        tokens_per_s=stats.tokens / seconds,
        bookings=stats.bookings,
        booked=stats.booked,
        doubled=stats.duplicate_bookings,
        taken=bound_report.accepted,
        above_instant=bound_report.above_instant,
        bound_breaches=len(bound_report.breaches),
        highest_excess=max(
            (breach.load - breach.allowed for breach in bound_report.breaches),
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
        rss_mb=usage.rss_bytes / math.pow(1024, 2),
        control=rates_by_role,
        outcomes=dict(stats.outcomes),
        broken=_list_violations(stats, adapter, len(bound_report.breaches)),
    )


def _list_violations(
    stats: workload_stats.WorkloadStats,
    adapter: TrialFleetAdapter,
    breach_count: int,
) -> list[str]:
    """Describe each guarantee that was violated."""
    violations = stats.list_violations()
    if breach_count:
        violations.append(
            f'{breach_count} requests were taken above the load bound'
        )
    if adapter.aborted_requests:
        violations.append(
            f'{adapter.aborted_requests} requests were cut by a leaving engine'
        )
    return violations
