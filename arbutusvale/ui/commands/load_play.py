"""``play``: send a short seeded workload of chats to running routers."""

import asyncio
import json

from arbutusvale import errors
from arbutusvale.load import load_generator
from arbutusvale.load import report
from arbutusvale.load import router_client
from arbutusvale.load import target_fleet
from arbutusvale.load import workload_stats
from arbutusvale.load import workloads
from arbutusvale.protocol import caller_api
from arbutusvale.ui import exit_codes
from arbutusvale.ui import output
from arbutusvale.ui.commands import load_measure

CHATS_PER_S = 3
REQUEST_TIMEOUT_S = 10.0


class RouterOnlyFleet:
    """A fleet of which only the routers are reachable."""

    async def read_loads(self) -> dict[str, int]:
        """Return nothing: the engines are not reachable."""
        return {}

    async def list_cache_holders(
        self, organisation: str, chat: str
    ) -> list[str]:
        """Return nothing: the engines are not reachable."""
        return []

    async def read_traffic(self) -> list[target_fleet.ProcessTraffic]:
        """Return nothing: the processes' counters cannot be read."""
        return []

    async def drain_engine(self) -> None:
        """Do nothing: the program cannot change the pool."""

    async def start_engine(self) -> None:
        """Do nothing: the program cannot change the pool."""


def run(options: dict) -> int:
    """Run the workload and print what the callers observed."""
    stats = asyncio.run(
        run_chats(
            parse_routers(options['ROUTERS']),
            options['--key'],
            load_measure.parse_seed(options['--seed']),
            parse_seconds(options['--seconds']),
        )
    )
    summary = summarize(stats)
    if options['--json']:
        output.print_json(summary)
    else:
        rows = [[name, str(value)] for name, value in summary.items()]
        print(report.format_table(['measure', ''], rows))
    violations = stats.list_violations()
    for violation in violations:
        print(f'BROKEN: {violation}')
    if violations or not stats.answered:
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.DONE


def parse_routers(text: str) -> list[str]:
    """Parse the comma-separated URLs or addresses of the routers."""
    return [
        part.strip().removeprefix('http://').rstrip('/')
        for part in text.split(',')
    ]


def parse_seconds(text: str) -> float:
    """Parse the duration of the workload."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if seconds <= 0:
        raise errors.UsageError(
            f'{text!r} is no number of seconds.', 'Give --seconds=10.'
        )
    return seconds


async def run_chats(
    routers: list[str], api_key: str, seed: int, seconds: float
) -> workload_stats.WorkloadStats:
    """Send chats to the first model that the API key may use."""
    account = workloads.Account('caller', api_key, 1.0)
    parameters = workloads.WorkloadParameters(
        seed=seed,
        seconds=seconds,
        chats=max(1, int(CHATS_PER_S * seconds)),
        burst_chats=0,
        bookings=0,
        reads=0,
        leaves=0,
        joins=0,
    )
    model = await get_first_model(routers[0], api_key)
    target = target_fleet.Target(routers, [account], model, '')
    workload = workloads.generate_workload(parameters, [account])
    return await load_generator.LoadGenerator(
        workload, target, RouterOnlyFleet()
    ).run()


async def get_first_model(router: str, api_key: str) -> str:
    """Query a router for the first model that the API key may use."""
    reply = await router_client.send_request(
        router,
        'GET',
        caller_api.MODELS_PATH,
        [['Authorization', f'Bearer {api_key}']],
        b'',
        REQUEST_TIMEOUT_S,
    )
    models = json.loads(reply.body)['data'] if reply.status == 200 else []
    if not models:
        raise errors.UsageError(
            f'{router} offers no model: status {reply.status}. '
            f'{reply.problem}',
            'Check the address and the key.',
        )
    return models[0]['id']


def summarize(stats: workload_stats.WorkloadStats) -> dict:
    """Map the names of the printed figures to their values."""
    return {
        'turns': stats.turns,
        'answered': stats.answered,
        'cache reuse': round(stats.reuse, 3),
        **{
            f'first token {name} ms': round(value, 1)
            for name, value in workload_stats.percentiles_ms(
                stats.first_token_latency
            ).items()
        },
        **{
            f'answers {name}': count
            for name, count in sorted(stats.outcomes.items())
        },
    }
