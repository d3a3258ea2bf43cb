"""Dispatch of callers' requests to sidecars, for one router process."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import time

from absl import logging
import numpy

from arbutusvale.coordination import answer_events
from arbutusvale.coordination import attempts
from arbutusvale.coordination import caller_request
from arbutusvale.coordination import calls
from arbutusvale.coordination import limits
from arbutusvale.coordination import outlier_detection
from arbutusvale.coordination import placement
from arbutusvale.coordination import retries
from arbutusvale.coordination import router_context
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import bundle_chain
from arbutusvale.state import fleet
from arbutusvale.state import router_metrics

# Initial balance of the budget for free retries past VMs without a server:
# enough for the requests that start in the few milliseconds before a lost VM
# refuses its first link.
_FREE_RETRY_RESERVE = 5.0


class Dispatcher:
    """The request path of one router, and its handler of link messages.

    ``get_head`` returns the bundle in force.  ``catch_up`` reads the bundle
    stream up to an offset that a peer VM has.  ``before_call`` is awaited
    before each call; it waits while state is refreshed after this process
    was frozen.
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: int,
        links: ports.Links | None,
        fleet: fleet.Fleet,
        get_head: Callable[[], bundle_chain.ActiveBundle | None],
        catch_up: Callable[[int, str], Awaitable[bool]],
        before_call: Callable[[], Awaitable[None]],
        generator: numpy.random.Generator,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.get_head = get_head
        self.before_call = before_call
        self.attempts = attempts.AttemptRegistry(
            vm=vm, incarnation=incarnation, links=links, clock=clock
        )
        self.metrics = router_metrics.RouterMetrics()
        detector = outlier_detection.OutlierDetector(generator, clock)
        self.context = router_context.RouterContext(
            get_head=get_head,
            catch_up=catch_up,
            generator=generator,
            attempts=self.attempts,
            outlier_detector=detector,
            placement=placement.Placement(
                fleet=fleet,
                outlier_detector=detector,
                generator=generator,
                clock=clock,
            ),
            limits=limits.OrganisationLimits(clock),
            retry_budget=retries.RetryBudget(),
            free_retry_budget=retries.RetryBudget(_FREE_RETRY_RESERVE),
            metrics=self.metrics,
        )
        self.draining = False
        self.active = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def start_call(self, request: caller_request.CallerRequest) -> calls.Call:
        """Create the call that answers one caller's request."""
        return calls.Call(self.context, request)

    async def events(
        self, call: calls.Call
    ) -> AsyncIterator[answer_events.Event]:
        """Yield the events of a call, counting it as in flight."""
        self.active += 1
        self.idle.clear()
        try:
            await self.before_call()
            async with contextlib.aclosing(call.events()) as events:
                async for event in events:
                    yield event
        finally:
            self.active -= 1
            if not self.active:
                self.idle.set()

    async def receive(
        self, link: ports.Link, message: messages.Message
    ) -> None:
        """Handle a message that arrived on a link."""
        await self.attempts.receive(link, message)

    async def on_link_closed(self, link: ports.Link) -> None:
        """Handle a link that was closed."""
        await self.attempts.on_link_closed(link)

    async def run(self) -> None:
        """Monitor the links with attempts in flight, until cancelled."""
        await self.attempts.run()

    def on_vm_list_changed(self) -> None:
        """Drop the state of VMs that left the VM list."""
        self.context.placement.forget_unlisted()

    async def drain(self, grace_s: float) -> int:
        """Wait for the requests in flight to finish.

        Returns how many were still in flight after ``grace_s`` seconds.
        """
        self.draining = True
        try:
            async with asyncio.timeout(grace_s):
                await self.idle.wait()
        except TimeoutError:
            logging.warning('event=drain-cut requests=%d', self.active)
        return self.active
