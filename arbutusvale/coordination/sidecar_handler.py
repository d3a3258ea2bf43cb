"""Handler of the messages that reach a sidecar, and of its attempts."""

import asyncio
import dataclasses
import typing

from absl import logging

from arbutusvale.coordination import admission
from arbutusvale.coordination import answer_fanout
from arbutusvale.coordination import cache_locator
from arbutusvale.coordination import crash_detector
from arbutusvale.coordination import drain
from arbutusvale.coordination import freeze_detection
from arbutusvale.coordination import gossip
from arbutusvale.coordination import health
from arbutusvale.coordination import idempotency
from arbutusvale.coordination import pending
from arbutusvale.coordination import quarantine
from arbutusvale.coordination import runs
from arbutusvale.coordination import slots
from arbutusvale.coordination import suspect_handler
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import bundle_chain


class BundleFollower(typing.Protocol):
    """Source of the configuration bundle in force.

    Bundles are numbered by their offset in the log.
    """

    @property
    def head(self) -> bundle_chain.ActiveBundle | None:
        """Return the bundle in force; None before the first."""

    async def receive(
        self, link: ports.Link, message: messages.Message
    ) -> bool:
        """Handle a message about bundles; return False for any other."""

    async def catch_up(self, offset: int, peer_vm: str) -> bool:
        """Fetch bundles up to ``offset`` from a peer or the log.

        Return whether ``offset`` was reached within a bounded time.
        """


