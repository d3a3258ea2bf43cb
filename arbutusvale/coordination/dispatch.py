"""Take callers' requests, place them at sidecars and relay the answers."""

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
from arbutusvale.state import bundles
from arbutusvale.state import fleet
from arbutusvale.state import measures

# Free passes over VMs without a server: enough for what starts within the
# few milliseconds in which a lost VM refuses its first link.
_PASS_RESERVE = 5.0


class Dispatcher:
    """Answer the callers of one router; takes what arrives on its links.

    ``get_head`` tells the bundle in force, ``catch_up`` comes up to an
    offset that a peer has, ``before_call`` waits while news are looked for
    after this process stood still.
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: int,
        links: ports.Links | None,
        fleet: fleet.Fleet,
        get_head: Callable[[], bundles.InForce | None],
        catch_up: Callable[[int, str], Awaitable[bool]],
        before_call: Callable[[], Awaitable[None]],
        generator: numpy.random.Generator,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.get_head = get_head
        self.before_call = before_call
        self.attempts = attempts.Attempts(
            vm=vm, incarnation=incarnation, links=links, clock=clock
        )
        self.measures = measures.RouterMeasures()
        avoided = outlier_detection.OutlierDetector(generator, clock)
        self.context = router_context.RouterContext(
            get_head=get_head,
            catch_up=catch_up,
            generator=generator,
            attempts=self.attempts,
            outlier_detector=avoided,
            placement=placement.Placement(
                fleet=fleet,
                outlier_detector=avoided,
                generator=generator,
                clock=clock,
            ),
            limits=limits.OrganisationLimits(clock),
            retry_budget=retries.RetryBudget(),
            free_retry_budget=retries.RetryBudget(_PASS_RESERVE),
            measures=self.measures,
        )
        self.draining = False
        self.active = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def start_call(self, request: caller_request.CallerRequest) -> calls.Call:
        """Begin to answer one caller's request."""
        return calls.Call(self.context, request)

    async def events(
        self, call: calls.Call
    ) -> AsyncIterator[answer_events.Event]:
        """Yield the events of a call, which counts as in flight."""
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

    async def link_closed(self, link: ports.Link) -> None:
        """Handle the end of a link."""
        await self.attempts.link_closed(link)

    async def run(self) -> None:
        """Watch the links with attempts in flight, until cancelled."""
        await self.attempts.run()

    def on_vm_list_changed(self) -> None:
        """Forget what is known of VMs that are no longer listed."""
        self.context.placement.forget_unlisted()

    async def drain(self, grace_s: float) -> int:
        """Let the requests in flight end.

        Returns how many were still in flight after ``grace_s``.
        """
        self.draining = True
        try:
            async with asyncio.timeout(grace_s):
                await self.idle.wait()
        except TimeoutError:
            logging.warning('event=drain-cut requests=%d', self.active)
        return self.active
