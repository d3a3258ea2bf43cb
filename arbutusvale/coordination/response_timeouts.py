"""Timeouts after which a request fails over to another server.

Load patterns covered: a server that hangs while its connections stay open;
an engine that is only busy and slow, or has a long prompt to read, which must
not time out, as a second run would add to the load and read the prompt again.
"""

from arbutusvale.protocol import routing

# A plain call without a response after this share of its target latency is
# seldom in time if the router waits on, but often if it is sent again.
PLAIN_TIMEOUT_SHARE = 0.6
# An engine that sends nothing on any connection for this long may hang: with a
# few open streams, events arrive about every 25 ms.
SILENT_ENGINE_S = 0.7
# An engine that sends on other connections has this request in its queue.
BUSY_TIMEOUT_SHARE = 1.5
SILENT_TIMEOUT_SHARE = 0.8
# An engine that is still silent after that hangs rather than reads.
MAX_READING_SHARE = 1.0
# Callers leave a stream after a gap of 8 times the target.
EVENT_GAP_FACTOR = 4.0
MIN_EVENT_GAP_TIMEOUT_S = 1.0


def first_byte_timeout_s(
    route: routing.Route,
    waited_s: float,
    server_silent_s: float,
    reading_s: float,
) -> float:
    """Return how long to wait for the first byte, in seconds.

    ``server_silent_s`` is the time since the server last sent anything;
    ``reading_s`` is what servers lately took to read as long a prompt.
    """
    if not route.is_stream:
        return PLAIN_TIMEOUT_SHARE * route.target_latency_s
    reading_s = min(reading_s, MAX_READING_SHARE * route.target_latency_s)
    if server_silent_s >= max(SILENT_ENGINE_S, waited_s):
        return SILENT_TIMEOUT_SHARE * route.target_latency_s + reading_s
    return BUSY_TIMEOUT_SHARE * route.target_latency_s + reading_s


def event_gap_timeout_s(route: routing.Route) -> float:
    """Return how long to wait for the next event, in seconds."""
    return max(MIN_EVENT_GAP_TIMEOUT_S, EVENT_GAP_FACTOR * route.target_gap_s)
