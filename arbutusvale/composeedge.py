"""Composition root of the edge router, which has no sidecars.

It imports nothing of the fleet with sidecars, as memory and start-up time are
charged for on an edge VM.
"""

import asyncio
from collections.abc import Callable
import functools
import os
import random
import signal
import sys
import time

from arbutusvale import errors
from arbutusvale.coordination import cache_survey
from arbutusvale.coordination import config_copies
from arbutusvale.coordination import config_view
from arbutusvale.coordination import crash_exchange
from arbutusvale.coordination import crash_tracker
from arbutusvale.coordination import edge_admission_policy
from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_router
from arbutusvale.coordination import edge_shutdown
from arbutusvale.coordination import evacuation_view
from arbutusvale.coordination import freeze_detection
from arbutusvale.coordination import holder_exchange
from arbutusvale.coordination import limit_exchange
from arbutusvale.coordination import load_exchange
from arbutusvale.coordination import log_follower
from arbutusvale.coordination import origin_exchange
from arbutusvale.coordination import outlier_detection
from arbutusvale.coordination import peer_snapshot
from arbutusvale.coordination import peers
from arbutusvale.coordination import server_pacing
from arbutusvale.coordination import server_view
from arbutusvale.coordination import sink_group
from arbutusvale.coordination import supervisor
from arbutusvale.coordination import topic_relay
from arbutusvale.platform import boot_file
from arbutusvale.platform import engine_caches
from arbutusvale.platform import headers
from arbutusvale.platform import records
from arbutusvale.platform import store
from arbutusvale.protocol import edge_settings
from arbutusvale.protocol import peer_message
from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing
from arbutusvale.state import crash_evidence
from arbutusvale.state import edge_metrics
from arbutusvale.state import evacuations
from arbutusvale.state import event_log
from arbutusvale.state import link_queue
from arbutusvale.state import pool_room
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import prompt_loads
from arbutusvale.state import server_limits
from arbutusvale.state import server_list
from arbutusvale.state import server_loads
from arbutusvale.state import server_pauses
from arbutusvale.state import server_speeds
from arbutusvale.state import server_warmups
from arbutusvale.state import service_times
from arbutusvale.state import socket_budget
from arbutusvale.state import stream_origins
from arbutusvale.state import warmup_shares
from arbutusvale.transport import acceptor
from arbutusvale.transport import connection_pool
from arbutusvale.transport import edge_server
from arbutusvale.transport import http_fetch
from arbutusvale.transport import page_server
from arbutusvale.transport import udp_socket

# Share of the memory for request bodies and responses that callers or servers
# haven't taken; the router's tables take some 25 MB.
HELD_MEMORY_SHARE = 0.25
LISTEN_BACKLOG = 512
CHECK_INTERVAL_S = 0.1
# At the end of a stop: for requests that have just been read, and the log.
LAST_REFUSALS_S = 0.02
LOG_DRAIN_S = 0.1
# A server that leaves must get no request sent later than the drain time; the
# rest of that is for requests that wait on the way.
LEAVING_USE_SHARE = 0.5
# Connections to one server of a pool that the configuration doesn't contain.
DEFAULT_MAX_CONNECTIONS = 16


