"""Gossip between edge routers, in small datagrams.

Routers share their loads (each counts only its own requests), the engines
that cache a prompt, the offsets up to which they read the store, and
requests that crash engines.  All of it is soft state: a lost message costs
efficiency only.

Routers discover each other by the seeds of their settings and by the peers
listed in messages, so no list of routers is kept anywhere.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random
import time

from arbutusvale import errors
from arbutusvale.protocol import crash_report
from arbutusvale.protocol import limit_message
from arbutusvale.protocol import list_update
from arbutusvale.protocol import load_message
from arbutusvale.protocol import peer_message
from arbutusvale.protocol import proxying
from arbutusvale.protocol import stream_origin
from arbutusvale.state import event_log
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import prompt_loads
from arbutusvale.state import router_census
from arbutusvale.state import server_loads
from arbutusvale.state import server_warmups

# Short enough that peers see a burst before it has doubled a load; requests
# last some 0.1 to 2 s.
SEND_INTERVAL_S = 0.25
# With more peers than this a router sends to each less often, so that its
# messages stay below 32 a second.
FULL_RATE_PEERS = 8
# A peer counts as live for this many intervals after its last message: losing
# three in a row is rare.
LIVE_INTERVALS = 4
# How long a peer is contacted after its discovery or its last message.
PEER_EXPIRY_S = 30.0
MAX_CACHE_LOCATIONS = 10
# An early message waits this long, so that it carries several updates.
BATCH_DELAY_S = 0.05
# Mean number of routers that announce a new offset of the store early.
EARLY_ANNOUNCERS = 4
MAX_PENDING_CACHE_LOCATIONS = 512
MAX_GOSSIPED_PEERS = 8
MAX_LOADS = 30
# So many messages carry a server that leaves, as datagrams get lost.
LEAVING_REPEATS = 8
MAX_LEAVING_SERVERS = 4


@dataclasses.dataclass(slots=True)
class _Peer:
    """Membership state of one router; times are steady seconds."""

    # When it was discovered or sent its last message; expiry counts from it.
    renewed_at: float
    heard_at: float = -1e9
    # None for a router of a build that sends none.
    incarnation: int | None = None


class Peers:
    """Membership and soft state that this router shares with its peers.

    ``send`` transmits a datagram to an IP number.  ``on_peer_offset``
    is called with a topic, the offset up to which a peer read it, and the
    offset's era if the peer knows it.
    """

    def __init__(
        self,
        name: str,
        host: str,
        seeds: tuple[str, ...],
        events: event_log.EventLog,
        clock: Callable[[], float] = time.monotonic,
        generator: random.Random | None = None,
        is_first_start: bool = False,
    ):
        self.generator = generator or random.Random()
        self.name = name
        self.host = host
        self.seeds = tuple(seed for seed in seeds if seed != host)
        self.events = events
        self.clock = clock
        self.peers: dict[str, _Peer] = {}
        self.census = router_census.RouterCensus(
            clock, self.seeds, is_first_start
        )
        self.pending_cache_locations: collections.deque[
            peer_message.CacheLocation
        ] = collections.deque(maxlen=MAX_PENDING_CACHE_LOCATIONS)
        self.send: Callable[[str, bytes], None] = _discard
        self.on_peer_offset: Callable[[str, int, int | None], None] = (
            _ignore_offset
        )
        self.on_relayed_records: Callable[[list_update.ListUpdate], None] = (
            _ignore_records
        )
        self.on_origin_message: Callable[
            [stream_origin.OriginMessage], None
        ] = _ignore_origin
        self.on_peer_demand: Callable[[str, dict[str, float]], None] = (
            _ignore_demand
        )
        self.read_demand: Callable[[], dict[str, float]] = dict
        self.read_offsets: Callable[[], dict[str, int]] = dict
        self.read_eras: Callable[[], dict[str, int]] = dict
        self.loads: server_loads.ServerLoads | None = None
        self.prompts: prompt_cache_index.PromptCacheIndex | None = None
        self.prompt_loads: prompt_loads.PromptLoads | None = None
        # Chosen at random, so that a peer notices each start of this router.
        self.incarnation = self.generator.getrandbits(32)
        self.on_crash_message: Callable[[crash_report.CrashMessage], None] = (
            _ignore_crash_message
        )
        self.on_limit_message: Callable[[limit_message.LimitMessage], None] = (
            _ignore_limit_message
        )
        self.on_load_message: Callable[[load_message.LoadMessage], None] = (
            _ignore_load_message
        )
        self.on_suspicions: Callable[
            [tuple[peer_message.Suspicion, ...]], None
        ] = _ignore_suspicions
        self.list_suspicions: Callable[
            [], tuple[peer_message.Suspicion, ...]
        ] = tuple
        self.on_peer_returned: Callable[[str], None] = _ignore_host
        self.on_leaving_server: Callable[
            [peer_message.LeavingServer], None
        ] = _ignore_leaving_server
        self.warmups: server_warmups.ServerWarmups | None = None
        self.pop_speed_news: Callable[
            [], tuple[peer_message.SpeedNews, ...]
        ] = tuple
        self.on_speed_news: Callable[
            [tuple[peer_message.SpeedNews, ...]], None
        ] = _ignore_speed_news
        # Servers to announce as leaving, each with the messages to go.
        self.leaving_servers: dict[peer_message.LeavingServer, int] = {}
        self.on_evacuated: Callable[
            [tuple[peer_message.EvacuatedDataCentre, ...]], None
        ] = _ignore_evacuated
        self.list_evacuated: Callable[
            [], tuple[peer_message.EvacuatedDataCentre, ...]
        ] = tuple
        self.leaving = False
        self.malformed_count = 0
        self.broadcast_count = 0
        self.send_requested = asyncio.Event()

    def interval_s(self) -> float:
        """Return the time between two messages to one peer, in s."""
        return SEND_INTERVAL_S * max(1.0, len(self.peers) / FULL_RATE_PEERS)

    def count_live(self) -> int:
        """Return the number of live routers, this one included."""
        return 1 + len(self.list_live())

    def list_live(self) -> list[str]:
        """List the hosts of peers that sent a message recently."""
        oldest = self.clock() - LIVE_INTERVALS * self.interval_s()
        return sorted(
            host
            for host, peer in self.peers.items()
            if peer.heard_at >= oldest
        )

    def list_known_peers(self) -> list[str]:
        """List the hosts of routers that may run, also those not heard."""
        return list(self.peers)

    def list_known_hosts(self) -> list[str]:
        """List hosts that may have a snapshot, live peers first."""
        return list(
            dict.fromkeys([*self.list_live(), *self.peers, *self.seeds])
        )

    def announce_cache_location(
        self, prompt: str, server_id: str, is_reading: bool
    ) -> None:
        """Announce soon that an engine caches a prompt, or is reading it."""
        self.pending_cache_locations.append(
            peer_message.CacheLocation(prompt, server_id, is_reading)
        )
        self.send_requested.set()

    def announce_leaving_server(self, server: proxying.BackendServer) -> None:
        """Announce soon that a server leaves."""
        leaving = peer_message.LeavingServer(
            server.id, server.started_at_ms, server.address
        )
        self.leaving_servers[leaving] = LEAVING_REPEATS
        self.send_requested.set()

    def announce_offsets(self) -> None:
        """Announce new offsets of the store soon, with some probability.

        Peers whose answer from the store was lost need to learn of them, but
        not from every router.
        """
        chance = EARLY_ANNOUNCERS / self.count_live()
        if self.generator.random() < chance:
            self.send_requested.set()

    def receive(self, data: bytes) -> None:
        """Apply a message of a peer; count it if malformed."""
        try:
            relayed = list_update.decode(data)
            if relayed is not None:
                self.on_relayed_records(relayed)
                return
            origin_message = stream_origin.decode(data)
            if origin_message is not None:
                self.on_origin_message(origin_message)
                return
            crash_message = crash_report.decode(data)
            if crash_message is not None:
                self.on_crash_message(crash_message)
                return
            limits = limit_message.decode(data)
            if limits is not None:
                self.on_limit_message(limits)
                return
            loads = load_message.decode(data)
            if loads is not None:
                self.on_load_message(loads)
                return
            message = peer_message.decode(data)
        except errors.FrameError as error:
            self.malformed_count += 1
            self.events.write('peer-malformed', cause=error.problem)
            return
        if message.host == self.host:
            return
        self._update_membership(message)
        for topic, offset in message.offsets.items():
            self.on_peer_offset(topic, offset, message.eras.get(topic))
        for server in message.leaving_servers:
            self.on_leaving_server(server)
        if message.evacuated:
            self.on_evacuated(message.evacuated)
        if message.speeds:
            self.on_speed_news(message.speeds)
        if self.loads is not None:
            age_s = LIVE_INTERVALS * self.interval_s()
            self.loads.record_peer_counts(message.host, message.loads, age_s)
        if self.prompt_loads is not None:
            age_s = LIVE_INTERVALS * self.interval_s()
            self.prompt_loads.record_peer(
                message.host, message.prompt_loads, age_s
            )
        self.on_peer_demand(message.host, message.demand)
        if self.prompts is not None:
            for location in message.cache_locations:
                record = (
                    self.prompts.start_reading
                    if location.is_reading
                    else self.prompts.record
                )
                record(location.prompt, location.server_id)
        if self.warmups is not None and not message.leaving:
            self.warmups.record_announced(message.host, message.warmups)
        if message.incarnation is None:
            # Later builds send crash reports, which tell more.
            self.on_suspicions(message.suspicions)

    async def run(self) -> None:
        """Send messages periodically, or early on request."""
        while True:
            self.broadcast()
            end = self.clock() + self.interval_s()
            if not self.pending_cache_locations:
                self.send_requested.clear()
            try:
                async with asyncio.timeout(end - self.clock()):
                    await self.send_requested.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(BATCH_DELAY_S)

    def broadcast(self) -> None:
        """Send a message to every peer, and periodically to all seeds."""
        self._expire_peers()
        targets = set(self.peers)
        self.broadcast_count += 1
        if self.broadcast_count % LIVE_INTERVALS == 1:
            targets.update(self.seeds)
        if not targets:
            return
        message = self._build_message()
        data = peer_message.encode(message)
        if len(data) > peer_message.MAX_BYTES:
            message = dataclasses.replace(message, speeds=(), prompt_loads={})
            data = peer_message.encode(message)
        if len(data) > peer_message.MAX_BYTES:
            self.events.write('peer-news-too-long', bytes=len(data))
        for target in sorted(targets):
            self.send(target, data)

    def _build_message(self) -> peer_message.PeerMessage:
        """Build a message from bounded parts of the shared state."""
        cache_locations = []
        while (
            self.pending_cache_locations
            and len(cache_locations) < MAX_CACHE_LOCATIONS
        ):
            cache_locations.append(self.pending_cache_locations.popleft())
        live = self.list_live()
        start = self.broadcast_count % max(1, len(live))
        loads = self.loads.own_counts() if self.loads is not None else {}
        return peer_message.PeerMessage(
            name=self.name,
            host=self.host,
            offsets=self.read_offsets(),
            loads=dict(list(loads.items())[:MAX_LOADS]),
            peers=tuple((live[start:] + live[:start])[:MAX_GOSSIPED_PEERS]),
            cache_locations=tuple(cache_locations),
            suspicions=self.list_suspicions(),
            incarnation=self.incarnation,
            leaving=self.leaving,
            eras=self.read_eras(),
            leaving_servers=self._pop_leaving_servers(),
            evacuated=self.list_evacuated(),
            warmups=self.warmups.announce() if self.warmups else {},
            speeds=self.pop_speed_news(),
            prompt_loads=(
                self.prompt_loads.list_own()
                if self.prompt_loads is not None
                else {}
            ),
            demand=self.read_demand(),
        )

    def _pop_leaving_servers(
        self,
    ) -> tuple[peer_message.LeavingServer, ...]:
        """List servers to announce, and count the message."""
        servers = tuple(self.leaving_servers)[:MAX_LEAVING_SERVERS]
        for server in servers:
            self.leaving_servers[server] -= 1
            if not self.leaving_servers[server]:
                del self.leaving_servers[server]
        return servers

    def _update_membership(self, message: peer_message.PeerMessage) -> None:
        """Record the sender as live or gone, and the peers it lists."""
        now = self.clock()
        if message.leaving:
            self.census.record_left(message.host)
            if self.peers.pop(message.host, None) is not None:
                self.events.write('peer-left', peer=message.name)
            if self.loads is not None:
                self.loads.peer_counts.pop(message.host, None)
            if self.warmups is not None:
                self.warmups.forget_router(message.host)
            return
        self.census.record_heard(message.host)
        sender = self.peers.get(message.host)
        if sender is None:
            sender = self.peers[message.host] = _Peer(now)
        if now - sender.heard_at > PEER_EXPIRY_S:
            self.events.write(
                'peer-heard', peer=message.name, host=message.host
            )
        silent_s = now - sender.heard_at
        returned = silent_s > LIVE_INTERVALS * self.interval_s()
        if message.incarnation is not None and (
            returned or message.incarnation != sender.incarnation
        ):
            self.on_peer_returned(message.host)
        sender.incarnation = message.incarnation
        sender.heard_at = now
        sender.renewed_at = now
        for host in message.peers:
            if host == self.host:
                continue
            self.census.record_named(host)
            if host not in self.peers:
                self.peers[host] = _Peer(now)

    def _expire_peers(self) -> None:
        """Remove peers that were silent for long."""
        oldest = self.clock() - PEER_EXPIRY_S
        for host in list(self.peers):
            if self.peers[host].renewed_at < oldest:
                del self.peers[host]
                self.events.write('peer-forgotten', host=host)


def _discard(host: str, data: bytes) -> None:
    """Drop a datagram while no socket is open."""


def _ignore_offset(topic: str, offset: int, era: int | None) -> None:
    """Do nothing; the default callback for offsets of peers."""


def _ignore_crash_message(message: crash_report.CrashMessage) -> None:
    """Do nothing; the default callback for evidence on crashes."""


def _ignore_limit_message(message: limit_message.LimitMessage) -> None:
    """Do nothing; the default callback for limits of servers."""


def _ignore_load_message(message: load_message.LoadMessage) -> None:
    """Do nothing; the default callback for loads of servers."""


def _ignore_suspicions(
    suspicions: tuple[peer_message.Suspicion, ...],
) -> None:
    """Do nothing; the default callback for suspected requests."""


def _ignore_host(host: str) -> None:
    """Do nothing; the default callback for routers that are heard anew."""


def _ignore_leaving_server(server: peer_message.LeavingServer) -> None:
    """Do nothing; the default callback for servers that leave."""


def _ignore_evacuated(
    evacuated: tuple[peer_message.EvacuatedDataCentre, ...],
) -> None:
    """Do nothing; the default callback for evacuated data centres."""


def _ignore_speed_news(news: tuple[peer_message.SpeedNews, ...]) -> None:
    """Do nothing; the default callback for speeds of servers."""


def _ignore_demand(host: str, demand: dict[str, float]) -> None:
    """Do nothing; the default callback for peers' demand."""


def _ignore_origin(message: stream_origin.OriginMessage) -> None:
    """Do nothing; the default callback for origins of streams."""


def _ignore_records(relayed: list_update.ListUpdate) -> None:
    """Do nothing; the default callback for relayed records."""
