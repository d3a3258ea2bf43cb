"""Reader of the operators' configuration that collects all its faults.

Routers use :mod:`records`, which stops at the first.
"""

import json
import math

from arbutusvale import errors
from arbutusvale.platform import records
from arbutusvale.protocol import config_draft
from arbutusvale.protocol import routing


def read(path: str) -> config_draft.ConfigDraft:
    """Read a file; raise DocumentError if it holds no JSON object."""
    try:
        with open(path, 'rb') as file:
            data = file.read()
        document = json.loads(data)
    except (OSError, ValueError, RecursionError) as error:
        raise errors.DocumentError(
            path, [f'it cannot be read: {error}']
        ) from error
    if not isinstance(document, dict):
        raise errors.DocumentError(path, ['give a JSON object'])
    return parse(document, data)


def parse(document: dict, data: bytes) -> config_draft.ConfigDraft:
    """Parse a document; ``data`` is its encoded form, as routers read it."""
    faults: list[str] = []
    top = _Row('', document, faults)
    routes = []
    for row in top.list_rows('Routes', required=True):
        if (route := _parse_route(row)) is not None:
            routes.append(route)
    services = [
        config_draft.ServiceDraft(
            row.read_text('Name'),
            int(
                row.read_number(
                    'MaxConnections', records.DEFAULT_MAX_CONNECTIONS
                )
            ),
            row.read_number('WarmupS', 0),
            row.read_number('WarmupPerS', 0),
        )
        for row in top.list_rows('Services')
    ]
    organisations = [
        config_draft.OrganisationDraft(
            row.read_text('Name'),
            tuple(map(str, row.read_list('ApiKeys', required=False))),
        )
        for row in top.list_rows('Tenants')
    ]
    version = int(top.read_number('Version'))
    limits = _parse_limits(top)
    if not faults:
        faults.extend(_find_router_fault(data))
    return config_draft.ConfigDraft(
        version=version,
        routes=tuple(routes),
        services=tuple(service for service in services if service.name),
        limits=limits,
        organisations=tuple(each for each in organisations if each.name),
        faults=tuple(faults),
    )


class _Row:
    """Typed access to the fields of an object, which collects its faults."""

    def __init__(self, path: str, row: dict, faults: list[str]):
        self.path = path
        self.row = row
        self.faults = faults

    def add_fault(self, name: str, remedy: str) -> None:
        """Record a fault of a field."""
        self.faults.append(f'{self.path}{name}: {remedy}')

    def read_text(self, name: str) -> str:
        """Return a non-empty string, else record a fault."""
        value = self.row.get(name)
        if isinstance(value, str) and value:
            return value
        self.add_fault(name, 'write a text')
        return ''

    def read_number(self, name: str, default: float | None = None) -> float:
        """Return a finite number, else record a fault."""
        value = self.row.get(name, default)
        if (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and math.isfinite(value)
        ):
            return float(value)
        self.add_fault(name, 'write a finite number')
        return 1.0

    def read_list(self, name: str, required: bool) -> list:
        """Return a list, empty if it is absent and not required."""
        value = self.row.get(name)
        if isinstance(value, list):
            return value
        if value is not None or required:
            self.add_fault(name, 'write a list')
        return []

    def list_rows(self, name: str, required: bool = False) -> list['_Row']:
        """Return the objects of a list; record a fault for other values."""
        rows = []
        for number, value in enumerate(self.read_list(name, required)):
            if isinstance(value, dict):
                path = f'{self.path}{name}[{number}].'
                rows.append(_Row(path, value, self.faults))
            else:
                self.add_fault(f'{name}[{number}]', 'write an object')
        return rows


def _parse_route(row: _Row) -> routing.Route | None:
    """Return a route with all its splits; None if a field is malformed."""
    fault_count = len(row.faults)
    kind = records.ROUTE_KINDS.get(str(row.row.get('RouteType')))
    if kind is None:
        row.add_fault('RouteType', f'write one of {list(records.ROUTE_KINDS)}')
    if row.row.get('TrafficSplit'):
        splits = tuple(
            routing.Split(
                split.read_text('Service'), split.read_number('Weight')
            )
            for split in row.list_rows('TrafficSplit')
        )
    else:
        splits = (routing.Split(row.read_text('Service'), 1.0),)
    route = routing.Route(
        name=row.read_text('Name'),
        host=row.read_text('Host').lower(),
        path_prefix=row.read_text('PathPrefix'),
        kind=kind or routing.RouteKind.NON_IDEMPOTENT,
        timeout_s=row.read_number('TimeoutMs') / 1000,
        target_latency_s=row.read_number(
            'TargetLatencyMs', records.DEFAULT_TARGET_MS
        )
        / 1000,
        priority=int(row.read_number('Priority', records.DEFAULT_PRIORITY)),
        splits=splits,
        max_attempts=int(
            row.read_number('MaxAttempts', records.DEFAULT_MAX_ATTEMPTS)
        ),
        anonymous=row.row.get('Anonymous') is True,
        resumable=row.row.get('StreamResume') is True,
        target_gap_s=row.read_number('GapAimMs', records.DEFAULT_GAP_MS)
        / 1000,
    )
    return route if len(row.faults) == fault_count else None


def _parse_limits(top: _Row) -> routing.CallerLimits:
    """Return the limits of callers; absent ones have their default."""
    defaults = routing.CallerLimits()
    value = top.row.get('Limits')
    if value is None:
        return defaults
    if not isinstance(value, dict):
        top.add_fault('Limits', 'write an object')
        return defaults
    row = _Row('Limits.', value, top.faults)
    return routing.CallerLimits(
        max_header_bytes=int(
            row.read_number('MaxHeaderBytes', defaults.max_header_bytes)
        ),
        max_body_bytes=int(
            row.read_number('MaxBodyBytes', defaults.max_body_bytes)
        ),
        header_timeout_s=row.read_number(
            'HeaderTimeoutMs', defaults.header_timeout_s * 1000
        )
        / 1000,
        idle_timeout_s=row.read_number(
            'IdleTimeoutMs', defaults.idle_timeout_s * 1000
        )
        / 1000,
    )


def _find_router_fault(data: bytes) -> list[str]:
    """Return what a router refuses, if this reader found nothing."""
    try:
        records.read_configuration(data)
    except errors.RecordError as error:
        return [f'{error.field}: {error.remedy}']
    return []
