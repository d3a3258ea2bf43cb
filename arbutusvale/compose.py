"""Composition root of the router and the sidecar.

It creates the components of both programs and connects them.  The edge router
has a composition root of its own, ``composeedge``.
"""

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
from arbutusvale.state import rate_limit
from arbutusvale.state import status
from arbutusvale.transport import admin_server
from arbutusvale.transport import caller_api_server
from arbutusvale.transport import link_listener
from arbutusvale.transport import link_pool
from arbutusvale.transport import metrics

# Until the first bundle sets the size.
INITIAL_DIRECTORY_ENTRIES = 4096


class Router(base_process.BaseProcess):
    """A router process: dispatches callers' requests to sidecars."""

    def __init__(self, router_settings: settings.RouterSettings):
        super().__init__(router_settings, messages.Role.ROUTER)
        self.dispatcher = dispatch.Dispatcher(
            vm=router_settings.vm,
            incarnation=self.incarnation,
            links=None,
            fleet=self.fleet,
            get_head=lambda: self.bundle_follower.head,
            catch_up=self.bundle_follower.catch_up,
            before_call=self.freeze_detector.refresh_if_frozen,
            generator=self.generator,
        )
        self.links = self.make_link_pool(self, router_settings.link_idle_s)
        self.dispatcher.attempts.links = self.links
        self.membership.listeners.append(self.dispatcher.on_vm_list_changed)
        self.caller_server = caller_api_server.CallerServer(
            listen=router_settings.listen,
            dispatcher=self.dispatcher,
            budget=self.held,
            max_connections=base_process.count_client_connections(),
        )
        self.admin = self.make_admin_server(
            self.get_readiness,
            self.get_status,
            [metrics.RouterCollector(self.dispatcher)],
        )

    async def receive(self, link, message: messages.Message) -> None:
        """Pass a message to the bundle follower, else to the dispatcher."""
        if not await self.bundle_follower.receive(link, message):
            await self.dispatcher.receive(link, message)

    async def on_link_closed(self, link) -> None:
        """Report a closed link to the dispatcher."""
        await self.dispatcher.on_link_closed(link)

    def get_readiness(self) -> admin_server.Readiness:
        """Return whether this router accepts requests, and if not, why."""
        if self.dispatcher.draining:
            return admin_server.Readiness(False, 'draining')
        reason = self.find_unready_reason()
        return admin_server.Readiness(not reason, reason)

    def get_status(self) -> status.RouterStatus:
        """Return this router's state for the status page."""
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
            outcomes=dict(self.dispatcher.metrics.outcomes),
            retries=self.dispatcher.metrics.retries,
            redirects=self.dispatcher.metrics.redirects,
            hedges=self.dispatcher.metrics.hedges,
        )

    async def start(self) -> None:
        """Start all components.

        The router becomes ready once it has a bundle and the VM list.
        """
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
        """Drain and stop; return how many requests were aborted."""
        cut = await self.caller_server.drain(grace_s)
        await self.stop_common_parts(self.links)
        return cut


