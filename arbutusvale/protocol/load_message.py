"""Messages by which edge routers add up the loads of backend servers.

A message is one UDP datagram of JSON, like the other messages of peers.
"""

from collections.abc import Iterator
import dataclasses
import json

from arbutusvale import errors
from arbutusvale.protocol import numeric

# An entry takes some 20 bytes; a datagram has 1,400.
MAX_SERVERS = 60
_REPORT_KIND = 'load-report'
_SUMMARY_KIND = 'load-summary'
_MARK = b'{"kind":"load-'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A router's own requests in flight, by server id, without zeros."""

    host: str
    loads: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSummary:
    """Requests in flight of all routers, by server id, without zeros.

    ``host`` is the router that added them up.  A summary of many servers
    takes several messages, each with a part of them.
    """

    host: str
    loads: dict[str, int]


LoadMessage = LoadReport | LoadSummary


def split(summary: LoadSummary) -> Iterator[LoadSummary]:
    """Split a summary into messages that each fit in one datagram.

    There is at least one, as it tells that there is no load.
    """
    if not summary.loads:
        yield summary
    entries = list(summary.loads.items())
    for start in range(0, len(entries), MAX_SERVERS):
        batch = dict(entries[start : start + MAX_SERVERS])
        yield LoadSummary(summary.host, batch)


def encode(message: LoadMessage) -> bytes:
    """Encode a message as a datagram."""
    match message:
        case LoadReport():
            kind = _REPORT_KIND
        case LoadSummary():
            kind = _SUMMARY_KIND
    document = {'kind': kind, 'host': message.host, 'loads': message.loads}
    return json.dumps(document, separators=(',', ':')).encode()


def decode(data: bytes) -> LoadMessage | None:
    """Decode a message; return None for one of another kind.

    Raise FrameError if it is malformed.
    """
    if not data.startswith(_MARK):
        return None
    try:
        document = json.loads(data)
        host = document['host']
        loads = document['loads']
        if not isinstance(host, str) or not isinstance(loads, dict):
            raise TypeError('not a load message')
        for count in loads.values():
            if not numeric.is_whole(count):
                raise TypeError('not a count')
        match document['kind']:
            case 'load-report':
                return LoadReport(host, loads)
            case 'load-summary':
                return LoadSummary(host, loads)
        raise ValueError('of no known kind')
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise errors.FrameError(
            f'The message on loads is malformed: {error!r}.'
        ) from error
