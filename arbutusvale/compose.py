"""Wire the parts of the two programs: the one composition root."""

import asyncio
import signal

from absl import logging

from arbutusvale import base_process
from arbutusvale import settings
from arbutusvale.coordination import admission
from arbutusvale.coordination import cache_event_follower
from arbutusvale.coordination import cache_locator
from arbutusvale.coordination import claims
from arbutusvale.coordination import dispatch
from arbutusvale.coordination import drain
from arbutusvale.coordination import drain_pause
from arbutusvale.coordination import engine_controller
from arbutusvale.coordination import freeze_detection
from arbutusvale.coordination import gossip
from arbutusvale.coordination import handover
from arbutusvale.coordination import health
from arbutusvale.coordination import idempotency
from arbutusvale.coordination import pending
from arbutusvale.coordination import quarantine
from arbutusvale.coordination import runs
from arbutusvale.coordination import sidecar_handler
from arbutusvale.coordination import slots
from arbutusvale.protocol import bundle
from arbutusvale.protocol import engine
from arbutusvale.protocol import messages
from arbutusvale.protocol import plain_service
from arbutusvale.protocol import platform
from arbutusvale.state import bundle_chain
from arbutusvale.state import directory
from arbutusvale.state import pool_load_table
from arbutusvale.state import status
from arbutusvale.transport import admin_server
from arbutusvale.transport import caller_api_server
from arbutusvale.transport import link_listener
from arbutusvale.transport import link_pool
from arbutusvale.transport import metrics

FIRST_DIRECTORY_ENTRIES = 4096


class Router(base_process.BaseProcess):
    """Hold the parts of one router."""

    def __init__(self, held: settings.RouterSettings):
        super().__init__(held, messages.Role.ROUTER)
        self.dispatcher = dispatch.Dispatcher(
            vm=held.vm,
            incarnation=self.incarnation,
            links=None,
            fleet=self.fleet,
            get_head=lambda: self.bundle_follower.head,
            catch_up=self.bundle_follower.catch_up,
            before_call=self.freeze_detector.refresh_if_frozen,
            generator=self.generator,
        )
        self.links = self.make_link_pool(self, held.link_idle_s)
        self.dispatcher.attempts.links = self.links
        self.membership.listeners.append(self.dispatcher.on_vm_list_changed)
        self.caller_server = caller_api_server.CallerServer(
            listen=held.listen, dispatcher=self.dispatcher
        )
        self.admin = self.make_admin_server(
            self.get_readiness,
            self.get_status,
            [metrics.RouterCollector(self.dispatcher)],
        )

    async def receive(self, link, message: messages.Message) -> None:
        """Hand a message to the follower or to the dispatcher."""
        if not await self.bundle_follower.receive(link, message):
            await self.dispatcher.receive(link, message)

    async def on_link_closed(self, link) -> None:
        """Tell the dispatcher of the end of a link."""
        await self.dispatcher.on_link_closed(link)

    def get_readiness(self) -> admin_server.Readiness:
        """Tell whether this router takes callers' requests."""
        if self.dispatcher.draining:
            return admin_server.Readiness(False, 'draining')
        hindrance = self.find_unready_reason()
        return admin_server.Readiness(not hindrance, hindrance)

    def get_status(self) -> status.RouterStatus:
        """Describe this router."""
        return status.RouterStatus(
            vm=self.settings.vm,
            role=self.role,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
            ready=self.get_readiness().ready,
            bundle=self.describe_bundle(),
            links=self.describe_links(),
            platform=self.describe_platform(),
            active=self.dispatcher.active,
            outcomes=dict(self.dispatcher.measures.outcomes),
            retries=self.dispatcher.measures.retries,
            redirects=self.dispatcher.measures.redirects,
            hedges=self.dispatcher.measures.hedges,
        )

    async def start(self) -> None:
        """Start every part; readiness follows when a bundle is known."""
        self.admin.start()
        self.spawn_common_tasks(self.links)
        self.spawn(self.dispatcher.run)
        self.caller_server.start()
        logging.info(
            'event=started vm=%s incarnation=%d',
            self.settings.vm,
            self.incarnation,
        )

    async def stop(self, grace_s: float) -> int:
        """Drain and stop; returns how many requests were cut."""
        cut = await self.caller_server.drain(grace_s)
        await self.stop_common_parts(self.links)
        return cut


