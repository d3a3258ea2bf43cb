"""Exchange what edge routers must share, in datagrams of a few bytes.

Shared are loads (each router counts only its own requests), the engines
that hold a prompt, how far the store has been read, and requests that
crash engines.  All of it is soft: a lost message costs efficiency only.

Routers find each other by the seeds of their settings and by the peers
that others name, so no list of routers is kept anywhere.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random
import time

from arbutusvale import errors
from arbutusvale.protocol import list_update
from arbutusvale.protocol import peer_message
from arbutusvale.state import event_log
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import server_loads
from arbutusvale.state import suspects

# Short enough that a burst is seen before it has doubled a load; requests
# last some 0.1 to 2 s.
SEND_S = 0.25
# Beyond this many peers a router sends to each more seldom, so that its
# messages stay below 32 a second.
FULL_RATE_PEERS = 8
# Three messages lost in a row are rare.
LIVE_SENDINGS = 4
# Named peers are tried for this long before they count as gone.
FORGET_S = 30.0
MAX_PLACES = 10
# News are told after this time, together with others.
NEWS_DELAY_S = 0.05
# So many routers, on average, tell at once how far they read the store.
EARLY_TELLERS = 4
MAX_PENDING_PLACES = 512
MAX_NAMED = 8
MAX_LOADS = 30
MAX_SUSPECTS = 2


@dataclasses.dataclass(slots=True)
class _Peer:
    """Hold what is known of one router; times are steady seconds."""

    named_at: float
    heard_at: float = -1e9


class Peers:
    """Tell peers what this router knows and take over what they tell.

    ``send`` transmits a datagram to an IP number.  ``on_behind`` is called
    with a topic and offset when a peer has read further than this router.
    """

    def __init__(
        self,
        name: str,
        host: str,
        seeds: tuple[str, ...],
        events: event_log.EventLog,
        clock: Callable[[], float] = time.monotonic,
        generator: random.Random | None = None,
    ):
        self.generator = generator or random.Random()
        self.name = name
        self.host = host
        self.seeds = tuple(seed for seed in seeds if seed != host)
        self.events = events
        self.clock = clock
        self.peers: dict[str, _Peer] = {}
        self.places: collections.deque[peer_message.CacheLocation] = (
            collections.deque(maxlen=MAX_PENDING_PLACES)
        )
        self.send: Callable[[str, bytes], None] = _send_nowhere
        self.on_behind: Callable[[str, int], None] = _ignore_offset
        self.on_list_news: Callable[[list_update.ListUpdate], None] = (
            _ignore_news
        )
        self.read_offsets: Callable[[], dict[str, int]] = dict
        self.loads: server_loads.ServerLoads | None = None
        self.prompts: prompt_cache_index.PromptCacheIndex | None = None
        self.suspects: suspects.SuspectTable | None = None
        self.leaving = False
        self.malformed = 0
        self.turn = 0
        self.has_news = asyncio.Event()

    def interval_s(self) -> float:
        """Return the time between two messages to one peer."""
        return SEND_S * max(1.0, len(self.peers) / FULL_RATE_PEERS)

    def count_live(self) -> int:
        """Return the number of live routers, this one included."""
        return 1 + len(self.list_live())

    def list_live(self) -> list[str]:
        """List the peers that were heard of late."""
        limit = self.clock() - LIVE_SENDINGS * self.interval_s()
        return sorted(
            host for host, one in self.peers.items() if one.heard_at >= limit
        )

    def list_hosts(self) -> list[str]:
        """List who may know what the store said, live peers first."""
        return list(
            dict.fromkeys([*self.list_live(), *self.peers, *self.seeds])
        )

    def note_place(self, prompt: str, server_id: str) -> None:
        """Tell peers soon that an engine reads a prompt."""
        self.places.append(peer_message.CacheLocation(prompt, server_id))
        self.has_news.set()

    def note_progress(self) -> None:
        """Tell peers soon how far the store was read.

        Some routers do so each time: others may wait for an answer that was
        lost, and need not hear it from all.
        """
        chance = EARLY_TELLERS / self.count_live()
        if self.generator.random() < chance:
            self.has_news.set()

    def receive(self, data: bytes) -> None:
        """Take over a message."""
        try:
            list_news = list_update.decode(data)
            if list_news is not None:
                self.on_list_news(list_news)
                return
            news = peer_message.decode(data)
        except errors.FrameError as error:
            self.malformed += 1
            self.events.write('peer-malformed', cause=error.problem)
            return
        if news.host == self.host:
            return
        self._note_peer(news)
        for topic, offset in news.offsets.items():
            self.on_behind(topic, offset)
        if self.loads is not None:
            age_s = LIVE_SENDINGS * self.interval_s()
            self.loads.record_peer_counts(news.host, news.loads, age_s)
        if self.prompts is not None:
            for place in news.cache_locations:
                self.prompts.record(place.prompt, place.server_id)
        if self.suspects is not None:
            for one in news.suspicions:
                self.suspects.merge(one.fingerprint, one.crashes, one.cleared)

    async def run(self) -> None:
        """Send messages until cancelled."""
        while True:
            self.tell()
            end = self.clock() + self.interval_s()
            if not self.places:
                self.has_news.clear()
            try:
                async with asyncio.timeout(end - self.clock()):
                    await self.has_news.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(NEWS_DELAY_S)

    def tell(self) -> None:
        """Send one message to every peer, and to silent seeds now and then."""
        self._forget()
        targets = set(self.peers)
        self.turn += 1
        if self.turn % LIVE_SENDINGS == 1:
            targets.update(self.seeds)
        if not targets:
            return
        data = peer_message.encode(self._make_news())
        if len(data) > peer_message.MAX_BYTES:
            self.events.write('peer-news-too-long', bytes=len(data))
        for target in sorted(targets):
            self.send(target, data)

    def _make_news(self) -> peer_message.PeerMessage:
        """Put a message together."""
        places = []
        while self.places and len(places) < MAX_PLACES:
            places.append(self.places.popleft())
        live = self.list_live()
        start = self.turn % max(1, len(live))
        loads = self.loads.own_counts() if self.loads is not None else {}
        return peer_message.PeerMessage(
            name=self.name,
            host=self.host,
            offsets=self.read_offsets(),
            loads=dict(list(loads.items())[:MAX_LOADS]),
            peers=tuple((live[start:] + live[:start])[:MAX_NAMED]),
            cache_locations=tuple(places),
            suspicions=self._list_suspicions(),
            leaving=self.leaving,
        )

    def _list_suspicions(self) -> tuple[peer_message.Suspicion, ...]:
        """List the newest requests that were in flight at crashes."""
        if self.suspects is None:
            return ()
        return tuple(
            peer_message.Suspicion(
                fingerprint,
                tuple(sorted(one.crashes)),
                tuple(sorted(one.cleared)),
            )
            for fingerprint, one in self.suspects.list_newest()[:MAX_SUSPECTS]
        )

    def _note_peer(self, news: peer_message.PeerMessage) -> None:
        """Note a live peer and those that it names."""
        now = self.clock()
        if news.leaving:
            if self.peers.pop(news.host, None) is not None:
                self.events.write('peer-left', peer=news.name)
            if self.loads is not None:
                self.loads.peer_counts.pop(news.host, None)
            return
        known = self.peers.get(news.host)
        if known is None:
            known = self.peers[news.host] = _Peer(now)
        if now - known.heard_at > FORGET_S:
            self.events.write('peer-heard', peer=news.name, host=news.host)
        known.heard_at = now
        known.named_at = now
        for host in news.peers:
            if host != self.host and host not in self.peers:
                self.peers[host] = _Peer(now)

    def _forget(self) -> None:
        """Drop peers that were silent for long."""
        limit = self.clock() - FORGET_S
        for host in list(self.peers):
            if self.peers[host].named_at < limit:
                del self.peers[host]
                self.events.write('peer-forgotten', host=host)


def _send_nowhere(host: str, data: bytes) -> None:
    """Stand in for the transport until it is open."""


def _ignore_offset(topic: str, offset: int) -> None:
    """Stand in for the followers until they are wired."""


def _ignore_news(news: list_update.ListUpdate) -> None:
    """Stand in for the relay until it is wired."""
