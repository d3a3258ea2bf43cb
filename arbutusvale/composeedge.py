"""Wire the edge router: the program that speaks to servers itself.

This is the composition root of the lean program; it imports nothing of the
fleet with sidecars, as memory and start are charged on an edge VM.
"""

import asyncio
import os
import random
import signal
import sys
import time

from arbutusvale import errors
from arbutusvale.coordination import config_view
from arbutusvale.coordination import crash_tracker
from arbutusvale.coordination import edge_admission_policy
from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_router
from arbutusvale.coordination import edge_shutdown
from arbutusvale.coordination import freeze_detection
from arbutusvale.coordination import log_follower
from arbutusvale.coordination import outlier_detection
from arbutusvale.coordination import peer_snapshot
from arbutusvale.coordination import peers
from arbutusvale.coordination import server_view
from arbutusvale.coordination import supervisor
from arbutusvale.coordination import topic_relay
from arbutusvale.platform import boot_file
from arbutusvale.platform import headers
from arbutusvale.platform import records
from arbutusvale.platform import store
from arbutusvale.protocol import edge_settings
from arbutusvale.protocol import routing
from arbutusvale.state import edge_metrics
from arbutusvale.state import event_log
from arbutusvale.state import link_queue
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import server_list
from arbutusvale.state import server_loads
from arbutusvale.state import service_times
from arbutusvale.state import socket_budget
from arbutusvale.state import suspects
from arbutusvale.transport import acceptor
from arbutusvale.transport import connection_pool
from arbutusvale.transport import edge_server
from arbutusvale.transport import http_fetch
from arbutusvale.transport import page_server
from arbutusvale.transport import udp_socket

# A router's own tables take some 25 MB; bodies may take a quarter.
BODY_SHARE = 0.25
LISTEN_BACKLOG = 512
TICK_S = 0.1
# Stands in for a pool that the configuration doesn't describe.
UNKNOWN_CONNECTIONS = 16


