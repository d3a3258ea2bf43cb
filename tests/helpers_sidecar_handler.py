"""A sidecar handler wired to fakes of server, log and links."""

import hashlib
import time

import numpy

from arbutusvale.coordination import admission
from arbutusvale.coordination import cache_locator
from arbutusvale.coordination import claims
from arbutusvale.coordination import drain
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
from arbutusvale.protocol import messages
from arbutusvale.state import bundle_chain
from arbutusvale.state import directory
from arbutusvale.state import fleet
from arbutusvale.state import pool_load_table
from tests import helpers_log
from tests import helpers_runs
from tests import helpers_sidecar as helpers


def make_bundle(pool, keys=()):
    """Make a bundle with one organisation, one model and one pool."""
    digests = [hashlib.sha256(key.encode()).hexdigest() for key in keys]
    organisation = bundle.Organisation(
        keys=[f'sha256:{digest}' for digest in digests],
        services=['summaries'],
        rate=1e6,
        burst=10**6,
        concurrency=10**6,
    )
    service = bundle.ModelService(kind='model', pool='panel', model='m')
    return bundle.Bundle(
        version='1',
        organisations={'lumenwall': organisation},
        services={'summaries': service},
        pools={'panel': pool},
        operators={'ana': '00' * 32},
    )


class FakeFollower:
    """Bundle follower that can fetch up to ``available_offset``."""

    def __init__(self, current_bundle, offset=3):
        self.head = bundle_chain.ActiveBundle(
            offset, b'', '1', current_bundle, b'', '', ''
        )
        self.available_offset = offset
        self.received = []

    async def catch_up(self, offset, peer_vm):
        if self.head is None:
            return False
        if offset <= self.available_offset:
            self.head = bundle_chain.ActiveBundle(
                offset, b'', '1', self.head.bundle, b'', '', ''
            )
        return offset <= self.head.offset

    async def receive(self, link, message):
        self.received.append(message)
        return isinstance(message, messages.BundleHead)


class Sidecar:
    """A sidecar's parts around one handler, with fakes at the edges."""

    def __init__(
        self,
        vm='s1',
        log=None,
        pool=None,
        vm_fleet=None,
        server=None,
        current_bundle=None,
        clock=time.monotonic,
    ):
        self.server = server or helpers_runs.FakeServer()
        self.log = log or helpers_log.FakeLog(helpers_log.FakeClock())
        self.fleet = vm_fleet or fleet.Fleet()
        if vm_fleet is None:
            names = ('s1', 's2')
            self.fleet.replace([helpers.make_vm(name) for name in names])
        self.links = helpers.FakeLinks()
        self.follower = FakeFollower(
            current_bundle
            or make_bundle(pool or helpers.make_pool(slots=2, queue=2))
        )
        self.quarantine = quarantine.Quarantine(vm, 1)
        self.table = pool_load_table.PoolLoadTable(vm, 1, clock)
        self.gossip = gossip.Gossip(
            'panel',
            self.table,
            self.fleet,
            self.links,
            self.quarantine,
            numpy.random.default_rng(1),
            clock,
        )
        self.scheduler = slots.SlotScheduler(
            clock, self.gossip.on_load_changed
        )
        self.directory = directory.Directory(100)
        self.locator = cache_locator.CacheLocator(
            vm, 'panel', self.directory, self.fleet, self.links, clock
        )
        self.admission = admission.AdmissionController(
            self.table,
            self.scheduler,
            self.gossip.refresh_loads,
            self.locator.find_cache_holder,
            clock,
        )
        self.run_table = runs.RunTable(
            self.server, self.quarantine, clock=clock
        )
        self.claims = claims.ClaimManager(self.log, vm, 1, clock=clock)
        closer = pending.AttemptCloser(self.run_table, self.admission)
        self.health = health.HealthChecker(self.server)
        chat_handover = handover.ChatHandover(
            vm, 'panel', self.directory, self.fleet, self.links, None
        )
        self.drain = drain.DrainController(
            vm,
            self.fleet,
            self.gossip,
            self.scheduler,
            self.run_table,
            chat_handover,
            clock,
            linger_s=0.05,
        )
        self.refresh_count = 0
        self.freeze_detector = freeze_detection.FreezeDetector(
            self.refresh_views, clock
        )
        self.handler = sidecar_handler.SidecarHandler(
            pool='panel',
            follower=self.follower,
            run_table=self.run_table,
            quarantine=self.quarantine,
            admission=self.admission,
            closer=closer,
            keyed_requests=idempotency.KeyedRequestHandler(
                self.run_table, self.claims, closer, self.admission.clock
            ),
            locator=self.locator,
            gossip=self.gossip,
            health=self.health,
            drain=self.drain,
            freeze_detector=self.freeze_detector,
        )
        self.link = helpers_runs.FakeLink()

    async def refresh_views(self):
        self.refresh_count += 1

    async def submit(self, attempt='a1', link=None, **changes):
        """Submit an attempt; wait until it is pending or answered."""
        submit = helpers.make_submit(attempt, **changes)
        await self.handler.receive(link or self.link, submit)
        await helpers_runs.wait_until(
            lambda: (
                self.find_sent(attempt, link)
                or attempt in self.handler.pending
            )
        )

    def find_sent(self, attempt, link=None):
        sent = (link or self.link).sent
        return [message for message in sent if message.attempt == attempt]

    async def wait_for_message(self, attempt, kind, link=None):
        """Return the first message of a kind, once it was sent."""
        found = []

        def find_matching():
            found[:] = [
                message
                for message in self.find_sent(attempt, link)
                if isinstance(message, kind)
            ]
            return found

        await helpers_runs.wait_until(find_matching)
        return found[0]

    async def submit_and_wait(self, attempt, kind, **changes):
        await self.submit(attempt, **changes)
        return await self.wait_for_message(attempt, kind)
