"""Decide how long to wait for a server before asking another one.

Load patterns answered: a server that hangs while its connections stay
open; an engine that is busy and merely slow, which must be waited for, as
a second run would add to the load.
"""

from arbutusvale.protocol import routing

# A plain call that takes this share of its objective is seldom still on
# time if it is waited for, and often if it is sent again.
PLAIN_SHARE = 0.6
# An engine that sends nothing on any connection for this long is suspect:
# with a few streams open, events come every 25 ms or so.
QUIET_ENGINE_S = 0.7
# An engine that still sends to others has this request in its queue.
BUSY_SHARE = 1.5
QUIET_SHARE = 0.8
# Callers leave a stream after 8 times the longest pause on time.
PAUSE_SHARE = 4.0
LEAST_PAUSE_S = 1.0


def find_first_byte_limit(
    route: routing.Route, waited_s: float, server_quiet_s: float
) -> float:
    """Return how long a first byte is waited for, in seconds."""
    if not route.is_stream:
        return PLAIN_SHARE * route.target_latency_s
    if server_quiet_s >= max(QUIET_ENGINE_S, waited_s):
        return QUIET_SHARE * route.target_latency_s
    return BUSY_SHARE * route.target_latency_s


def find_pause_limit(route: routing.Route) -> float:
    """Return how long the next event is waited for, in seconds."""
    return max(LEAST_PAUSE_S, PAUSE_SHARE * route.target_gap_s)
