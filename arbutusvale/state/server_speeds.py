"""How long work takes on each backend server now, compared with as usual.

Some servers tell it with their responses.  Of those that don't, the service
times of plain calls tell it, each compared with the usual time of its route.
A router sees a sliver of a server's calls, so routers share what they observe.

A slowdown of 1.0 means as usual, of 2.0 that work takes twice as long.  Times
are those of a monotonic clock, in seconds.
"""

from collections.abc import Callable
import dataclasses
import math

from arbutusvale.protocol import peer_message
from arbutusvale.protocol import proxying
from arbutusvale.state import bounded_map

# Servers and routes of a router, with room for those that come and go.
MAX_SERVERS = 2048
MAX_ROUTES = 1024
# Beyond these a server's speed makes no further difference to its choice.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 16.0
# Told slowdowns change many times a second: they are averaged over about the
# duration of a request, and an old one says little of the next request.
TOLD_AVERAGE_S = 0.3
MIN_TOLD_RELEVANCE_S = 0.6
# What has lasted is expected to last as long again, up to this: a server that
# is avoided tells nothing, and each probe of a slow one makes a caller wait.
MAX_TOLD_RELEVANCE_S = 4.0
SLOW = 1.5
# A told slowdown nearer to 1 than this isn't worth a message or an estimate.
NOTICEABLE = 0.1
# Service times of calls vary, so some must agree: a server counts as slow by
# what exceeds two standard errors of the mean logarithm.
PRIOR_CALLS = 2.0
CALL_DEVIATION = 0.5
# Less than this is due to a queue that is gone before others hear of it.
SLOW_CALLS = 2.0
OBSERVED_RELEVANCE_S = 3.0
USUAL_SMOOTHING = 0.05
MAX_NEWS = 8
MAX_CALLS = 100


@dataclasses.dataclass(slots=True)
class _ToldSpeed:
    """The average of what an incarnation told, and when it last did.

    ``slow_since`` is since when it has told nothing but slow figures.
    """

    started_at_ms: int
    slowdown: float
    told_at: float
    slow_since: float

    @property
    def relevance_s(self) -> float:
        """Return the time constant with which the figure fades."""
        lasted_s = self.told_at - self.slow_since
        return min(max(lasted_s, MIN_TOLD_RELEVANCE_S), MAX_TOLD_RELEVANCE_S)


@dataclasses.dataclass(slots=True)
class _ObservedSpeed:
    """Sum of the logarithms of calls' relative service times.

    Both figures are as of ``updated_at`` and fade from then on.
    """

    started_at_ms: int
    calls: float
    log_sum: float
    updated_at: float


