"""Check of an edge router's configuration before it is sent.

It finds entries that can't have an effect, limits that contradict each other,
and what differs from the version in force.  No text contains an API key.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from arbutusvale.protocol import config_draft
from arbutusvale.protocol import routing

MALFORMED = 'malformed'
NO_EFFECT = 'no effect'
CONTRADICTION = 'contradiction'


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A matter to mend: its kind, the entry and what is wrong with it."""

    kind: str
    entry: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """What a new version adds, removes or changes; ``count`` for keys."""

    entry: str
    change: str
    count: int = 1


def find_problems(draft: config_draft.ConfigDraft) -> list[Finding]:
    """List the findings in a configuration."""
    return [
        *(Finding(MALFORMED, 'document', fault) for fault in draft.faults),
        *_check_routes(draft),
        *_check_services(draft),
        *_check_limits(draft.limits),
        *_check_organisations(draft.organisations),
    ]


def _check_routes(draft: config_draft.ConfigDraft) -> Iterator[Finding]:
    """Find routes that can't match, or that contradict themselves."""
    services = {service.name for service in draft.services}
    last_by_place = {
        (route.host, route.path_prefix): route for route in draft.routes
    }
    for name in _list_repeated(route.name for route in draft.routes):
        yield Finding(CONTRADICTION, f'route {name}', 'its name is used twice')
    for route in draft.routes:
        entry = f'route {route.name}'
        prefix = route.path_prefix
        if not prefix.startswith('/') or not prefix.endswith('/'):
            yield Finding(
                NO_EFFECT, entry, 'its prefix must begin and end with a slash'
            )
        last = last_by_place[route.host, prefix]
        if last is not route:
            yield Finding(
                NO_EFFECT,
                entry,
                f'route {last.name} has the same host and prefix',
            )
        for split in route.splits:
            if split.weight <= 0:
                yield Finding(
                    NO_EFFECT,
                    entry,
                    f'its split to {split.pool} has no weight',
                )
            if split.pool not in services:
                yield Finding(
                    CONTRADICTION, entry, f'service {split.pool} is not listed'
                )
        for problem in _list_contradictions(route):
            yield Finding(CONTRADICTION, entry, problem)
        if route.resumable and not route.is_stream:
            yield Finding(
                NO_EFFECT, entry, 'it may be resumed, but is no stream'
            )


def _list_contradictions(route: routing.Route) -> Iterator[str]:
    """List what contradicts itself in the times of a route."""
    if route.timeout_s <= 0:
        yield 'its timeout is 0'
    elif route.timeout_s < route.target_latency_s:
        yield 'its timeout is shorter than its target latency'
    elif route.is_stream and route.target_gap_s > route.timeout_s:
        yield "its events' longest pause is longer than its timeout"


def _check_services(draft: config_draft.ConfigDraft) -> Iterator[Finding]:
    """Find services that no route uses, and warm-ups without an end."""
    used = {
        split.pool
        for route in draft.routes
        for split in route.splits
        if split.weight > 0
    }
    for name in _list_repeated(service.name for service in draft.services):
        yield Finding(CONTRADICTION, f'service {name}', 'it is listed twice')
    for service in draft.services:
        entry = f'service {service.name}'
        if service.name not in used:
            yield Finding(NO_EFFECT, entry, 'no route leads there')
        if service.max_connections <= 0:
            yield Finding(CONTRADICTION, entry, 'it allows no connection')
        if service.warmup_rate > 0 and service.warmup_s <= 0:
            yield Finding(
                NO_EFFECT, entry, 'its warm-up has a rate, but no time'
            )
        if service.warmup_s > 0 and service.warmup_rate <= 0:
            yield Finding(
                CONTRADICTION, entry, 'its warm-up has a time, but no rate'
            )


