"""A complete trial fleet on one event loop.

The routers and the sidecar of each backend server are the real programs,
built by :mod:`arbutusvale.compose`; the platform, the engines and the plain
services are simulated.
"""

import asyncio
import dataclasses
import math
import time

from arbutusvale import base_process
from arbutusvale import compose
from arbutusvale import errors
from arbutusvale import settings
from arbutusvale.protocol import messages
from arbutusvale.protocol import signing
from arbutusvale.standins import engine
from arbutusvale.standins import fault_proxy
from arbutusvale.standins import fleet_config
from arbutusvale.standins import load_bound_check
from arbutusvale.standins import platform
from arbutusvale.standins import service

ANY_PORT_ADDRESS = '127.0.0.1:0'
FLEET_KEY = 'fleet-key-of-the-trial'
OPERATOR_NAME = 'trial'
DRAIN_GRACE_S = 10.0
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
STOP_MARGIN_S = 15.0


@dataclasses.dataclass
class ServerWithSidecar:
    """A simulated backend server and its sidecar.

    ``joined_at`` and ``left_at`` are the monotonic times, in seconds, at
    which it joined and left the pool; infinite if it hasn't yet.
    """

    name: str
    pool: str
    server: engine.EngineStandin | service.ServiceStandin
    sidecar: compose.Sidecar
    joined_at: float = math.inf
    left_at: float = math.inf

    @property
    def in_pool(self) -> bool:
        """Return whether it has joined the pool and not left."""
        return self.joined_at < math.inf and self.left_at == math.inf


