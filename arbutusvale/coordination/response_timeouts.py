"""Decide how long to wait for a server before asking another one.

Load patterns answered: a server that hangs while its connections stay
open; an engine that is busy and merely slow, which must be waited for, as
a second run would add to the load.
"""

from arbutusvale.protocol import routing

# A plain call that takes this share of its objective is seldom still on
# time if it is waited for, and often if it is sent again.
PLAIN_TIMEOUT_SHARE = 0.6
# An engine that sends nothing on any connection for this long is suspect:
# with a few streams open, events come every 25 ms or so.
SILENT_ENGINE_S = 0.7
# An engine that still sends to others has this request in its queue.
BUSY_TIMEOUT_SHARE = 1.5
SILENT_TIMEOUT_SHARE = 0.8
# Callers leave a stream after 8 times the longest pause on time.
EVENT_GAP_FACTOR = 4.0
MIN_EVENT_GAP_TIMEOUT_S = 1.0


def first_byte_timeout_s(
    route: routing.Route, waited_s: float, server_silent_s: float
) -> float:
    """Return how long a first byte is waited for, in seconds."""
    if not route.is_stream:
        return PLAIN_TIMEOUT_SHARE * route.target_latency_s
    if server_silent_s >= max(SILENT_ENGINE_S, waited_s):
        return SILENT_TIMEOUT_SHARE * route.target_latency_s
    return BUSY_TIMEOUT_SHARE * route.target_latency_s


def event_gap_timeout_s(route: routing.Route) -> float:
    """Return how long the next event is waited for, in seconds."""
    return max(MIN_EVENT_GAP_TIMEOUT_S, EVENT_GAP_FACTOR * route.target_gap_s)
