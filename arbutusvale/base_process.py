"""Wire the parts that routers and sidecars have in common."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from absl import logging
import numpy

from arbutusvale import settings
from arbutusvale.coordination import bundle_follower
from arbutusvale.coordination import freeze_detection
from arbutusvale.coordination import membership
from arbutusvale.protocol import messages
from arbutusvale.protocol import platform
from arbutusvale.state import bundle_chain
from arbutusvale.state import fleet
from arbutusvale.state import status
from arbutusvale.transport import admin_server
from arbutusvale.transport import http_client
from arbutusvale.transport import link_counters
from arbutusvale.transport import link_pool
from arbutusvale.transport import metrics

TASK_RESTART_S = 1.0


class BaseProcess:
    """Hold what routers and sidecars have in common.

    A background task that fails is logged and started again, so that one
    faulty loop does not stop the rest.
    """

    def __init__(self, held: settings.ProcessSettings, role: messages.Role):
        self.settings = held
        self.role = role
        self.incarnation = time.time_ns() // 1_000_000
        self.generator = numpy.random.default_rng()
        self.http_client = http_client.make_client()
        self.link_counters = link_counters.LinkCounters()
        self.platform_traffic = platform.PlatformTraffic()
        self.fleet = fleet.Fleet()
        self.membership = membership.Membership(
            platform.HttpVmList(
                held.platform, self.http_client, self.platform_traffic
            ),
            self.fleet,
        )
        self.log_service = platform.HttpLogService(
            held.platform, self.http_client, self.platform_traffic
        )
        self.bundle_chain = bundle_chain.BundleChain(held.operators)
        self.bundle_follower = bundle_follower.BundleFollower(
            self.log_service,
            self.bundle_chain,
            list_peers=self._list_peers,
            generator=self.generator,
        )
        self.freeze_detector = freeze_detection.FreezeDetector(
            self.refresh_views, report_gap=log_clock_gap
        )
        self.tasks: list[asyncio.Task] = []

    def make_link_pool(self, handler, idle_s: float) -> link_pool.LinkPool:
        """Make the pool of links to sidecars."""
        made = link_pool.LinkPool(
            fleet=self.fleet,
            vm=self.settings.vm,
            incarnation=self.incarnation,
            role=self.role,
            fleet_key=self.settings.fleet_key,
            handler=handler,
            counters=self.link_counters,
            idle_timeout_s=idle_s,
        )
        self.bundle_follower.links = made
        return made

    def make_admin_server(
        self, get_readiness, get_status, collectors
    ) -> admin_server.AdminServer:
        """Make the server for operators, balancers and collectors."""
        return admin_server.AdminServer(
            listen=self.settings.admin,
            get_readiness=get_readiness,
            get_status=get_status,
            collectors=[
                metrics.LinkCollector(self.link_counters),
                *collectors,
            ],
        )

    def spawn_common_tasks(self, links: link_pool.LinkPool) -> None:
        """Start the background loops that every process has."""
        self.spawn(self.membership.run)
        self.spawn(self.bundle_follower.run)
        self.spawn(self.freeze_detector.run)
        self.spawn(links.run)

    async def stop_common_parts(self, links: link_pool.LinkPool) -> None:
        """Stop what every process has, after its own work has ended."""
        await links.stop()
        await self.cancel_tasks()
        await self.admin.stop()
        self.http_client.close()

    def spawn(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a background loop until the process stops."""
        self.tasks.append(asyncio.create_task(self._keep_running(loop)))

    async def cancel_tasks(self) -> None:
        """End the background loops."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()

    async def refresh_views(self) -> None:
        """Look at the VM list and at the log after this process stood."""
        await self.membership.refresh()
        await self.bundle_follower.poll_once()

    def find_unready_reason(self) -> str:
        """Tell what keeps any process from work; empty when nothing does."""
        if self.bundle_follower.head is None:
            return 'no bundle'
        if not self.membership.first_read.is_set():
            return 'no VM list'
        return ''

    def describe_bundle(self) -> status.BundleStatus | None:
        """Describe the bundle in force for the status page."""
        head = self.bundle_follower.head
        if head is None:
            return None
        return status.BundleStatus(
            head.offset, head.version, head.digest.hex()
        )

    def describe_links(self) -> status.LinkStatus:
        """Describe the bytes on links for the status page."""
        return status.LinkStatus(
            control_bytes_sent=self.link_counters.sent.control_bytes,
            control_bytes_received=self.link_counters.received.control_bytes,
            control_by_kind=dict(self.link_counters.sent.control_by_kind),
            request_bytes_sent=self.link_counters.sent.request_bytes,
            request_bytes_received=self.link_counters.received.request_bytes,
        )

    def describe_platform(self) -> status.PlatformStatus:
        """Describe the bytes exchanged with the platform."""
        return status.PlatformStatus(
            sent=dict(self.platform_traffic.sent),
            received=dict(self.platform_traffic.received),
        )

    def _list_peers(self) -> list[str]:
        """List the VMs that accept links: all sidecars but this one."""
        return [
            vm.name
            for vm in self.fleet.vms.values()
            if vm.role == messages.Role.SIDECAR and vm.name != self.settings.vm
        ]

    async def _keep_running(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop again after it failed."""
        while True:
            try:
                await loop()
                return
            except Exception:
                logging.exception('event=task-failed task=%s', loop)
            await asyncio.sleep(TASK_RESTART_S)


def log_clock_gap(gap_s: float) -> None:
    """Log that this process stood still."""
    logging.warning('event=clock-gap seconds=%.1f', gap_s)