class TrialFleet:
    """A fleet that can be started, changed and stopped."""

    def __init__(self, config: fleet_config.FleetConfig):
        self.config = config
        self.operator_key_pair = signing.generate_keys()
        self.operator_public_keys = {
            OPERATOR_NAME: self.operator_key_pair.public
        }
        self.platform = platform.PlatformStandin(
            ANY_PORT_ADDRESS, vm_lag_s=config.vm_lag_s
        )
        self.proxies: list[fault_proxy.FaultProxy] = []
        self.engines: dict[str, ServerWithSidecar] = {}
        self.services: dict[str, ServerWithSidecar] = {}
        self.routers: dict[str, compose.Router] = {}

    async def start(self) -> None:
        """Start all processes; a bundle still has to be rolled out."""
        await self.platform.start()
        for _ in range(self.config.engines):
            await self.add_engine()
        for _ in range(self.config.services):
            await self.add_service()
        for _ in range(self.config.routers):
            await self.add_router()
        await self._wait_until_listed()

    async def _wait_until_listed(self) -> None:
        """Wait until the platform's delayed VM list is complete."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                listed = self.platform.vm_snapshots[-1].vms
                if self.platform.visible_vms() == listed:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_ready(self) -> None:
        """Wait until every process is ready and has the whole VM list."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if all(
                    self.is_ready(process) for process in self.list_processes()
                ):
                    break
                await asyncio.sleep(POLL_INTERVAL_S)

    def is_ready(self, process: base_process.BaseProcess) -> bool:
        """Return whether a process is ready and has the whole VM list."""
        listed = len(self.platform.vm_snapshots[-1].vms)
        if len(process.fleet.vms) < listed:
            return False
        if isinstance(process, compose.Sidecar) and not process.claims.ready:
            return False
        return process.get_readiness().ready

    def list_processes(self) -> list[base_process.BaseProcess]:
        """List the routers and the sidecars in the pool."""
        backends = [*self.engines.values(), *self.services.values()]
        sidecars = [each.sidecar for each in backends if each.in_pool]
        return [*self.routers.values(), *sidecars]

    async def stop(self) -> None:
        """Stop all processes without draining requests."""
        for router in self.routers.values():
            await _stop_process(router, 0)
        backends = [*self.engines.values(), *self.services.values()]
        running = [each for each in backends if each.left_at == math.inf]
        await asyncio.gather(
            *(_stop_process(each.sidecar, 0) for each in running)
        )
        for each in running:
            await each.server.stop()
        for proxy in self.proxies:
            await proxy.stop()
        await self.platform.stop()

    async def add_engine(self) -> ServerWithSidecar:
        """Start an engine with its sidecar and register its VM."""
        config = self.config
        name = f'engine-{len(self.engines) + 1}'
        server = engine.EngineStandin(
            ANY_PORT_ADDRESS,
            name,
            config.slots,
            cache_entries=config.cache_entries,
            latencies=config.latencies,
            seed=config.seed + len(self.engines),
            event_lag_s=config.event_lag_s,
            event_drop_share=config.event_drop_share,
        )
        added = await self._start_with_sidecar(
            name, fleet_config.CHAT_POOL, server, settings.ServerKind.ENGINE
        )
        self.engines[name] = added
        return added

    async def add_service(self) -> ServerWithSidecar:
        """Start a plain service with its sidecar and register its VM."""
        name = f'desk-{len(self.services) + 1}'
        server = service.ServiceStandin(ANY_PORT_ADDRESS, name)
        added = await self._start_with_sidecar(
            name, fleet_config.PLAIN_POOL, server, settings.ServerKind.SERVICE
        )
        self.services[name] = added
        return added

    async def add_router(self) -> compose.Router:
        """Start a router and register its VM."""
        name = f'entry-{len(self.routers) + 1}'
        router = compose.Router(
            settings.RouterSettings(**self._common_settings(name))
        )
        await router.start()
        self.routers[name] = router
        self._register_vm(router, '', router.caller_server.port)
        return router

    async def drain_server(self, name: str) -> int:
        """Drain and remove a server; returns the number of requests cut."""
        backend = (self.engines | self.services)[name]
        backend.left_at = time.monotonic()
        vm = self.platform.vm_snapshots[-1].vms[name]
        self.platform.put_vm({**vm, 'state': messages.VmState.LEAVING})
        cut_requests = await _stop_process(backend.sidecar, DRAIN_GRACE_S)
        self.platform.remove_vm(name)
        await backend.server.stop()
        return cut_requests

    async def _start_with_sidecar(
        self,
        name: str,
        pool: str,
        server: engine.EngineStandin | service.ServiceStandin,
        kind: settings.ServerKind,
    ) -> ServerWithSidecar:
        """Start a server with its sidecar and register its VM."""
        await server.start()
        sidecar_settings = settings.SidecarSettings(
            **self._common_settings(name),
            pool=pool,
            server=server.address,
            kind=kind,
        )
        sidecar = compose.Sidecar(sidecar_settings)
        await sidecar.start()
        port = sidecar.link_server.port
        if self.config.link_delay_s:
            port = await self._start_delay_proxy(port)
        self._register_vm(sidecar, pool, port)
        return ServerWithSidecar(name, pool, server, sidecar, time.monotonic())

    async def _start_delay_proxy(self, port: int) -> int:
        """Start a delaying proxy to a port and return the proxy's port."""
        proxy = fault_proxy.FaultProxy(ANY_PORT_ADDRESS, f'127.0.0.1:{port}')
        proxy.faults.delay_s = self.config.link_delay_s
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.port

    def _common_settings(self, vm: str) -> dict:
        """Return the settings common to routers and sidecars."""
        index = len(self.engines) + len(self.services) + len(self.routers)
        return {
            'vm': vm,
            'data_centre': f'dc-{index % self.config.data_centres + 1}',
            'listen': ANY_PORT_ADDRESS,
            'admin': ANY_PORT_ADDRESS,
            'platform': f'http://{self.platform.address}',
            'fleet_key': FLEET_KEY,
            'operators': self.operator_public_keys,
        }

    def _register_vm(
        self, process: base_process.BaseProcess, pool: str, port: int
    ) -> None:
        """Add a process to the platform's VM list."""
        process_settings = process.settings
        self.platform.put_vm(
            {
                'name': process_settings.vm,
                'role': process.role.value,
                'address': f'127.0.0.1:{port}',
                'admin': f'127.0.0.1:{process.admin.port}',
                'data_centre': process_settings.data_centre,
                'pool': pool,
                'state': messages.VmState.LIVE.value,
            }
        )

    def list_caller_addresses(self) -> list[str]:
        """List the addresses at which the routers serve callers."""
        return [
            f'127.0.0.1:{router.caller_server.port}'
            for router in self.routers.values()
        ]

    def count_booking_runs(self) -> dict[str, int]:
        """Return how often each booking ran, over all services."""
        runs: dict[str, int] = {}
        for backend in self.services.values():
            for name, count in backend.server.booking_runs.items():
                runs[name] = runs.get(name, 0) + count
        return runs

    def check_load_bound(self) -> load_bound_check.BoundReport:
        """Check the load bound against the engines' own counts."""
        histories = {
            name: backend.server.load_history.list_changes()
            for name, backend in self.engines.items()
        }
        membership = {
            name: (backend.joined_at, backend.left_at)
            for name, backend in self.engines.items()
        }
        return load_bound_check.check_histories(
            histories, self.config.load_bound, membership
        )


async def _stop_process(
    process: compose.Router | compose.Sidecar, grace_s: float
) -> int:
    """Stop a process; raises if it takes much longer than ``grace_s``."""
    try:
        async with asyncio.timeout(grace_s + STOP_MARGIN_S):
            return await process.stop(grace_s)
    except TimeoutError as error:
        raise errors.ArbutusvaleError(
            f'{process.settings.vm} did not stop within its grace period.',
            'Check which of its tasks are still running.',
        ) from error
