"""Play a short seeded day of chats against running routers."""

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
    """Stand for a fleet of which only the routers can be reached."""

    async def read_loads(self) -> dict[str, int]:
        """Return nothing: engines cannot be asked."""
        return {}

    async def list_cache_holders(
        self, organisation: str, chat: str
    ) -> list[str]:
        """Return nothing: engines cannot be asked."""
        return []

    async def read_traffic(self) -> list[target_fleet.ProcessTraffic]:
        """Return nothing: the processes' counts are not read."""
        return []

    async def drain_engine(self) -> None:
        """Do nothing: the pool is not this program's to change."""

    async def start_engine(self) -> None:
        """Do nothing: the pool is not this program's to change."""


def run(options: dict) -> int:
    """Play the day and print what the callers saw."""
    counts = asyncio.run(
        run_chats(
            parse_routers(options['ROUTERS']),
            options['--key'],
            load_measure.parse_seed(options['--seed']),
            parse_seconds(options['--seconds']),
        )
    )
    shown = summarize(counts)
    if options['--json']:
        output.print_json(shown)
    else:
        rows = [[name, str(value)] for name, value in shown.items()]
        print(report.format_table(['measure', ''], rows))
    broken = counts.list_violations()
    for each in broken:
        print(f'BROKEN: {each}')
    if broken or not counts.answered:
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.DONE


def parse_routers(text: str) -> list[str]:
    """Read the routers' URLs or addresses."""
    return [
        part.strip().removeprefix('http://').rstrip('/')
        for part in text.split(',')
    ]


def parse_seconds(text: str) -> float:
    """Read the length of the play."""
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
    """Play chats with the first model that the key may use."""
    customer = workloads.Account('caller', api_key, 1.0)
    shape = workloads.WorkloadParameters(
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
    target = target_fleet.Target(routers, [customer], model, '')
    day = workloads.generate_workload(shape, [customer])
    return await load_generator.LoadGenerator(
        day, target, RouterOnlyFleet()
    ).run()


async def get_first_model(router: str, api_key: str) -> str:
    """Ask a router for the first model that the key may use."""
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


def summarize(counts: workload_stats.WorkloadStats) -> dict:
    """Return what callers saw, by name."""
    return {
        'turns': counts.turns,
        'answered': counts.answered,
        'cache reuse': round(counts.reuse, 3),
        **{
            f'first token {name} ms': round(value, 1)
            for name, value in workload_stats.percentiles_ms(
                counts.first_token_latency
            ).items()
        },
        **{
            f'answers {name}': count
            for name, count in sorted(counts.outcomes.items())
        },
    }