class EdgeProgram:
    """An edge router process.

    ``path`` is its settings file, which is read again on SIGHUP.
    """

    def __init__(
        self,
        path: str,
        settings: edge_settings.EdgeSettings,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.path = path
        self.settings = settings
        self.clock = clock
        self.events = event_log.EventLog(sys.stdout.fileno(), self.clock)
        self.metrics = edge_metrics.EdgeMetrics()
        self.link_queue = link_queue.LinkQueue(
            settings.link_mbit_per_s, self.clock
        )
        self.sockets = socket_budget.divide_sockets(settings.max_sockets)
        self.connection_pool = connection_pool.ConnectionPool(
            self.link_queue.add_bytes,
            self._max_idle_connections,
            self.sockets.servers,
            self.clock,
        )
        self.stopping_since: float | None = None
        self.shutdown_schedule = edge_shutdown.ShutdownSchedule(
            settings.bounds.grace_s
        )
        self.stopped = asyncio.Event()
        self.warmups_by_pool: dict[str, warmup_shares.Warmup] = {}
        self.warmups_version = 0
        self._make_views()
        self._make_router()

    def _make_views(self) -> None:
        """Create the configuration, the server list and their followers."""
        self.config = config_view.ConfigView(
            config_view.ConfigSource(
                records.CONFIG_KEY, records.read_configuration
            ),
            self.events,
            self.clock,
        )
        self.evacuations = evacuations.Evacuations(self.clock)
        self.evacuation_view = evacuation_view.EvacuationView(
            self.evacuations,
            records.read_evacuated_data_centre,
            lambda: self.config_follower.page_end,
            self.events,
        )
        self.servers = server_list.ServerList(
            self.clock,
            LEAVING_USE_SHARE * self.settings.bounds.drain_s,
            self.evacuations,
        )
        self.server_view = server_view.ServerView(
            self.servers, records.read_server, self.events, self._forget_server
        )
        self.config_follower = self._make_follower(
            records.CONFIG_TOPIC,
            sink_group.SinkGroup((self.config, self.evacuation_view)),
        )
        self.server_follower = self._make_follower(
            records.SERVERS_TOPIC, self.server_view
        )

    def _make_follower(
        self, topic: str, sink: log_follower.Sink
    ) -> log_follower.LogFollower:
        """Create the log follower of one topic."""
        log = store.StoreTopic(self.settings.store, topic)
        bounds = self.settings.bounds
        apply_s = min(bounds.config_apply_s, bounds.drain_s)
        if bounds.evacuation_s is not None:
            apply_s = min(apply_s, bounds.evacuation_s)
        return log_follower.LogFollower(
            topic, log, sink, self.events, apply_s, self.clock
        )

    def _make_router(self) -> None:
        """Create the components that handle requests."""
        generator = random.Random()
        self.peers = peers.Peers(
            self.settings.name,
            self.settings.host,
            tuple(seed.host for seed in self.settings.seeds),
            self.events,
            self.clock,
            is_first_start=self.settings.is_first_start,
        )
        self.crash_exchange = crash_exchange.CrashExchange(
            self.settings.host,
            crash_evidence.CrashEvidence(self.clock),
            self.peers.list_known_hosts,
            self.clock,
        )
        self.warmups = server_warmups.ServerWarmups(
            self.settings.host,
            self.clock,
            self.peers.census.list_running,
            generator,
        )
        self.warmups.list_warmups = self._list_warmups
        self.warmups.on_change = self._log_warmup
        if self.settings.bounds.evacuation_s is not None:
            self.warmups.restored_at = self.evacuations.restored_at
        self.peers.warmups = self.warmups
        self.server_view.on_listed = self.warmups.record_listed
        limits = server_limits.ServerLimits(
            self.clock, self.peers.list_known_peers, generator, self.warmups
        )
        self.pacer = server_pacing.ServerPacer(
            self.warmups,
            self.servers,
            self.events,
            self.peers.interval_s,
            self.clock,
        )
        self.warmups.choose_pace = self.pacer.choose_first_pace
        self.limit_exchange = limit_exchange.LimitExchange(
            self.settings.host,
            limits,
            self.peers.list_known_hosts,
            self.peers.interval_s,
            self.clock,
        )
        self.limit_exchange.pacer = self.pacer
        loads = server_loads.ServerLoads(self.clock)
        self.load_exchange = load_exchange.LoadExchange(
            self.settings.host,
            loads,
            self.peers.list_live,
            self.events,
            self.clock,
        )
        self.context = edge_context.EdgeContext(
            settings=self.settings,
            codec=headers,
            connection_pool=self.connection_pool,
            config=self.config,
            servers=self.servers,
            loads=loads,
            pauses=server_pauses.ServerPauses(self.clock),
            limits=limits,
            pacer=self.pacer,
            speeds=server_speeds.ServerSpeeds(self.clock),
            announce_limits=self.limit_exchange.announce,
            load_age_s=self._load_age_s,
            rooms=pool_room.PoolRooms(self.clock),
            prompts=prompt_cache_index.PromptCacheIndex(self.clock),
            prompt_loads=prompt_loads.PromptLoads(self.clock),
            outlier_detector=outlier_detection.OutlierDetector(
                generator, self.clock
            ),
            crashes=crash_tracker.CrashTracker(
                self.crash_exchange,
                self.connection_pool,
                self.events,
                self.clock,
                self.peers.list_live,
            ),
            metrics=self.metrics,
            events=self.events,
            generator=generator,
            clock=self.clock,
            peers=self.peers,
            origins=origin_exchange.OriginExchange(
                self.settings.host,
                stream_origins.StreamOrigins(self.clock),
                self.peers.list_live,
                self.peers.list_known_hosts,
            ),
            holders=holder_exchange.HolderExchange(
                self.settings.host,
                cache_survey.CacheSurvey(
                    engine_caches.EngineCacheClient(self.connection_pool),
                    self.metrics,
                    self.events,
                ),
                self.servers,
                self.peers.list_live,
            ),
            store_age_s=self._store_age_s,
            confirm_server_list=self.server_follower.confirm,
            link_queue=self.link_queue,
            latency_estimator=service_times.LatencyEstimator(self.clock),
        )
        self.freeze_detector = freeze_detection.FreezeDetector(
            self._refresh_after_freeze, _read_boot_clock, self._log_clock_gap
        )
        self.router = edge_router.EdgeRouter(
            self.context, self.freeze_detector.refresh_if_frozen
        )
        self._connect_peers()
        self.caller_server = edge_server.EdgeServer(
            self.router.serve,
            self._caller_limits,
            int(self.settings.memory_bytes * HELD_MEMORY_SHARE),
            self.events.write,
            self.link_queue.add_bytes,
            self.sockets.callers,
        )
        self.acceptor = acceptor.Acceptor(
            self.caller_server.make_connection,
            self.caller_server.has_capacity,
            self.events.write,
        )
        self.caller_server.on_capacity_freed = self.acceptor.resume
        self.caller_server.on_cut = functools.partial(
            self.metrics.increment, 'cut_readers'
        )
        self.connection_pool.budget = self.caller_server.budget
        self.context.held = self.caller_server.budget

    def _connect_peers(self) -> None:
        """Connect what shares state with other routers."""
        self.config_copies = config_copies.ConfigCopies(
            self.settings.host,
            self.config,
            self.evacuation_view,
            [
                store.StoreTopic(
                    self.settings.store, records.COPIES_TOPIC, partition
                )
                for partition in records.COPY_PARTITIONS
            ],
            self.peers.list_live,
            lambda: self.config_follower.contact.lost_at is not None,
            self.events,
        )
        local_state = peer_snapshot.LocalState(
            self.config,
            self.server_view,
            self.config_follower,
            self.server_follower,
            self.context.prompts,
            self.evacuation_view,
        )
        self.snapshot_exchange = peer_snapshot.SnapshotExchange(
            local_state, self.events
        )
        self.peers.loads = self.context.loads
        self.peers.prompts = self.context.prompts
        self.peers.prompt_loads = self.context.prompt_loads
        self.peers.pop_speed_news = self.context.speeds.pop_news
        self.peers.on_speed_news = self._merge_speeds
        self.peers.on_crash_message = self.crash_exchange.receive
        self.peers.on_limit_message = self.limit_exchange.receive
        self.peers.on_load_message = self.load_exchange.receive
        self.peers.on_suspicions = self.crash_exchange.receive_suspicions
        self.peers.list_suspicions = self.crash_exchange.list_suspicions
        self.peers.on_peer_returned = self.crash_exchange.sync
        self.peers.on_peer_demand = self.context.rooms.record_peer_demand
        self.peers.read_demand = self.context.rooms.read_demand
        self.peers.read_offsets = self._read_offsets
        self.peers.read_eras = self._read_eras
        self.peers.on_peer_offset = self._on_peer_offset
        self.relay = topic_relay.TopicRelay(
            self.settings.host,
            self.server_follower,
            self.peers.list_live,
            self.events,
            self.clock,
        )
        self.server_follower.relay = self.relay
        self.peers.on_relayed_records = self.relay.receive
        self.peers.on_origin_message = self.context.origins.receive
        self.context.origins.on_holder_message = self.context.holders.receive
        self.peers.on_leaving_server = self._mark_leaving
        self.peers.list_evacuated = self.evacuation_view.list_told
        self.peers.on_evacuated = self.evacuation_view.apply_told
        self.config_follower.count_readers = self.peers.count_live
        self.server_follower.count_readers = self.relay.count_readers
        self.server_follower.on_gap = self.servers.restart_watch
        for follower in (self.config_follower, self.server_follower):
            follower.on_new_records = self.peers.announce_offsets
            follower.on_era_risen = self._count_era

    async def run(self) -> int:
        """Serve requests until shut down; return the exit code."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._start_shutdown)
        loop.add_signal_handler(signal.SIGINT, self._start_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        self.events.write(
            'start',
            vm=self.settings.name,
            data_centre=self.settings.data_centre,
            callers=self.settings.callers.port,
            store=self.settings.store.host,
            first=self.settings.is_first_start,
        )
        self.events.flush()
        listening = await self._listen()
        peer_socket = await udp_socket.open_socket(
            self.settings.host, self.settings.peer_port, self.peers.receive
        )
        self.peers.send = peer_socket.send
        self.relay.send = peer_socket.send
        self.context.origins.send = peer_socket.send
        self.context.holders.send = peer_socket.send
        self.crash_exchange.send = peer_socket.send
        self.limit_exchange.send = peer_socket.send
        self.load_exchange.send = peer_socket.send
        tasks = [
            asyncio.create_task(supervisor.keep_running(run_task, self.events))
            for run_task in (
                self.config_follower.run,
                self.config_copies.run,
                self.server_follower.run,
                self.connection_pool.run,
                self.caller_server.run,
                self.events.run,
                self.peers.run,
                self.crash_exchange.run,
                self.limit_exchange.run,
                self.load_exchange.run,
                self.freeze_detector.run,
                self._exchange_snapshots,
                self._fetch_cache_locations,
                self._run_periodic_checks,
            )
        ]
        await self.stopped.wait()
        self.context.crashes.stop()
        for server in listening:
            server.close()
        for task in tasks:
            task.cancel()
        cut = self.router.cut_requests + self.router.active_requests
        cut += await self.caller_server.cancel_requests()
        self.events.write('stop', cut=cut)
        await self.events.drain(LOG_DRAIN_S)
        return 0

    async def _listen(self) -> list[asyncio.Server | acceptor.Acceptor]:
        """Open the listening sockets."""
        callers = self.settings.callers
        readiness = self.settings.readiness
        pages = {boot_file.READINESS_PATH: self._readiness_page}
        metrics = {'/metrics': self._metrics_page}
        peer_pages = {
            peer_snapshot.SNAPSHOT_PATH: self.snapshot_exchange.render_snapshot
        }
        self.acceptor.listen(callers.host, callers.port, LISTEN_BACKLOG)
        return [
            self.acceptor,
            await self._listen_for_pages(
                pages, readiness.host, readiness.port, self.sockets.pages
            ),
            await self._listen_for_pages(
                peer_pages,
                self.settings.host,
                self.settings.peer_port,
                self.sockets.peer_pages,
            ),
            await self._listen_for_pages(
                metrics,
                self.settings.host,
                self.settings.metrics_port,
                self.sockets.pages,
            ),
        ]

    async def _listen_for_pages(
        self,
        pages: dict[str, page_server.Page],
        host: str,
        port: int,
        max_connections: int,
    ) -> asyncio.Server:
        """Open a listening socket of pages."""
        server = page_server.PageServer(
            pages, max_connections, self.caller_server.budget
        )
        return await asyncio.get_running_loop().create_server(
            server.make_connection, host, port
        )

    async def _run_periodic_checks(self) -> None:
        """Drop expired servers and advance the shutdown, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.server_view.expire()
            self.warmups.expire()
            self.pacer.step()
            if self.stopping_since is None:
                continue
            # After a stall, sockets hold requests that weren't read yet.
            await asyncio.sleep(0)
            elapsed_s = self.clock() - self.stopping_since
            phase = self.shutdown_schedule.phase_at(
                elapsed_s,
                self.router.active_requests,
                len(self.caller_server.connections),
            )
            match phase:
                case edge_shutdown.ShutdownPhase.REFUSING:
                    self.router.refuse_new = True
                    self.caller_server.refuse_incomplete()
                case edge_shutdown.ShutdownPhase.CLOSING:
                    self.router.refuse_new = True
                    # Some arrive just before their connection counts as idle.
                    self.caller_server.refuse_incomplete()
                    self.caller_server.close_idle()
                case edge_shutdown.ShutdownPhase.ENDED:
                    self.router.refuse_new = True
                    self.caller_server.refuse_incomplete()
                    # After a stall, new requests are refused meanwhile.
                    await asyncio.sleep(LAST_REFUSALS_S)
                    self.stopped.set()

    def _start_shutdown(self) -> None:
        """Start a graceful shutdown, once."""
        if self.stopping_since is not None:
            return
        self.stopping_since = self.clock()
        self.router.shut_down(
            self.shutdown_schedule.limit_work(self.stopping_since)
        )
        self.caller_server.draining = True
        self.peers.leaving = True
        self.events.write('stopping', active=self.router.active_requests)

    def _reload_settings(self) -> None:
        """Reload the settings; addresses only change at a restart."""
        try:
            settings = boot_file.read(self.path)
        except errors.DocumentError as error:
            self.events.write('reload-failed', error=str(error))
            return
        self.settings = settings
        self.context.settings = settings
        self.events.write('reload', vm=settings.name)

    def _read_offsets(self) -> dict[str, int]:
        """Return the offset up to which each topic was read."""
        return {
            follower.topic: follower.offset
            for follower in (self.config_follower, self.server_follower)
            if follower.offset is not None
        }

    def _read_eras(self) -> dict[str, int]:
        """Return the era of each topic's offset, as far as known."""
        return {
            follower.topic: follower.era
            for follower in (self.config_follower, self.server_follower)
            if follower.era is not None
        }

    def _mark_leaving(self, leaving: peer_message.LeavingServer) -> None:
        """Record that a server leaves, as a peer says."""
        entry = self.servers.by_id.get(leaving.server_id)
        if entry is None:
            return
        server = entry.server
        if (server.started_at_ms, server.address) != (
            leaving.started_at_ms,
            leaving.address,
        ):
            return
        if self.servers.mark_leaving(server):
            self.metrics.increment('leaving_servers', 'peer')
            self.events.write(
                'server-leaving', server=server.id, source='peer'
            )

    def _merge_speeds(self, news: tuple[peer_message.SpeedNews, ...]) -> None:
        """Take over what a peer says of the speed of listed servers."""
        for each in news:
            listed = self.servers.by_id.get(each.server_id)
            if listed is not None:
                self.context.speeds.merge(each, listed.server.started_at_ms)

    def _count_era(self, topic: str) -> None:
        """Count that the store came back from an older copy."""
        self.metrics.increment('store_eras', topic)
        self.peers.announce_offsets()

    def _on_peer_offset(
        self, topic: str, offset: int, era: int | None
    ) -> None:
        """Pass a peer's offset in a topic to its follower."""
        for follower in (self.config_follower, self.server_follower):
            if follower.topic == topic:
                follower.handle_offset_hint(offset, era)

    async def _fetch_page(self, host: str, path: str) -> bytes:
        """Fetch a page from a peer."""
        return await http_fetch.fetch(host, self.settings.peer_port, path)

    async def _exchange_snapshots(self) -> None:
        """Fetch snapshots from peers that are ahead of this router."""
        await self.snapshot_exchange.run(
            self.peers.list_known_hosts, self._fetch_page
        )

    async def _fetch_cache_locations(self) -> None:
        """Fetch cache locations from a peer after the start."""
        await self.snapshot_exchange.fetch_cache_locations(
            self.peers.list_live, self._fetch_page
        )

    async def _refresh_after_freeze(self) -> None:
        """Refresh both topics; idle connections may be closed by now."""
        self.warmups.forget_announcements()
        self.connection_pool.close_idle()
        await asyncio.gather(
            self.config_follower.refresh(), self.server_follower.refresh()
        )

    def _log_clock_gap(self, gap_s: float) -> None:
        """Log a freeze of this process."""
        self.events.write('clock-gap', seconds=gap_s)

    def _forget_server(self, server_id: str) -> None:
        """Drop the state of a server that left the list."""
        self.context.forget_server(server_id)

    def _list_warmups(self) -> dict[str, warmup_shares.Warmup]:
        """Return what the pools of the configuration declare, by pool."""
        if self.config.version != self.warmups_version:
            self.warmups_version = self.config.version
            bounds = self.settings.bounds
            configuration = self.config.route_table.configuration
            self.warmups_by_pool = {
                pool.name: warmup_shares.Warmup(
                    pool.warmup_s,
                    pool.warmup_rate,
                    bounds.warmup_overage * pool.warmup_rate
                    + bounds.warmup_slack,
                )
                for pool in configuration.pools.values()
                if pool.warmup_s and pool.warmup_rate
            }
            if self.settings.pace_all_pools:
                undeclared = warmup_shares.Warmup(0.0, 0.0, 0.0)
                for name in configuration.pools:
                    self.warmups_by_pool.setdefault(name, undeclared)
        return self.warmups_by_pool

    def _log_warmup(
        self, server: proxying.BackendServer, is_cold: bool
    ) -> None:
        """Log and count that a server is cold or paced, or no longer."""
        if is_cold:
            self.metrics.increment('cold_servers', server.pool)
        self.events.write(
            'server-cold' if is_cold else 'server-warm',
            server=server.id,
            pool=server.pool,
        )

    def _max_idle_connections(self, pool: str) -> int:
        """Return the maximum number of idle connections to one server.

        All routers together leave half of a server's connections to requests.
        """
        connection_limit = DEFAULT_MAX_CONNECTIONS
        if self.config.route_table is not None:
            pool_settings = self.config.route_table.configuration.pools.get(
                pool
            )
            connection_limit = (
                pool_settings.max_connections
                if pool_settings is not None
                else connection_limit
            )
        return max(1, connection_limit // (2 * self.peers.count_live()))

    def _caller_limits(self) -> routing.CallerLimits:
        """Return the configured limits of callers' connections."""
        if self.config.route_table is None:
            return routing.CallerLimits()
        return self.config.route_table.configuration.limits

    def _store_age_s(self) -> float:
        """Return the seconds since the configuration was last confirmed."""
        return self.config_follower.age_s()

    def _load_age_s(self) -> float:
        """Return how old the loads of other routers get, in s."""
        return min(self.peers.interval_s(), self.load_exchange.load_age_s())

    def _is_ready(self) -> bool:
        """Return whether this router accepts requests."""
        return (
            self.stopping_since is None
            and self.config.route_table is not None
            and self.server_follower.offset is not None
            and not self.caller_server.is_full()
            and self.link_queue.queueing_delay_s()
            <= edge_admission_policy.MAX_LINK_WAIT_S
        )

    def _readiness_page(self) -> tuple[int, str]:
        """Return the readiness page."""
        return (200, 'ready\n') if self._is_ready() else (503, 'not ready\n')

    def _metrics_page(self) -> tuple[int, str]:
        """Return the metrics page."""
        counters = self.metrics.counters
        counters['server_connections', ''] = self.connection_pool.opened_count
        counters['config_version', ''] = self.config.version
        budget = self.caller_server.budget
        self.metrics.gauges['held_bytes', 'now'] = float(budget.held_bytes)
        self.metrics.gauges['held_bytes', 'peak'] = float(budget.peak_bytes)
        for data_centre in self.evacuations.list_known():
            self.metrics.gauges['data_centre_evacuated', data_centre] = float(
                self.evacuations.is_evacuated(data_centre)
            )
        return 200, self.metrics.render()


def _read_boot_clock() -> float:
    """Return seconds on a clock that advances in a VM's suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def run() -> int:
    """Run an edge router; return its exit code."""
    path = os.environ.get(boot_file.PATH_VARIABLE, '')
    program = EdgeProgram(path, boot_file.read(path))
    return await program.run()
