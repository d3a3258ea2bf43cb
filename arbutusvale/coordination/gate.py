"""Take what arrives on a sidecar's links and guard its one server."""

import asyncio
import dataclasses
import typing

from absl import logging

from arbutusvale.coordination import admission
from arbutusvale.coordination import answer_fanout
from arbutusvale.coordination import crash_detector
from arbutusvale.coordination import drain
from arbutusvale.coordination import freeze_detection
from arbutusvale.coordination import gossip
from arbutusvale.coordination import health
from arbutusvale.coordination import idempotency
from arbutusvale.coordination import locate
from arbutusvale.coordination import pending
from arbutusvale.coordination import quarantine
from arbutusvale.coordination import runs
from arbutusvale.coordination import slots
from arbutusvale.coordination import suspect_handler
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import bundles


class BundleFollower(typing.Protocol):
    """Know the bundle in force and catch up on request."""

    @property
    def head(self) -> bundles.InForce | None:
        """Return the bundle in force."""

    async def receive(
        self, link: ports.Link, message: messages.Message
    ) -> bool:
        """Handle a message about bundles; False when it is another."""

    async def catch_up(self, offset: int, peer_vm: str) -> bool:
        """Come up to ``offset``, in bounded time; tell if it was reached."""


class Gate:
    """Decide on every attempt that reaches this sidecar.

    An attempt that is refused is remembered as dead in the run table, so
    that no late copy of it runs: "not run" stays true.
    """

    def __init__(
        self,
        *,
        pool: str,
        follower: BundleFollower,
        run_table: runs.RunTable,
        quarantine: quarantine.Quarantine,
        admission: admission.Admission,
        closer: pending.AttemptCloser,
        keyed_requests: idempotency.KeyedRequestHandler,
        locator: locate.Locator,
        gossip: gossip.Gossip,
        health: health.HealthWatch,
        drain: drain.Drain,
        freeze_detector: freeze_detection.FreezeDetector,
    ):
        self.pool = pool
        self.follower = follower
        self.run_table = run_table
        self.suspect_check = suspect_handler.SuspectHandler(
            quarantine, run_table, closer
        )
        self.admission = admission
        self.closer = closer
        self.keyed = keyed_requests
        self.locator = locator
        self.gossip = gossip
        self.health = health
        self.drain = drain
        self.freeze_detector = freeze_detector
        self.pending: dict[str, pending.PendingAttempt] = {}
        self.tasks: set[asyncio.Task] = set()

    async def receive(
        self, link: ports.Link, message: messages.Message
    ) -> None:
        """Handle one message without waiting for its outcome."""
        match message:
            case messages.Submit():
                self._spawn(self.submit(link, message))
            case messages.Credit():
                self.run_table.apply_credit(message)
            case messages.Cancel(attempt=attempt):
                self.cancel(attempt)
            case messages.Reattach():
                self.reattach(link, message)
            case messages.PoolUpdate():
                self.gossip.receive(link, message)
            case messages.Placed():
                self.locator.receive_placed(message)
            case messages.Locate():
                self.locator.receive_locate(link, message)
            case messages.Located():
                self.locator.receive_located(message)
            case messages.HandOver():
                self.locator.receive_hand_over(message)
            case messages.CacheCopy():
                self._spawn(self.drain.hand_over.receive_copy(message))
            case _:
                self._spawn(self._receive_other(link, message))

    async def on_link_closed(self, link: ports.Link) -> None:
        """Leave runs going: the router may reattach to them."""
        self.run_table.on_link_closed(link)

    async def submit(self, link: ports.Link, submit: messages.Submit) -> None:
        """Decide on one attempt and start it when it is admitted."""
        if self._resume_known(link, submit.attempt):
            return
        waiting = pending.PendingAttempt(submit, link)
        self.pending[submit.attempt] = waiting
        try:
            await self._decide(waiting)
        finally:
            del self.pending[submit.attempt]

    def _resume_known(self, link: ports.Link, attempt: str) -> bool:
        """Answer a copy of an attempt that arrived before."""
        waiting = self.pending.get(attempt)
        if waiting is not None:
            waiting.link = link
            if waiting.accepted is not None:
                waiting.send(waiting.accepted)
            return True
        if self.run_table.is_dead(attempt):
            self.closer.refuse_dead(link, attempt)
            return True
        if self.run_table.is_known(attempt):
            self.run_table.resume(link, attempt, 0)
            return True
        return False

    async def _decide(self, waiting: pending.PendingAttempt) -> None:
        """Run the checks of one attempt in their order.

        A re-sent keyed request goes first: its answer is no new work.
        """
        submit = waiting.submit
        await self.freeze_detector.refresh_if_frozen()
        if self.suspect_check.end_if_quarantined(waiting):
            return
        if self.keyed.answer_known_key(waiting):
            return
        if await self.suspect_check.handle_suspect(waiting):
            return
        refusal = await self._check_readiness(submit, waiting.link.vm)
        if refusal is not None:
            self.closer.close(waiting, refusal)
            return
        held = self.follower.head.bundle
        decision = await self.admission.admit(
            submit,
            held.pools[self.pool],
            held.organisations[submit.organisation],
        )
        match decision:
            case admission.Admitted(ticket=ticket):
                waiting.ticket = ticket
                await self._run_admitted(waiting, ticket)
            case refused_or_redirect:
                self.closer.close(waiting, refused_or_redirect)

    async def _check_readiness(
        self, submit: messages.Submit, router: str
    ) -> messages.Refused | None:
        """Refuse what this sidecar may not even weigh."""
        refuse = self.admission.refuse
        if self.drain.leaving:
            return refuse(submit, messages.Refusal.LEAVING)
        if submit.bundle_offset > self._bundle_offset():
            await self.follower.catch_up(submit.bundle_offset, router)
        head = self.follower.head
        if head is None:
            return refuse(
                submit, messages.Refusal.NOT_READY, detail='no bundle'
            )
        if submit.bundle_offset > head.offset:
            return refuse(
                submit, messages.Refusal.NOT_READY, detail='bundle is behind'
            )
        if submit.bundle_offset < head.offset:
            return refuse(submit, messages.Refusal.STALE_BUNDLE)
        if not self.health.up:
            return refuse(submit, messages.Refusal.SERVER_DOWN)
        held = head.bundle
        if (
            self.pool not in held.pools
            or submit.organisation not in held.organisations
        ):
            return refuse(
                submit, messages.Refusal.NOT_READY, detail='not in the bundle'
            )
        return None

    def _bundle_offset(self) -> int:
        """Return the offset of the bundle in force; -1 without one."""
        head = self.follower.head
        return -1 if head is None else head.offset

    async def _run_admitted(
        self, waiting: pending.PendingAttempt, ticket: slots.Ticket
    ) -> None:
        """Wait for a slot, claim the key at need and start the run."""
        places = self.admission.places
        started = False
        try:
            waiting.accepted = self.closer.make_accepted(waiting.submit)
            waiting.send(waiting.accepted)
            if await self._wait_for_slot(waiting, ticket):
                started = await self._claim_and_start(waiting, ticket)
        finally:
            if not started:
                places.leave(ticket)

    async def _wait_for_slot(
        self, waiting: pending.PendingAttempt, ticket: slots.Ticket
    ) -> bool:
        """Wait in the queue; tell the router when the place was lost."""
        match await self.admission.places.wait(ticket):
            case slots.Granted():
                if not waiting.cancelled:
                    return True
                self.closer.fail(
                    waiting, messages.Outcome.NOT_RUN, 'cancelled'
                )
            case slots.Displaced(retry_after=retry_after):
                self.closer.fail(
                    waiting,
                    messages.Outcome.NOT_RUN,
                    str(messages.Refusal.FULL),
                    retry_after,
                )
            case slots.Expired():
                self.closer.fail(
                    waiting,
                    messages.Outcome.NOT_RUN,
                    str(messages.Refusal.EXPIRED),
                )
            case slots.Withdrawn():
                self.closer.fail(
                    waiting, messages.Outcome.NOT_RUN, 'cancelled'
                )
        return False

    async def _claim_and_start(
        self, waiting: pending.PendingAttempt, ticket: slots.Ticket
    ) -> bool:
        """Start the run, after winning the claim if it may run once only."""
        submit = waiting.submit
        key = idempotency.scope_key(submit)
        if not submit.idempotent:
            if not await self.keyed.claim_key(waiting, ticket, key):
                return False
        self.locator.note_run(submit.chat)
        time_left = ticket.deadline - self.admission.clock()
        self.run_table.start(
            dataclasses.replace(submit, time_left=time_left),
            waiting.link,
            lambda run: self._finish(run, ticket),
            key,
        )
        return True

    def _finish(self, run: answer_fanout.Run, ticket: slots.Ticket) -> None:
        """Free what a run held when the server is done with it."""
        self.admission.places.leave(ticket)
        match run.ending:
            case answer_fanout.Incomplete(outcome=messages.Outcome.NOT_RUN):
                self.keyed.allow_rerun(run)
                if run.sent_to_server:
                    self.health.note_down()
            case answer_fanout.Incomplete(reason=crash_detector.CRASHED):
                self.health.note_down()

    def cancel(self, attempt: str) -> None:
        """Withdraw a waiting attempt or pass the wish on to its run."""
        waiting = self.pending.get(attempt)
        if waiting is None:
            self.run_table.cancel(attempt)
            return
        waiting.cancelled = True
        if waiting.ticket is not None:
            waiting.ticket.settle(slots.Withdrawn())

    def reattach(self, link: ports.Link, message: messages.Reattach) -> None:
        """Send the rest of an attempt's answer over another link."""
        attempt = message.attempt
        if attempt in self.pending or self.run_table.is_dead(attempt):
            self._resume_known(link, attempt)
        elif self.run_table.is_known(attempt):
            self.run_table.resume(link, attempt, message.next_chunk)
        else:
            # A late submit must not run after this answer.
            self.run_table.mark_dead(attempt)
            self.closer.refuse_dead(link, attempt)

    async def _receive_other(
        self, link: ports.Link, message: messages.Message
    ) -> None:
        """Offer a message to the bundle follower, else drop it."""
        if not await self.follower.receive(link, message):
            logging.warning(
                'event=message-dropped kind=%s peer=%s',
                type(message).__name__,
                link.vm,
            )

    def _spawn(self, work: typing.Coroutine) -> None:
        """Start a task and keep it until it ends."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._forget_task)

    def _forget_task(self, task: asyncio.Task) -> None:
        """Drop an ended task and log what it raised."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                'event=gate-task-failed cause="%s"', task.exception()
            )
