"""Components and background tasks common to routers and sidecars."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import resource
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
from arbutusvale.state import byte_budget
from arbutusvale.state import fleet
from arbutusvale.state import socket_budget
from arbutusvale.state import status
from arbutusvale.transport import admin_server
from arbutusvale.transport import http_client
from arbutusvale.transport import link_counters
from arbutusvale.transport import link_pool
from arbutusvale.transport import metrics

TASK_RESTART_DELAY_S = 1.0
MAX_DESCRIPTORS = 65536
# Share of the memory for what is held for callers; the rest is for the
# program, copies in the making and responses.
HELD_MEMORY_SHARE = 0.25


class BaseProcess:
    """Base class of the router and the sidecar process.

    A background task that fails is logged and restarted, so that one faulty
    loop does not stop the others.
    """

    def __init__(
        self, process_settings: settings.ProcessSettings, role: messages.Role
    ):
        self.settings = process_settings
        self.role = role
        # In ms since the epoch, so each restart on a VM has a higher one.
        self.incarnation = time.time_ns() // 1_000_000
        self.generator = numpy.random.default_rng()
        self.http_client = http_client.make_client()
        self.link_counters = link_counters.LinkCounters()
        self.platform_traffic = platform.PlatformTraffic()
        self.held = byte_budget.ByteBudget(
            int(process_settings.memory_bytes * HELD_MEMORY_SHARE)
        )
        self.fleet = fleet.Fleet()
        self.membership = membership.Membership(
            platform.HttpVmList(
                process_settings.platform,
                self.http_client,
                self.platform_traffic,
            ),
            self.fleet,
        )
        self.log_service = platform.HttpLogService(
            process_settings.platform, self.http_client, self.platform_traffic
        )
        self.bundle_chain = bundle_chain.BundleChain(
            process_settings.operators
        )
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

    def make_link_pool(
        self, handler, idle_timeout_s: float
    ) -> link_pool.LinkPool:
        """Create the pool of links to sidecars.

        ``handler`` receives their messages; idle links close after
        ``idle_timeout_s``.
        """
        pool = link_pool.LinkPool(
            fleet=self.fleet,
            vm=self.settings.vm,
            incarnation=self.incarnation,
            role=self.role,
            fleet_key=self.settings.fleet_key,
            handler=handler,
            counters=self.link_counters,
            idle_timeout_s=idle_timeout_s,
        )
        self.bundle_follower.links = pool
        return pool

    def make_admin_server(
        self, get_readiness, get_status, collectors
    ) -> admin_server.AdminServer:
        """Create the HTTP server for status, readiness and metrics."""
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
        """Start the background tasks that both kinds of process have."""
        self.spawn(self.membership.run)
        self.spawn(self.bundle_follower.run)
        self.spawn(self.freeze_detector.run)
        self.spawn(links.run)

    async def stop_common_parts(self, links: link_pool.LinkPool) -> None:
        """Stop the common components once the process has drained."""
        await links.stop()
        await self.cancel_tasks()
        await self.admin.stop()
        self.http_client.close()

    def spawn(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a background loop in a task until the process stops."""
        self.tasks.append(asyncio.create_task(self._keep_running(loop)))

    async def cancel_tasks(self) -> None:
        """Cancel the background tasks and wait until they have ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()

    async def refresh_views(self) -> None:
        """Read the VM list and the bundle log again after a freeze."""
        await self.membership.refresh()
        await self.bundle_follower.poll_once()

    def find_unready_reason(self) -> str:
        """Return why a process of either kind isn't ready, or empty."""
        if self.bundle_follower.head is None:
            return 'no bundle'
        if not self.membership.first_read.is_set():
            return 'no VM list'
        return ''

    def describe_bundle(self) -> status.BundleStatus | None:
        """Return the active bundle for the status page; None without one."""
        head = self.bundle_follower.head
        if head is None:
            return None
        return status.BundleStatus(
            head.offset, head.version, head.digest.hex()
        )

    def describe_links(self) -> status.LinkStatus:
        """Return the bytes exchanged on links for the status page."""
        return status.LinkStatus(
            control_bytes_sent=self.link_counters.sent.control_bytes,
            control_bytes_received=self.link_counters.received.control_bytes,
            control_by_kind=dict(self.link_counters.sent.control_by_kind),
            request_bytes_sent=self.link_counters.sent.request_bytes,
            request_bytes_received=self.link_counters.received.request_bytes,
        )

    def describe_platform(self) -> status.PlatformStatus:
        """Return the bytes exchanged with the platform, by call."""
        return status.PlatformStatus(
            sent=dict(self.platform_traffic.sent),
            received=dict(self.platform_traffic.received),
        )

    def _list_peers(self) -> list[str]:
        """Return the VMs that accept links: all sidecars but this one."""
        return [
            vm.name
            for vm in self.fleet.vms.values()
            if vm.role == messages.Role.SIDECAR and vm.name != self.settings.vm
        ]

    async def _keep_running(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop until it returns; restart it after an exception."""
        while True:
            try:
                await loop()
                return
            except Exception:
                logging.exception('event=task-failed task=%s', loop)
            await asyncio.sleep(TASK_RESTART_DELAY_S)


def count_client_connections() -> int:
    """Return how many connections this process may accept from clients."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = MAX_DESCRIPTORS
    return socket_budget.divide_sockets(descriptors).callers


def log_clock_gap(gap_s: float) -> None:
    """Log that this process did not run for ``gap_s`` seconds."""
    logging.warning('event=clock-gap seconds=%.1f', gap_s)