class SidecarHandler:
    """Message handler of a sidecar, which runs the attempts of routers.

    An attempt is one try of a router to run a request on this sidecar's
    backend server.  A refused attempt is recorded as dead in the run table,
    so that no late duplicate of it runs after the router was told that it
    did not.
    """

    def __init__(
        self,
        *,
        pool: str,
        follower: BundleFollower,
        run_table: runs.RunTable,
        quarantine: quarantine.Quarantine,
        admission: admission.AdmissionController,
        closer: pending.AttemptCloser,
        keyed_requests: idempotency.KeyedRequestHandler,
        locator: cache_locator.CacheLocator,
        gossip: gossip.Gossip,
        health: health.HealthChecker,
        drain: drain.DrainController,
        freeze_detector: freeze_detection.FreezeDetector,
    ):
        self.pool = pool
        self.follower = follower
        self.run_table = run_table
        self.suspect_handler = suspect_handler.SuspectHandler(
            quarantine, run_table, closer
        )
        self.admission = admission
        self.closer = closer
        self.keyed_handler = keyed_requests
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
        """Dispatch one message; slow work goes on in a task."""
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
                self._spawn(self.drain.chat_handover.receive_cache(message))
            case _:
                self._spawn(self._receive_bundle_message(link, message))

    async def on_link_closed(self, link: ports.Link) -> None:
        """Detach the link; its runs go on, as the router may reattach."""
        self.run_table.on_link_closed(link)

    async def submit(self, link: ports.Link, submit: messages.Submit) -> None:
        """Admit or refuse one attempt, and run it when it is admitted."""
        if self._answer_known_attempt(link, submit.attempt):
            return
        pending_attempt = pending.PendingAttempt(submit, link)
        self.pending[submit.attempt] = pending_attempt
        try:
            await self._check_and_run(pending_attempt)
        finally:
            del self.pending[submit.attempt]

    def _answer_known_attempt(self, link: ports.Link, attempt: str) -> bool:
        """Answer a known attempt again; return False for a new one."""
        pending_attempt = self.pending.get(attempt)
        if pending_attempt is not None:
            pending_attempt.link = link
            if pending_attempt.accepted is not None:
                pending_attempt.send(pending_attempt.accepted)
            return True
        if self.run_table.is_dead(attempt):
            self.closer.refuse_dead(link, attempt)
            return True
        if self.run_table.is_known(attempt):
            self.run_table.resume(link, attempt, 0)
            return True
        return False

    async def _check_and_run(
        self, pending_attempt: pending.PendingAttempt
    ) -> None:
        """Run the checks on one attempt in order, then the attempt.

        A retry of a keyed request is answered before the readiness check,
        as its stored answer is no new work for the server.
        """
        submit = pending_attempt.submit
        await self.freeze_detector.refresh_if_frozen()
        if self.suspect_handler.end_if_quarantined(pending_attempt):
            return
        if self.keyed_handler.answer_known_key(pending_attempt):
            return
        if await self.suspect_handler.handle_suspect(pending_attempt):
            return
        refusal = await self._check_readiness(submit, pending_attempt.link.vm)
        if refusal is not None:
            self.closer.close(pending_attempt, refusal)
            return
        current_bundle = self.follower.head.bundle
        decision = await self.admission.admit(
            submit,
            current_bundle.pools[self.pool],
            current_bundle.organisations[submit.organisation],
        )
        match decision:
            case admission.Admitted(ticket=ticket):
                pending_attempt.ticket = ticket
                await self._run_admitted(pending_attempt, ticket)
            case refused_or_redirect:
                self.closer.close(pending_attempt, refused_or_redirect)

    async def _check_readiness(
        self, submit: messages.Submit, router: str
    ) -> messages.Refused | None:
        """Return a refusal if no new work may be admitted now, else None."""
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
        current_bundle = head.bundle
        if (
            self.pool not in current_bundle.pools
            or submit.organisation not in current_bundle.organisations
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
        self, pending_attempt: pending.PendingAttempt, ticket: slots.Ticket
    ) -> None:
        """Confirm the attempt, wait for a slot and start the run.

        The slot or place in the queue is released if no run was started.
        """
        scheduler = self.admission.scheduler
        started = False
        try:
            pending_attempt.accepted = self.closer.make_accepted(
                pending_attempt.submit
            )
            pending_attempt.send(pending_attempt.accepted)
            if await self._wait_for_slot(pending_attempt, ticket):
                started = await self._claim_and_start(pending_attempt, ticket)
        finally:
            if not started:
                scheduler.release(ticket)

    async def _wait_for_slot(
        self, pending_attempt: pending.PendingAttempt, ticket: slots.Ticket
    ) -> bool:
        """Wait for a slot; fail the attempt and return False without one."""
        match await self.admission.scheduler.wait(ticket):
            case slots.Granted():
                if not pending_attempt.cancelled:
                    return True
                self.closer.fail(
                    pending_attempt, messages.Outcome.NOT_RUN, 'cancelled'
                )
            case slots.Displaced(retry_after=retry_after):
                self.closer.fail(
                    pending_attempt,
                    messages.Outcome.NOT_RUN,
                    str(messages.Refusal.FULL),
                    retry_after,
                )
            case slots.Expired():
                self.closer.fail(
                    pending_attempt,
                    messages.Outcome.NOT_RUN,
                    str(messages.Refusal.EXPIRED),
                )
            case slots.Withdrawn():
                self.closer.fail(
                    pending_attempt, messages.Outcome.NOT_RUN, 'cancelled'
                )
        return False

    async def _claim_and_start(
        self, pending_attempt: pending.PendingAttempt, ticket: slots.Ticket
    ) -> bool:
        """Start the run; claim the key first if the request is not idempotent.

        Return False when the claim was not won.
        """
        submit = pending_attempt.submit
        key = idempotency.scope_key(submit)
        if not submit.idempotent:
            if not await self.keyed_handler.claim_key(
                pending_attempt, ticket, key
            ):
                return False
        self.locator.record_run(submit.chat)
        time_left = ticket.deadline - self.admission.clock()
        self.run_table.start(
            dataclasses.replace(submit, time_left=time_left),
            pending_attempt.link,
            lambda run: self._on_run_ended(run, ticket),
            key,
        )
        return True

    def _on_run_ended(
        self, run: answer_fanout.Run, ticket: slots.Ticket
    ) -> None:
        """Release the slot of a run, and its key if the server did not run it.

        Mark the server as down if it took no connection or crashed.
        """
        self.admission.scheduler.release(ticket)
        match run.ending:
            case answer_fanout.Incomplete(outcome=messages.Outcome.NOT_RUN):
                self.keyed_handler.allow_rerun(run)
                if run.sent_to_server:
                    self.health.mark_down()
            case answer_fanout.Incomplete(reason=crash_detector.CRASHED):
                self.health.mark_down()

    def cancel(self, attempt: str) -> None:
        """Withdraw a queued attempt, or cancel its run."""
        pending_attempt = self.pending.get(attempt)
        if pending_attempt is None:
            self.run_table.cancel(attempt)
            return
        pending_attempt.cancelled = True
        if pending_attempt.ticket is not None:
            pending_attempt.ticket.resolve(slots.Withdrawn())

    def reattach(self, link: ports.Link, message: messages.Reattach) -> None:
        """Send the rest of an attempt's answer over another link.

        An unknown attempt is recorded as dead and refused.
        """
        attempt = message.attempt
        if attempt in self.pending or self.run_table.is_dead(attempt):
            self._answer_known_attempt(link, attempt)
        elif self.run_table.is_known(attempt):
            self.run_table.resume(link, attempt, message.next_chunk)
        else:
            # The router takes this refusal as "not run", so a submit that
            # arrives later must not run.
            self.run_table.mark_dead(attempt)
            self.closer.refuse_dead(link, attempt)

    async def _receive_bundle_message(
        self, link: ports.Link, message: messages.Message
    ) -> None:
        """Hand a message to the bundle follower; log and drop any other."""
        if not await self.follower.receive(link, message):
            logging.warning(
                'event=message-dropped kind=%s peer=%s',
                type(message).__name__,
                link.vm,
            )

    def _spawn(self, coroutine: typing.Coroutine) -> None:
        """Start a task and hold a reference to it until it ends."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        """Drop the reference to an ended task and log its exception."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                'event=gate-task-failed cause="%s"', task.exception()
            )