class Sidecar(base_process.BaseProcess):
    """Hold the parts of one sidecar."""

    def __init__(self, held: settings.SidecarSettings):
        super().__init__(held, messages.Role.SIDECAR)
        self.links = self.make_link_pool(self, link_pool.IDLE_TIMEOUT_S)
        self.server = self._make_server(held)
        self.quarantine = quarantine.Quarantine(held.vm, self.incarnation)
        self.table = pool_load_table.PoolLoadTable(held.vm, self.incarnation)
        self.gossip = gossip.Gossip(
            held.pool,
            self.table,
            self.fleet,
            self.links,
            self.quarantine,
            self.generator,
        )
        self.quarantine.spread = self.gossip.push_update
        self.quarantine.list_vms = self._list_pool
        self.directory = directory.Directory(FIRST_DIRECTORY_ENTRIES)
        self.locator = cache_locator.CacheLocator(
            held.vm, held.pool, self.directory, self.fleet, self.links
        )
        self.slot_scheduler = slots.SlotScheduler(
            on_change=self.gossip.on_load_changed
        )
        self.admission = admission.AdmissionController(
            self.table,
            self.slot_scheduler,
            self.gossip.refresh_loads,
            self.locator.find_cache_holder,
        )
        self.claims = claims.ClaimManager(
            self.log_service,
            held.vm,
            self.incarnation,
            self._is_gone,
            lazy=held.kind == settings.ServerKind.ENGINE,
        )
        self.run_table = runs.RunTable(
            self.server,
            self.quarantine,
            answer_retention_s=lambda: (
                self.claims.window_s or runs.DEFAULT_ANSWER_RETENTION_S
            ),
        )
        self.health = health.HealthChecker(self.server, self._note_health)
        self.drain = self._make_drain()
        self.freeze_detector = freeze_detection.FreezeDetector(
            self._look_around, report_gap=base_process.log_clock_gap
        )
        self.sidecar_handler = self._make_sidecar_handler()
        self.link_server = link_listener.LinkListener(
            listen=held.listen,
            vm=held.vm,
            incarnation=self.incarnation,
            role=self.role,
            fleet_key=held.fleet_key,
            handler=self,
            counters=self.link_counters,
        )
        self.admin = self.make_admin_server(
            self.get_readiness, self.get_status, []
        )
        self.bundle_follower.listeners.append(self._apply_bundle)
        self.membership.listeners.append(self.gossip.on_vm_list_changed)
        self.membership.listeners.append(self.locator.on_vm_list_changed)
        self.membership.listeners.append(self.drain.on_vm_list_changed)

    def _make_server(
        self, held: settings.SidecarSettings
    ) -> plain_service.HttpService:
        """Make the adapter for the kind of server beside this process."""
        match held.kind:
            case settings.ServerKind.ENGINE:
                return engine.HttpEngine(held.server, self.http_client)
            case settings.ServerKind.SERVICE:
                return plain_service.HttpService(held.server, self.http_client)

    def _make_drain(self) -> drain.DrainController:
        """Make what ends this sidecar's work."""
        own_engine = None
        if self.settings.kind == settings.ServerKind.ENGINE:
            own_engine = self.server
        chat_handover = handover.ChatHandover(
            self.settings.vm,
            self.settings.pool,
            self.directory,
            self.fleet,
            self.links,
            own_engine,
        )
        return drain.DrainController(
            self.settings.vm,
            self.fleet,
            self.gossip,
            self.slot_scheduler,
            self.run_table,
            chat_handover,
        )

    def _make_order_keeper(self) -> engine_controller.EngineController:
        """Make what gives the engine its orders."""
        return engine_controller.EngineController(
            vm=self.settings.vm,
            pool=self.settings.pool,
            log=self.log_service,
            weights=platform.HttpWeightStore(
                self.settings.platform, self.http_client, self.platform_traffic
            ),
            engine=self.server,
            get_head=lambda: self.bundle_follower.head,
            list_vms=lambda: set(self.fleet.vms),
            pause=drain_pause.DrainPause(self.drain),
            generator=self.generator,
        )

    def _make_sidecar_handler(self) -> sidecar_handler.SidecarHandler:
        """Make the sidecar handler through which all attempts pass."""
        closer = pending.AttemptCloser(self.run_table, self.admission)
        keyed_requests = idempotency.KeyedRequestHandler(
            self.run_table, self.claims, closer, self.admission.clock
        )
        return sidecar_handler.SidecarHandler(
            pool=self.settings.pool,
            follower=self.bundle_follower,
            run_table=self.run_table,
            quarantine=self.quarantine,
            admission=self.admission,
            closer=closer,
            keyed_requests=keyed_requests,
            locator=self.locator,
            gossip=self.gossip,
            health=self.health,
            drain=self.drain,
            freeze_detector=self.freeze_detector,
        )

    async def receive(self, link, message: messages.Message) -> None:
        """Hand a message to the sidecar handler."""
        await self.sidecar_handler.receive(link, message)

    async def on_link_closed(self, link) -> None:
        """Tell the sidecar handler of the end of a link."""
        await self.sidecar_handler.on_link_closed(link)

    def _note_health(self, up: bool) -> None:
        """Tell pool mates whether the server here takes work."""
        if self.drain.leaving:
            return
        state = messages.VmState.LIVE if up else messages.VmState.DOWN
        self.gossip.announce_state(state)

    def _list_pool(self) -> list[str]:
        """Name the live VMs of this sidecar's pool."""
        return [vm.name for vm in self.fleet.list_live(self.settings.pool)]

    def _is_gone(self, vm: str, incarnation: int) -> bool:
        """Tell whether an incarnation of a pool mate is known to be over."""
        if self.fleet.find(vm) is None:
            return True
        entry = self.table.peer_loads.get(vm)
        return entry is not None and entry.load.incarnation > incarnation

    def _apply_bundle(self, head: bundle_chain.ActiveBundle) -> None:
        """Take what the bundle says of this sidecar's pool."""
        pool = head.bundle.pools.get(self.settings.pool)
        if pool is not None and isinstance(
            pool.policy, bundle.DirectoryPolicy
        ):
            self.directory.resize(pool.policy.entries)

    async def _look_around(self) -> None:
        """Renew every view of the fleet after this process stood still."""
        await asyncio.gather(self.refresh_views(), self.gossip.refresh_loads())

    def get_readiness(self) -> admin_server.Readiness:
        """Tell whether this sidecar takes new work."""
        if self.drain.leaving:
            return admin_server.Readiness(False, 'leaving')
        hindrance = self.find_unready_reason()
        if hindrance:
            return admin_server.Readiness(False, hindrance)
        if not self.health.up:
            return admin_server.Readiness(False, 'server is down')
        return admin_server.Readiness(True)

    def get_status(self) -> status.SidecarStatus:
        """Describe this sidecar."""
        return status.SidecarStatus(
            vm=self.settings.vm,
            role=self.role,
            data_centre=self.settings.data_centre,
            pool=self.settings.pool,
            incarnation=self.incarnation,
            ready=self.get_readiness().ready,
            bundle=self.describe_bundle(),
            links=self.describe_links(),
            platform=self.describe_platform(),
            load=self.slot_scheduler.load,
            mean_load=self.table.average_load,
            directory_entries=len(self.directory.vm_by_chat),
            claims_ready=self.claims.ready,
            claim_window_s=self.claims.window_s,
            quarantined=len(self.quarantine.list_quarantined()),
        )

    async def start(self) -> None:
        """Start every part; readiness follows when all is known."""
        self.admin.start()
        self.spawn_common_tasks(self.links)
        self.spawn(self.health.run)
        self.spawn(self.gossip.run)
        self.spawn(self.claims.run)
        self.spawn(self.run_table.run)
        if self.settings.kind == settings.ServerKind.ENGINE:
            watch = cache_event_follower.CacheEventFollower(
                self.settings.vm, self.server, self.directory
            )
            self.spawn(watch.run)
            self.spawn(self._make_order_keeper().run)
        await self.link_server.start()
        logging.info(
            'event=started vm=%s incarnation=%d',
            self.settings.vm,
            self.incarnation,
        )

    async def stop(self, grace_s: float) -> int:
        """Drain and stop; returns how many attempts were cut."""
        cut = await self.drain.drain(grace_s)
        await self.link_server.stop()
        await self.stop_common_parts(self.links)
        return len(cut)


async def run_router(held: settings.RouterSettings) -> int:
    """Run a router until a signal; returns its exit code."""
    return await _run_until_signal(Router(held), held.grace_s)


async def run_sidecar(held: settings.SidecarSettings) -> int:
    """Run a sidecar until a signal; returns its exit code."""
    return await _run_until_signal(Sidecar(held), held.grace_s)


async def _run_until_signal(process: Router | Sidecar, grace_s: float) -> int:
    """Start, wait for a signal, drain; a second signal cuts the drain.

    Returns 0 after a clean drain and 1 when requests were cut.
    """
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    await process.start()
    await signals.get()
    logging.info('event=draining vm=%s', process.settings.vm)
    stopping = asyncio.create_task(process.stop(grace_s))
    second = asyncio.create_task(signals.get())
    await asyncio.wait([stopping, second], return_when=asyncio.FIRST_COMPLETED)
    if not stopping.done():
        logging.warning('event=drain-cut-short vm=%s', process.settings.vm)
        return 1
    second.cancel()
    return 1 if stopping.result() else 0
