"""``status --routers``: print what edge routers report of operators' records.

Each router's metrics page tells the version of its configuration and the data
centres that it holds for evacuated.
"""

import asyncio
import dataclasses
import re

from arbutusvale import errors
from arbutusvale.transport import http_fetch
from arbutusvale.ui import exit_codes
from arbutusvale.ui import output

METRICS_PATH = '/metrics'
MAX_CONCURRENT_READS = 64
_VERSION = re.compile(r'^arbutusvale_config_version_total (\d+)$', re.M)
_EVACUATED = re.compile(
    r'^arbutusvale_data_centre_evacuated\{kind="([^"]*)"\} 1$', re.M
)


@dataclasses.dataclass(frozen=True, slots=True)
class RouterReport:
    """What a router reports; ``config_version`` is None if it is unreachable.

    ``evacuated`` are the names of evacuated data centres.
    """

    address: str
    config_version: int | None
    evacuated: tuple[str, ...] = ()


def run(options: dict) -> int | None:
    """Print a line per router; return LAGGARDS if they don't agree."""
    addresses = [
        address.strip() for address in options['--routers'].split(',')
    ]
    for address in addresses:
        if not address.rpartition(':')[2].isdigit():
            raise errors.UsageError(f'{address!r}: give HOST:PORT.')
    reports = asyncio.run(_read_reports(addresses))
    if options['--json']:
        output.print_json([dataclasses.asdict(report) for report in reports])
    else:
        output.print_table(
            ['router', 'configuration', 'evacuated'],
            [
                [
                    report.address,
                    report.config_version or 'not reachable',
                    ' '.join(report.evacuated) or '-',
                ]
                for report in reports
            ],
        )
    return choose_exit_code(reports)


def choose_exit_code(reports: list[RouterReport]) -> exit_codes.ExitCode:
    """Return DONE if all routers were reached and report the same."""
    states = {(report.config_version, report.evacuated) for report in reports}
    is_reached = all(report.config_version is not None for report in reports)
    if len(states) == 1 and is_reached:
        return exit_codes.ExitCode.DONE
    return exit_codes.ExitCode.LAGGARDS


async def _read_reports(addresses: list[str]) -> list[RouterReport]:
    """Read the routers' pages concurrently; keeps their order."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def read_one(address: str) -> RouterReport:
        host, _, port = address.rpartition(':')
        async with limit:
            try:
                page = await http_fetch.fetch(host, int(port), METRICS_PATH)
            except errors.ServerFailed:
                return RouterReport(address, None)
        return parse_metrics(address, page.decode())

    return await asyncio.gather(*map(read_one, addresses))


def parse_metrics(address: str, page: str) -> RouterReport:
    """Read a report from a metrics page."""
    version = _VERSION.search(page)
    return RouterReport(
        address,
        int(version[1]) if version else None,
        tuple(sorted(_EVACUATED.findall(page))),
    )
