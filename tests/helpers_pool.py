"""Routers and sidecars of one pool, in one process over delayed links."""

import asyncio
import collections
import dataclasses
import math

import numpy

from arbutusvale import errors
from arbutusvale.coordination import answer_events
from arbutusvale.coordination import caller_request
from arbutusvale.coordination import dispatch
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import bundle_chain
from arbutusvale.state import fleet
from tests import helpers_log
from tests import helpers_sidecar
from tests import helpers_sidecar_handler

LINK_DELAY_S = 0.001
# Counts of several servers are compared within this time of each other.
LOAD_REPORT_S = 0.01
API_KEY = 'key-of-lumenwall'


class Pipe:
    """One direction of a link: delivers in order, after a delay."""

    def __init__(self, vm, role, handler):
        self.vm = vm
        self.incarnation = 1
        self.role = role
        self.handler = handler
        self.reverse = None
        self.closed = False
        self.queue = asyncio.Queue()
        self.task = asyncio.create_task(self.deliver_messages())

    def send(self, message):
        if self.closed:
            raise errors.LinkClosed(self.vm, 'closed')
        due = asyncio.get_running_loop().time() + LINK_DELAY_S
        self.queue.put_nowait((due, message))

    def close(self):
        self.closed = True

    async def deliver_messages(self):
        loop = asyncio.get_running_loop()
        while True:
            due, message = await self.queue.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            await self.handler.receive(self.reverse, message)


class PipeLinks:
    """Links that open a pair of pipes to another VM's handler."""

    def __init__(self, vm, role, pool):
        self.vm = vm
        self.role = role
        self.pool = pool
        self.pipes = {}

    async def get(self, vm):
        if vm not in self.pool.handlers:
            raise errors.LinkClosed(vm, 'not there')
        if vm not in self.pipes:
            forward = Pipe(vm, 'sidecar', self.pool.handlers[vm])
            reverse = Pipe(self.vm, self.role, self.pool.handlers[self.vm])
            forward.reverse, reverse.reverse = reverse, forward
            self.pool.tasks += [forward.task, reverse.task]
            self.pipes[vm] = forward
        return self.pipes[vm]

    def drop(self, vm):
        self.pipes.pop(vm, None)


@dataclasses.dataclass
class AcceptedRequest:
    """Outstanding requests of a server and of the pool after an accept."""

    at: float
    vm: str
    count: int
    total: int


class CountingServer:
    """Server with random service times that counts its requests."""

    def __init__(self, pool, vm, generator):
        self.pool = pool
        self.vm = vm
        self.generator = generator

    async def run(self, request):
        counts = self.pool.counts
        counts[self.vm] += 1
        self.pool.record_accept(self.vm)
        try:
            await asyncio.sleep(
                self.generator.exponential(self.pool.mean_service_time_s)
            )
            yield ports.ServerResponseHead(200, [])
            yield self.vm.encode()
        finally:
            counts[self.vm] -= 1

    async def cancel(self, request_id):
        pass

    async def healthy(self):
        return True


class Pool:
    """The routers and sidecars of one pool."""

    def __init__(
        self, sidecars, routers, pool, mean_service_time_s=0.05, seed=7
    ):
        self.mean_service_time_s = mean_service_time_s
        self.bound = pool.policy.bound
        self.handlers = {}
        self.tasks = []
        self.counts = collections.Counter()
        self.accepted_requests = []
        self.generator = numpy.random.default_rng(seed)
        self.fleet = fleet.Fleet()
        names = [f's{n}' for n in range(1, sidecars + 1)]
        self.fleet.replace([helpers_sidecar.make_vm(n) for n in names])
        self.current_bundle = helpers_sidecar_handler.make_bundle(
            pool, [API_KEY]
        )
        self.head = bundle_chain.ActiveBundle(
            3, b'', '1', self.current_bundle, b'', '', ''
        )
        self.sidecars = {name: self.make_sidecar(name) for name in names}
        self.counts.update(dict.fromkeys(names, 0))
        self.routers = [
            self.make_router(f'r{n}') for n in range(1, routers + 1)
        ]

    def record_accept(self, vm):
        now = asyncio.get_running_loop().time()
        self.accepted_requests.append(
            AcceptedRequest(now, vm, self.counts[vm], self.counts.total())
        )

    def list_excesses(self) -> list[int]:
        """List by how many requests accepts exceeded the load bound.

        The bound is computed from the highest total within
        ``LOAD_REPORT_S`` before or after the accept, since counts of several
        servers have no common instant.
        """
        servers = len(self.counts)
        excesses = []
        for accept in self.accepted_requests:
            nearby_totals = [
                other.total
                for other in self.accepted_requests
                if abs(other.at - accept.at) <= LOAD_REPORT_S
            ]
            limit = max(
                1, math.ceil(self.bound * max(nearby_totals) / servers)
            )
            if accept.count > limit:
                excesses.append(accept.count - limit)
        return excesses

    def make_sidecar(self, vm):
        seed = int(self.generator.integers(1 << 30))
        server = CountingServer(self, vm, numpy.random.default_rng(seed))
        sidecar = helpers_sidecar_handler.Sidecar(
            vm,
            vm_fleet=self.fleet,
            server=server,
            current_bundle=self.current_bundle,
            clock=helpers_log.read_loop_time,
        )
        sidecar.health.up = True
        sidecar.gossip.on_vm_list_changed()
        sidecar.locator.on_vm_list_changed()
        sidecar.gossip.links = PipeLinks(vm, 'sidecar', self)
        sidecar.locator.links = sidecar.gossip.links
        sidecar.gossip.random = numpy.random.default_rng(seed + 1)
        self.handlers[vm] = sidecar.handler
        self.tasks.append(asyncio.create_task(sidecar.gossip.run()))
        self.tasks.append(asyncio.create_task(sidecar.freeze_detector.run()))
        return sidecar

    def make_router(self, vm):
        async def catch_up(offset, peer):
            return True

        async def before_call():
            return None

        router = dispatch.Dispatcher(
            vm=vm,
            incarnation=1,
            links=PipeLinks(vm, 'router', self),
            fleet=self.fleet,
            get_head=lambda: self.head,
            catch_up=catch_up,
            before_call=before_call,
            generator=self.generator,
            clock=helpers_log.read_loop_time,
        )
        self.handlers[vm] = router
        return router

    async def send_request(self, chat, router=None):
        """Send a request of a chat; return the event that ends it."""
        if router is None:
            router = int(self.generator.integers(len(self.routers)))
        request = caller_request.CallerRequest(
            f'q-{len(self.accepted_requests)}-{chat}',
            API_KEY,
            'POST',
            caller_api.CHAT_PATH,
            [],
            b'{"model": "m", "messages": [{"role": "user", "content": "x"}]}',
            chat_id=chat,
        )
        dispatcher = self.routers[router]
        call = dispatcher.start_call(request)
        events = [event async for event in dispatcher.events(call)]
        return events[-1]

    def stop(self):
        for task in self.tasks:
            task.cancel()


def is_answered(event) -> bool:
    return isinstance(event, answer_events.End)


def is_not_run(event) -> bool:
    return (
        isinstance(event, caller_api.ErrorResponse)
        and event.outcome == messages.Outcome.NOT_RUN
    )