class EdgeProgram:
    """Run one edge router until it is told to stop."""

    def __init__(self, path: str, settings: edge_settings.EdgeSettings):
        self.path = path
        self.settings = settings
        self.clock = time.monotonic
        self.events = event_log.EventLog(sys.stdout.fileno(), self.clock)
        self.metrics = edge_metrics.EdgeMetrics()
        self.link_queue = link_queue.LinkQueue(
            settings.link_mbit_per_s, self.clock
        )
        self.sockets = socket_budget.divide_sockets(settings.max_sockets)
        self.connection_pool = connection_pool.ConnectionPool(
            self.link_queue.add_bytes, self._limit_idle, self.sockets.servers
        )
        self.stop_at: float | None = None
        self.stopped = asyncio.Event()
        self._wire_lists()
        self._wire_router()

    def _wire_lists(self) -> None:
        """Make the configuration, the server list and their followers."""
        self.config = config_view.ConfigView(
            config_view.ConfigSource(
                records.CONFIG_KEY, records.read_configuration
            ),
            self.events,
            self.clock,
        )
        self.servers = server_list.ServerList(self.clock)
        self.server_view = server_view.ServerView(
            self.servers, records.read_server, self.events, self._forget
        )
        self.config_follower = self._follow(records.CONFIG_TOPIC, self.config)
        self.server_follower = self._follow(
            records.SERVERS_TOPIC, self.server_view
        )

    def _follow(
        self, topic: str, sink: log_follower.Sink
    ) -> log_follower.LogFollower:
        """Make the follower of one topic."""
        log = store.StoreTopic(self.settings.store, topic)
        bounds = self.settings.bounds
        apply_s = min(bounds.config_apply_s, bounds.drain_s)
        return log_follower.LogFollower(
            topic, log, sink, self.events, apply_s, self.clock
        )

    def _wire_router(self) -> None:
        """Make what serves requests."""
        generator = random.Random()
        self.peers = peers.Peers(
            self.settings.name,
            self.settings.host,
            tuple(seed.host for seed in self.settings.seeds),
            self.events,
            self.clock,
        )
        self.context = edge_context.EdgeContext(
            settings=self.settings,
            codec=headers,
            connection_pool=self.connection_pool,
            config=self.config,
            servers=self.servers,
            loads=server_loads.ServerLoads(self.clock),
            prompts=prompt_cache_index.PromptCacheIndex(self.clock),
            outlier_detector=outlier_detection.OutlierDetector(
                generator, self.clock
            ),
            crashes=crash_tracker.CrashTracker(
                suspects.SuspectTable(self.clock),
                self.connection_pool,
                self.events,
                self.clock,
            ),
            metrics=self.metrics,
            events=self.events,
            generator=generator,
            clock=self.clock,
            peers=self.peers,
            store_age_s=self._store_age,
            link_queue=self.link_queue,
            latency_estimator=service_times.LatencyEstimator(self.clock),
        )
        self.freeze_detector = freeze_detection.FreezeDetector(
            self._look_around, _read_boot_clock, self._note_gap
        )
        self.router = edge_router.EdgeRouter(
            self.context, self.freeze_detector.refresh_if_frozen
        )
        self._wire_peers()
        self.edge = edge_server.EdgeServer(
            self.router.serve,
            self._limits,
            int(self.settings.memory_bytes * BODY_SHARE),
            self.events.write,
            self.link_queue.add_bytes,
            self.sockets.callers,
        )
        self.acceptor = acceptor.Acceptor(
            self.edge.make_connection,
            self.edge.has_capacity,
            self.events.write,
        )
        self.edge.on_capacity_freed = self.acceptor.resume

    def _wire_peers(self) -> None:
        """Let routers share what each of them knows."""
        lists = peer_snapshot.LocalState(
            self.config,
            self.server_view,
            self.config_follower,
            self.server_follower,
            self.context.prompts,
        )
        self.peer_copy = peer_snapshot.SnapshotExchange(lists, self.events)
        self.peers.loads = self.context.loads
        self.peers.prompts = self.context.prompts
        self.peers.suspects = self.context.crashes.suspect_table
        self.peers.read_offsets = self._read_offsets
        self.peers.on_peer_offset = self._note_behind
        self.relay = topic_relay.TopicRelay(
            self.settings.host,
            self.server_follower,
            self.peers.list_live,
            self.events,
            self.clock,
        )
        self.server_follower.relay = self.relay
        self.peers.on_relayed_records = self.relay.receive
        self.config_follower.count_readers = self.peers.count_live
        self.server_follower.count_readers = self.relay.count_readers
        for follower in (self.config_follower, self.server_follower):
            follower.on_new_records = self.peers.announce_offsets

    async def run(self) -> int:
        """Serve until stopped; return the exit code."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
        loop.add_signal_handler(signal.SIGINT, self._begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.events.write(
            'start',
            vm=self.settings.name,
            data_centre=self.settings.data_centre,
            callers=self.settings.callers.port,
            store=self.settings.store.host,
        )
        self.events.flush()
        listening = await self._listen()
        peer_socket = await udp_socket.open_socket(
            self.settings.host, self.settings.peer_port, self.peers.receive
        )
        self.peers.send = peer_socket.send
        self.relay.send = peer_socket.send
        runners = [
            asyncio.create_task(supervisor.keep_running(one, self.events))
            for one in (
                self.config_follower.run,
                self.server_follower.run,
                self.connection_pool.run,
                self.edge.run,
                self.events.run,
                self.peers.run,
                self.freeze_detector.run,
                self._copy_lists,
                self._learn_places,
                self._tick,
            )
        ]
        await self.stopped.wait()
        for server in listening:
            server.close()
        for runner in runners:
            runner.cancel()
        self.events.write('stop', cut=self.router.active_requests)
        self.events.flush()
        return 0

    async def _listen(self) -> list[asyncio.Server | acceptor.Acceptor]:
        """Open the listening sockets."""
        loop = asyncio.get_running_loop()
        callers = self.settings.callers
        readiness = self.settings.readiness
        pages = {boot_file.READINESS_PATH: self._show_readiness}
        metrics = {'/metrics': self._show_metrics}
        shared = {peer_snapshot.SNAPSHOT_PATH: self.peer_copy.render_snapshot}
        self.acceptor.listen(callers.host, callers.port, LISTEN_BACKLOG)
        return [
            self.acceptor,
            await loop.create_server(
                lambda: page_server.PageConnection(pages),
                readiness.host,
                readiness.port,
            ),
            await loop.create_server(
                lambda: page_server.PageConnection(shared),
                self.settings.host,
                self.settings.peer_port,
            ),
            await loop.create_server(
                lambda: page_server.PageConnection(metrics),
                self.settings.host,
                self.settings.metrics_port,
            ),
        ]

    async def _tick(self) -> None:
        """Watch the stop plan and entries that didn't return."""
        plan = edge_shutdown.ShutdownSchedule(self.settings.bounds.grace_s)
        while True:
            await asyncio.sleep(TICK_S)
            self.server_view.expire()
            if self.stop_at is None:
                continue
            elapsed = self.clock() - self.stop_at
            phase = plan.phase_at(
                elapsed,
                self.router.active_requests,
                len(self.edge.connections),
            )
            match phase:
                case edge_shutdown.ShutdownPhase.REFUSING:
                    self.router.refuse_new = True
                case edge_shutdown.ShutdownPhase.CLOSING:
                    self.edge.close_idle()
                case edge_shutdown.ShutdownPhase.ENDED:
                    self.stopped.set()

    def _begin_stop(self) -> None:
        """Leave the rotation; repeated signals change nothing."""
        if self.stop_at is not None:
            return
        self.stop_at = self.clock()
        self.edge.draining = True
        self.peers.leaving = True
        self.events.write('stopping', active=self.router.active_requests)

    def _reload(self) -> None:
        """Read the settings again; addresses stay until a restart."""
        try:
            settings = boot_file.read(self.path)
        except errors.DocumentError as error:
            self.events.write('reload-failed', error=str(error))
            return
        self.settings = settings
        self.context.settings = settings
        self.events.write('reload', vm=settings.name)

    def _read_offsets(self) -> dict[str, int]:
        """Return how far the store was read, by topic."""
        return {
            follower.topic: follower.offset
            for follower in (self.config_follower, self.server_follower)
            if follower.offset is not None
        }

    def _note_behind(self, topic: str, offset: int) -> None:
        """Let the follower of a topic know how far a peer has read."""
        for follower in (self.config_follower, self.server_follower):
            if follower.topic == topic:
                follower.handle_offset_hint(offset)

    async def _fetch(self, host: str, path: str) -> bytes:
        """Fetch a page of a peer."""
        return await http_fetch.fetch(host, self.settings.peer_port, path)

    async def _copy_lists(self) -> None:
        """Copy lists from peers whenever they know more."""
        await self.peer_copy.run(self.peers.list_known_hosts, self._fetch)

    async def _learn_places(self) -> None:
        """Learn cache places from a peer at the start."""
        await self.peer_copy.fetch_cache_locations(
            self.peers.list_live, self._fetch
        )

    async def _look_around(self) -> None:
        """Ask the store anew after this process stood still."""
        self.connection_pool.close_idle()
        await asyncio.gather(
            self.config_follower.refresh(), self.server_follower.refresh()
        )

    def _note_gap(self, gap_s: float) -> None:
        """Log that this process stood still."""
        self.events.write('clock-gap', seconds=gap_s)

    def _forget(self, server_id: str) -> None:
        """Drop what is remembered of a server that is gone."""
        self.context.forget_server(server_id)

    def _limit_idle(self, pool: str) -> int:
        """Return how many idle connections to one server are kept.

        Half of what a server takes from all routers is left for those in use.
        """
        most = UNKNOWN_CONNECTIONS
        if self.config.route_table is not None:
            known = self.config.route_table.configuration.pools.get(pool)
            most = known.max_connections if known is not None else most
        return max(1, most // (2 * self.peers.count_live()))

    def _limits(self) -> routing.CallerLimits:
        """Return the limits of callers in force."""
        if self.config.route_table is None:
            return routing.CallerLimits()
        return self.config.route_table.configuration.limits

    def _store_age(self) -> float:
        """Return for how long the configuration wasn't confirmed."""
        return self.config_follower.age_s()

    def _is_ready(self) -> bool:
        """Tell whether callers are served."""
        return (
            self.stop_at is None
            and self.config.route_table is not None
            and self.server_follower.offset is not None
            and not self.edge.is_full()
            and self.link_queue.queueing_delay_s()
            <= edge_admission_policy.MAX_LINK_WAIT_S
        )

    def _show_readiness(self) -> tuple[int, str]:
        """Return the readiness page."""
        return (200, 'ready\n') if self._is_ready() else (503, 'not ready\n')

    def _show_metrics(self) -> tuple[int, str]:
        """Return the metrics page."""
        counters = self.metrics.counters
        counters['server_connections', ''] = self.connection_pool.opened_count
        counters['config_version', ''] = self.config.version
        return 200, self.metrics.render()


def _read_boot_clock() -> float:
    """Return a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def run() -> int:
    """Read the settings and run an edge router."""
    path = os.environ.get(boot_file.PATH_VARIABLE, '')
    program = EdgeProgram(path, boot_file.read(path))
    return await program.run()