class Sidecar(base_process.BaseProcess):
    """A sidecar process: runs attempts on the backend server beside it."""

    def __init__(self, sidecar_settings: settings.SidecarSettings):
        super().__init__(sidecar_settings, messages.Role.SIDECAR)
        self.links = self.make_link_pool(self, link_pool.IDLE_TIMEOUT_S)
        self.server = self._make_server_adapter(sidecar_settings)
        self.quarantine = quarantine.Quarantine(
            sidecar_settings.vm, self.incarnation
        )
        self.load_table = pool_load_table.PoolLoadTable(
            sidecar_settings.vm, self.incarnation
        )
        self.gossip = gossip.Gossip(
            sidecar_settings.pool,
            self.load_table,
            self.fleet,
            self.links,
            self.quarantine,
            self.generator,
        )
        self.quarantine.spread = self.gossip.push_update
        self.quarantine.list_vms = self._list_live_pool_vms
        self.directory = directory.Directory(INITIAL_DIRECTORY_ENTRIES)
        self.locator = cache_locator.CacheLocator(
            sidecar_settings.vm,
            sidecar_settings.pool,
            self.directory,
            self.fleet,
            self.links,
        )
        self.slot_scheduler = slots.SlotScheduler(
            on_change=self.gossip.on_load_changed
        )
        server_rate = rate_limit.RateLimit()
        self.admission_controller = admission.AdmissionController(
            self.load_table,
            self.slot_scheduler,
            self.gossip.refresh_loads,
            self.locator.find_cache_holder,
            server_rate=server_rate,
        )
        self.claims = claims.ClaimManager(
            self.log_service,
            sidecar_settings.vm,
            self.incarnation,
            self._is_incarnation_over,
            lazy=sidecar_settings.kind == settings.ServerKind.ENGINE,
        )
        self.run_table = runs.RunTable(
            self.server,
            self.quarantine,
            answer_retention_s=lambda: (
                self.claims.window_s or runs.DEFAULT_ANSWER_RETENTION_S
            ),
            server_rate=server_rate,
        )
        self.health_checker = health.HealthChecker(
            self.server, self._on_health_changed
        )
        self.drain_controller = self._make_drain_controller()
        self.freeze_detector = freeze_detection.FreezeDetector(
            self._refresh_after_freeze, report_gap=base_process.log_clock_gap
        )
        self.sidecar_handler = self._make_sidecar_handler()
        self.link_server = link_listener.LinkListener(
            listen=sidecar_settings.listen,
            vm=sidecar_settings.vm,
            incarnation=self.incarnation,
            role=self.role,
            fleet_key=sidecar_settings.fleet_key,
            handler=self,
            counters=self.link_counters,
            max_opening=min(
                link_listener.MAX_OPENING,
                base_process.count_client_connections(),
            ),
        )
        self.admin = self.make_admin_server(
            self.get_readiness, self.get_status, []
        )
        self.bundle_follower.listeners.append(self._apply_bundle)
        self.membership.listeners.append(self.gossip.on_vm_list_changed)
        self.membership.listeners.append(self.locator.on_vm_list_changed)
        self.membership.listeners.append(
            self.drain_controller.on_vm_list_changed
        )

    def _make_server_adapter(
        self, sidecar_settings: settings.SidecarSettings
    ) -> plain_service.HttpService:
        """Create the adapter for the kind of backend server beside it."""
        match sidecar_settings.kind:
            case settings.ServerKind.ENGINE:
                return engine.HttpEngine(
                    sidecar_settings.server, self.http_client
                )
            case settings.ServerKind.SERVICE:
                return plain_service.HttpService(
                    sidecar_settings.server, self.http_client
                )

    def _make_drain_controller(self) -> drain.DrainController:
        """Create the controller of this sidecar's graceful shutdown."""
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

    def _make_engine_controller(self) -> engine_controller.EngineController:
        """Create the controller that sends the engine its orders."""
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
            pause=drain_pause.DrainPause(self.drain_controller),
            generator=self.generator,
        )

    def _make_sidecar_handler(self) -> sidecar_handler.SidecarHandler:
        """Create the handler of all messages from routers and sidecars."""
        closer = pending.AttemptCloser(
            self.run_table, self.admission_controller
        )
        keyed_requests = idempotency.KeyedRequestHandler(
            self.run_table,
            self.claims,
            closer,
            self.admission_controller.clock,
        )
        return sidecar_handler.SidecarHandler(
            pool=self.settings.pool,
            follower=self.bundle_follower,
            run_table=self.run_table,
            quarantine=self.quarantine,
            admission=self.admission_controller,
            closer=closer,
            keyed_requests=keyed_requests,
            locator=self.locator,
            gossip=self.gossip,
            health=self.health_checker,
            drain=self.drain_controller,
            freeze_detector=self.freeze_detector,
        )

    async def receive(self, link, message: messages.Message) -> None:
        """Pass a message to the sidecar handler."""
        await self.sidecar_handler.receive(link, message)

    async def on_link_closed(self, link) -> None:
        """Report a closed link to the sidecar handler."""
        await self.sidecar_handler.on_link_closed(link)

    def _on_health_changed(self, up: bool) -> None:
        """Announce to the pool whether the backend server is up.

        A leaving sidecar keeps that state, which it has announced.
        """
        if self.drain_controller.leaving:
            return
        state = messages.VmState.LIVE if up else messages.VmState.DOWN
        self.gossip.announce_state(state)

    def _list_live_pool_vms(self) -> list[str]:
        """Return the names of the live VMs of this sidecar's pool."""
        return [vm.name for vm in self.fleet.list_live(self.settings.pool)]

    def _is_incarnation_over(self, vm: str, incarnation: int) -> bool:
        """Return whether a process of the pool is known to have ended.

        It has if its VM left the list or runs under a higher incarnation.
        """
        if self.fleet.find(vm) is None:
            return True
        peer_load = self.load_table.peer_loads.get(vm)
        return (
            peer_load is not None and peer_load.load.incarnation > incarnation
        )

    def _apply_bundle(self, head: bundle_chain.ActiveBundle) -> None:
        """Resize the chat directory as the bundle sets for this pool."""
        pool = head.bundle.pools.get(self.settings.pool)
        if pool is not None and isinstance(
            pool.policy, bundle.DirectoryPolicy
        ):
            self.directory.resize(pool.policy.entries)

    async def _refresh_after_freeze(self) -> None:
        """Refresh the VM list, the bundle and the loads after a freeze."""
        await asyncio.gather(self.refresh_views(), self.gossip.refresh_loads())

    def get_readiness(self) -> admin_server.Readiness:
        """Return whether this sidecar accepts attempts, and if not, why."""
        if self.drain_controller.leaving:
            return admin_server.Readiness(False, 'leaving')
        reason = self.find_unready_reason()
        if reason:
            return admin_server.Readiness(False, reason)
        if not self.health_checker.up:
            return admin_server.Readiness(False, 'server is down')
        return admin_server.Readiness(True)

    def get_status(self) -> status.SidecarStatus:
        """Return this sidecar's state for the status page."""
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
            mean_load=self.load_table.average_load,
            directory_entries=len(self.directory.vm_by_chat),
            claims_ready=self.claims.ready,
            claim_window_s=self.claims.window_s,
            quarantined=len(self.quarantine.list_quarantined()),
        )

    async def start(self) -> None:
        """Start all components.

        The sidecar becomes ready once it has a bundle and the VM list and
        its backend server is up.
        """
        self.admin.start()
        self.spawn_common_tasks(self.links)
        self.spawn(self.health_checker.run)
        self.spawn(self.gossip.run)
        self.spawn(self.claims.run)
        self.spawn(self.run_table.run)
        if self.settings.kind == settings.ServerKind.ENGINE:
            event_follower = cache_event_follower.CacheEventFollower(
                self.settings.vm, self.server, self.directory
            )
            self.spawn(event_follower.run)
            self.spawn(self._make_engine_controller().run)
        await self.link_server.start()
        logging.info(
            'event=started vm=%s incarnation=%d',
            self.settings.vm,
            self.incarnation,
        )

    async def stop(self, grace_s: float) -> int:
        """Drain and stop; return how many attempts were aborted."""
        cut = await self.drain_controller.drain(grace_s)
        await self.link_server.stop()
        await self.stop_common_parts(self.links)
        return len(cut)


async def run_router(router_settings: settings.RouterSettings) -> int:
    """Run a router until SIGTERM or SIGINT; return its exit code."""
    return await _run_until_signal(
        Router(router_settings), router_settings.grace_s
    )


async def run_sidecar(sidecar_settings: settings.SidecarSettings) -> int:
    """Run a sidecar until SIGTERM or SIGINT; return its exit code."""
    return await _run_until_signal(
        Sidecar(sidecar_settings), sidecar_settings.grace_s
    )


async def _run_until_signal(process: Router | Sidecar, grace_s: float) -> int:
    """Start a process, and drain and stop it on SIGTERM or SIGINT.

    A second signal ends the drain at once.  Return 0 after a complete drain
    and 1 if requests were aborted.
    """
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    await process.start()
    await signals.get()
    logging.info('event=draining vm=%s', process.settings.vm)
    stopping = asyncio.create_task(process.stop(grace_s))
    second_signal = asyncio.create_task(signals.get())
    await asyncio.wait(
        [stopping, second_signal], return_when=asyncio.FIRST_COMPLETED
    )
    if not stopping.done():
        logging.warning('event=drain-cut-short vm=%s', process.settings.vm)
        return 1
    second_signal.cancel()
    return 1 if stopping.result() else 0