class ServerSpeeds:
    """Slowdowns of servers, as told and as observed."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.told: bounded_map.BoundedMap[_ToldSpeed] = bounded_map.BoundedMap(
            MAX_SERVERS
        )
        self.observed: bounded_map.BoundedMap[_ObservedSpeed] = (
            bounded_map.BoundedMap(MAX_SERVERS)
        )
        # Mean logarithm of the service time in seconds, by route.
        self.usual_logs: bounded_map.BoundedMap[float] = (
            bounded_map.BoundedMap(MAX_ROUTES)
        )
        self.told_news: bounded_map.BoundedMap[float] = bounded_map.BoundedMap(
            MAX_SERVERS
        )
        # Calls and the sum of their logarithms.
        self.observed_news: bounded_map.BoundedMap[tuple[int, float]] = (
            bounded_map.BoundedMap(MAX_SERVERS)
        )

    def record_told(
        self, server: proxying.BackendServer, slowdown: float
    ) -> None:
        """Record what a server told with a response."""
        told = self.told.get(server.id)
        if told is not None and told.started_at_ms != server.started_at_ms:
            told = None
        if told is None and slowdown < 1 + NOTICEABLE:
            return
        self._average(server.id, server.started_at_ms, slowdown, told)
        self.told_news.put(server.id, slowdown)

    def record_call(
        self, server: proxying.BackendServer, route: str, seconds: float
    ) -> None:
        """Record the service time of a plain call of a route."""
        log = math.log(max(seconds, 1e-4))
        usual = self.usual_logs.get(route, log)
        relative = min(
            max(log - usual, math.log(MIN_SLOWDOWN)), math.log(MAX_SLOWDOWN)
        )
        self.usual_logs.put(route, usual + USUAL_SMOOTHING * (log - usual))
        self._observe(server.id, server.started_at_ms, 1, relative)
        calls, log_sum = self.observed_news.get(server.id, (0, 0.0))
        if calls < MAX_CALLS:
            self.observed_news.put(server.id, (calls + 1, log_sum + relative))

    def merge(self, news: peer_message.SpeedNews, started_at_ms: int) -> None:
        """Take over what a peer has learned of a listed incarnation."""
        slowdown = min(max(news.slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        if news.calls > 0:
            calls = min(news.calls, MAX_CALLS)
            self._observe(
                news.server_id,
                started_at_ms,
                calls,
                calls * math.log(slowdown),
            )
            return
        told = self.told.get(news.server_id)
        if told is not None and told.started_at_ms != started_at_ms:
            told = None
        if told is not None or slowdown >= 1 + NOTICEABLE:
            self._average(news.server_id, started_at_ms, slowdown, told)

    def pop_news(self) -> tuple[peer_message.SpeedNews, ...]:
        """Return what peers should know, a bounded number at a time."""
        news = []
        while self.told_news and len(news) < MAX_NEWS:
            server_id, slowdown = self.told_news.popitem(last=False)
            news.append(peer_message.SpeedNews(server_id, slowdown, 0))
        while self.observed_news and len(news) < MAX_NEWS:
            server_id, (calls, log_sum) = self.observed_news.popitem(
                last=False
            )
            news.append(
                peer_message.SpeedNews(
                    server_id, math.exp(log_sum / calls), calls
                )
            )
        return tuple(news)

    def estimate(self, server: proxying.BackendServer) -> float:
        """Return a server's expected slowdown; 1.0 if nothing is known.

        Small differences are left out of what is observed: a small pool has
        no room for differences that are due to chance.
        """
        told = self.told.get(server.id)
        if told is not None:
            if told.started_at_ms != server.started_at_ms:
                return 1.0
            age_s = self.clock() - told.told_at
            slowdown = 1 + (told.slowdown - 1) * math.exp(
                -age_s / told.relevance_s
            )
            if abs(slowdown - 1) < NOTICEABLE / 2:
                del self.told[server.id]
                return 1.0
            return slowdown
        observed = self.observed.get(server.id)
        if observed is None or observed.started_at_ms != server.started_at_ms:
            return 1.0
        fading = self._fade(observed)
        calls = fading * observed.calls + PRIOR_CALLS
        mean_log = fading * observed.log_sum / calls
        standard_error = CALL_DEVIATION / math.sqrt(calls)
        slowdown = math.exp(mean_log - 2 * standard_error)
        return slowdown if slowdown >= SLOW_CALLS else 1.0

    def forget(self, server_id: str) -> None:
        """Drop what is known of a server that left the list."""
        self.told.pop(server_id, None)
        self.observed.pop(server_id, None)
        self.told_news.pop(server_id, None)
        self.observed_news.pop(server_id, None)

    def _average(
        self,
        server_id: str,
        started_at_ms: int,
        slowdown: float,
        told: _ToldSpeed | None,
    ) -> None:
        """Average a told slowdown with those told just before."""
        now = self.clock()
        slowdown = min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        slow_since = now
        if told is not None:
            if slowdown >= SLOW:
                slow_since = told.slow_since
            kept = math.exp(-(now - told.told_at) / TOLD_AVERAGE_S) / 2
            slowdown += kept * (told.slowdown - slowdown)
        self.told.put(
            server_id, _ToldSpeed(started_at_ms, slowdown, now, slow_since)
        )

    def _observe(
        self, server_id: str, started_at_ms: int, calls: int, log_sum: float
    ) -> None:
        """Add calls to what was observed of an incarnation."""
        observed = self.observed.get(server_id)
        if observed is None or observed.started_at_ms != started_at_ms:
            observed = _ObservedSpeed(started_at_ms, 0.0, 0.0, self.clock())
        fading = self._fade(observed)
        observed.calls = fading * observed.calls + calls
        observed.log_sum = fading * observed.log_sum + log_sum
        observed.updated_at = self.clock()
        self.observed.put(server_id, observed)

    def _fade(self, observed: _ObservedSpeed) -> float:
        """Return what part of an observation still counts, 0 to 1."""
        age_s = self.clock() - observed.updated_at
        return math.exp(-age_s / OBSERVED_RELEVANCE_S)
