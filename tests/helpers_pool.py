"""Run routers and sidecars of one pool in one process, over slow pipes."""

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
from arbutusvale.state import bundles
from arbutusvale.state import fleet
from tests import helpers_gate
from tests import helpers_log
from tests import helpers_sidecar

DELAY_S = 0.001
REPORT_S = 0.01
KEY = 'key-of-lumenwall'


class Pipe:
    """Carry messages one way, in order, after a delay."""

    def __init__(self, vm, role, handler):
        self.vm = vm
        self.incarnation = 1
        self.role = role
        self.handler = handler
        self.back = None
        self.closed = False
        self.queue = asyncio.Queue()
        self.task = asyncio.create_task(self.carry())

    def send(self, message):
        if self.closed:
            raise errors.LinkClosed(self.vm, 'closed')
        due = asyncio.get_running_loop().time() + DELAY_S
        self.queue.put_nowait((due, message))

    def close(self):
        self.closed = True

    async def carry(self):
        loop = asyncio.get_running_loop()
        while True:
            due, message = await self.queue.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            await self.handler.receive(self.back, message)


class PipeLinks:
    """Open pipes to the handlers of other VMs."""

    def __init__(self, vm, role, pool):
        self.vm = vm
        self.role = role
        self.pool = pool
        self.pipes = {}

    async def get(self, vm):
        if vm not in self.pool.handlers:
            raise errors.LinkClosed(vm, 'not there')
        if vm not in self.pipes:
            there = Pipe(vm, 'sidecar', self.pool.handlers[vm])
            back = Pipe(self.vm, self.role, self.pool.handlers[self.vm])
            there.back, back.back = back, there
            self.pool.tasks += [there.task, back.task]
            self.pipes[vm] = there
        return self.pipes[vm]

    def drop(self, vm):
        self.pipes.pop(vm, None)


@dataclasses.dataclass
class Accept:
    """Hold a server's count and the pool's just after it took work."""

    at: float
    vm: str
    count: int
    total: int


class Server:
    """Take a random time for each request and count them exactly."""

    def __init__(self, pool, vm, generator):
        self.pool = pool
        self.vm = vm
        self.generator = generator

    async def run(self, request):
        counts = self.pool.counts
        counts[self.vm] += 1
        self.pool.note_accept(self.vm)
        try:
            await asyncio.sleep(self.generator.exponential(self.pool.hold_s))
            yield ports.ServerResponseHead(200, [])
            yield self.vm.encode()
        finally:
            counts[self.vm] -= 1

    async def cancel(self, request_id):
        pass

    async def healthy(self):
        return True


class Pool:
    """Hold the routers and sidecars of one pool."""

    def __init__(self, sidecars, routers, pool, hold_s=0.05, seed=7):
        self.hold_s = hold_s
        self.bound = pool.policy.bound
        self.handlers = {}
        self.tasks = []
        self.counts = collections.Counter()
        self.accepts = []
        self.generator = numpy.random.default_rng(seed)
        self.fleet = fleet.Fleet()
        names = [f's{n}' for n in range(1, sidecars + 1)]
        self.fleet.replace([helpers_sidecar.make_vm(n) for n in names])
        self.held = helpers_gate.make_bundle(pool, [KEY])
        self.head = bundles.InForce(3, b'', '1', self.held, b'', '', '')
        self.sidecars = {name: self.make_sidecar(name) for name in names}
        self.counts.update(dict.fromkeys(names, 0))
        self.routers = [
            self.make_router(f'r{n}') for n in range(1, routers + 1)
        ]

    def note_accept(self, vm):
        now = asyncio.get_running_loop().time()
        self.accepts.append(
            Accept(now, vm, self.counts[vm], self.counts.total())
        )

    def list_excesses(self) -> list[int]:
        """List by how much accepts passed the bound on the mean.

        The mean is the highest within the time that a report takes, before
        or after, as counts of several servers have no common instant.
        """
        servers = len(self.counts)
        excesses = []
        for accept in self.accepts:
            near = [
                other.total
                for other in self.accepts
                if abs(other.at - accept.at) <= REPORT_S
            ]
            limit = max(1, math.ceil(self.bound * max(near) / servers))
            if accept.count > limit:
                excesses.append(accept.count - limit)
        return excesses

    def make_sidecar(self, vm):
        seed = int(self.generator.integers(1 << 30))
        server = Server(self, vm, numpy.random.default_rng(seed))
        made = helpers_gate.Sidecar(
            vm,
            known=self.fleet,
            server=server,
            held=self.held,
            clock=helpers_log.read_loop_time,
        )
        made.health.up = True
        made.gossip.follow_fleet()
        made.locator.follow_fleet()
        made.gossip.links = PipeLinks(vm, 'sidecar', self)
        made.locator.links = made.gossip.links
        made.gossip.random = numpy.random.default_rng(seed + 1)
        self.handlers[vm] = made.gate
        self.tasks.append(asyncio.create_task(made.gossip.run()))
        self.tasks.append(asyncio.create_task(made.freeze_detector.run()))
        return made

    def make_router(self, vm):
        async def catch_up(offset, peer):
            return True

        async def before_call():
            return None

        made = dispatch.Dispatcher(
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
        self.handlers[vm] = made
        return made

    async def ask(self, chat, router=None):
        """Send one chat's request; return the event that ends it."""
        if router is None:
            router = int(self.generator.integers(len(self.routers)))
        request = caller_request.CallerRequest(
            f'q-{len(self.accepts)}-{chat}',
            KEY,
            'POST',
            caller_api.CHAT_PATH,
            [],
            b'{"model": "m", "messages": [{"role": "user", "content": "x"}]}',
            chat_id=chat,
        )
        chosen = self.routers[router]
        call = chosen.start_call(request)
        events = [event async for event in chosen.events(call)]
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