def _check_limits(limits: routing.CallerLimits) -> Iterator[Finding]:
    """Find limits of callers that leave nothing, or undo each other."""
    for field in dataclasses.fields(limits):
        if getattr(limits, field.name) <= 0:
            yield Finding(CONTRADICTION, 'limits', f'{field.name} is 0')
    if 0 < limits.idle_timeout_s < limits.header_timeout_s:
        yield Finding(
            CONTRADICTION,
            'limits',
            'idle connections end before a header has to be whole',
        )


def _check_organisations(
    organisations: tuple[config_draft.OrganisationDraft, ...],
) -> Iterator[Finding]:
    """Find organisations without keys, and keys of two holders."""
    for name in _list_repeated(each.name for each in organisations):
        yield Finding(
            CONTRADICTION, f'organisation {name}', 'it is listed twice'
        )
    first_holders: dict[str, str] = {}
    for organisation in organisations:
        entry = f'organisation {organisation.name}'
        if not organisation.keys:
            yield Finding(NO_EFFECT, entry, 'it has no key')
        holders = {
            first_holders.setdefault(key, organisation.name)
            for key in organisation.keys
        }
        for holder in sorted(holders - {organisation.name}):
            yield Finding(
                CONTRADICTION, entry, f'organisation {holder} has a key of it'
            )
        if len(set(organisation.keys)) < len(organisation.keys):
            yield Finding(NO_EFFECT, entry, 'it has a key twice')


def find_version_problem(
    in_force: config_draft.ConfigDraft, draft: config_draft.ConfigDraft
) -> list[Finding]:
    """List the finding that routers would ignore the new version, if any."""
    if draft.version > in_force.version:
        return []
    problem = f'version {in_force.version} is in force, write a higher one'
    return [Finding(NO_EFFECT, f'version {draft.version}', problem)]


def compare(
    in_force: config_draft.ConfigDraft, draft: config_draft.ConfigDraft
) -> list[Difference]:
    """List what differs from the version in force, keys by their number."""
    return [
        *_compare_entries('route', in_force.routes, draft.routes),
        *_compare_entries('service', in_force.services, draft.services),
        *_compare_entries(
            'limits', (in_force.limits,), (draft.limits,), 'of callers'
        ),
        *_compare_keys(in_force.organisations, draft.organisations),
    ]


def _compare_entries(
    kind: str, before: Iterable, after: Iterable, name: str = ''
) -> Iterator[Difference]:
    """Compare data classes by name; name the fields that change."""
    old = {name or entry.name: entry for entry in before}
    new = {name or entry.name: entry for entry in after}
    for key in sorted(old.keys() | new.keys()):
        if key not in old:
            yield Difference(f'{kind} {key}', 'added')
        elif key not in new:
            yield Difference(f'{kind} {key}', 'removed')
        else:
            for field in dataclasses.fields(old[key]):
                if getattr(old[key], field.name) != getattr(
                    new[key], field.name
                ):
                    yield Difference(f'{kind} {key}', f'{field.name} changes')


def _compare_keys(
    before: tuple[config_draft.OrganisationDraft, ...],
    after: tuple[config_draft.OrganisationDraft, ...],
) -> Iterator[Difference]:
    """Compare the keys of each organisation by their number."""
    old: dict[str, set[str]] = collections.defaultdict(set)
    new: dict[str, set[str]] = collections.defaultdict(set)
    for keys_by_name, organisations in ((old, before), (new, after)):
        for organisation in organisations:
            keys_by_name[organisation.name].update(organisation.keys)
    for name in sorted(old.keys() | new.keys()):
        entry = f'organisation {name}'
        if name not in old:
            yield Difference(entry, 'added')
        if name not in new:
            yield Difference(entry, 'removed')
        added = len(new[name] - old[name])
        removed = len(old[name] - new[name])
        if added:
            yield Difference(entry, 'keys added', added)
        if removed:
            yield Difference(entry, 'keys removed', removed)


def _list_repeated(names: Iterable[str]) -> list[str]:
    """List the names that occur more than once."""
    counts = collections.Counter(names)
    return sorted(name for name, count in counts.items() if count > 1)
