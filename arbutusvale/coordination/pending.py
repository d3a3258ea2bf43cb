"""Attempts that have not started to run, and ways to end them."""

import dataclasses

from absl import logging

from arbutusvale import errors
from arbutusvale.coordination import admission
from arbutusvale.coordination import runs
from arbutusvale.coordination import slots
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports


@dataclasses.dataclass(eq=False)
class PendingAttempt:
    """An attempt between its arrival and the start of its run.

    ``link`` leads to the router that gets the answer; a reattach replaces
    it.
    """

    submit: messages.Submit
    link: ports.Link
    accepted: messages.Accepted | None = None
    ticket: slots.Ticket | None = None
    cancelled: bool = False

    def send(self, message: messages.Message) -> None:
        """Send to the router; drops the message when the link is closed.

        The router reattaches and asks again.
        """
        try:
            self.link.send(message)
        except errors.LinkClosed:
            logging.info(
                'event=answer-unsent attempt=%s router=%s',
                self.submit.attempt,
                self.link.vm,
            )


class AttemptCloser:
    """Final answers to attempts that do not run.

    An attempt that ended is recorded, so that no late duplicate of it runs.
    """

    def __init__(
        self,
        run_table: runs.RunTable,
        admission_controller: admission.AdmissionController,
    ):
        self.run_table = run_table
        self.admission = admission_controller

    def close(
        self,
        pending: PendingAttempt,
        answer: messages.Refused | messages.Redirect | messages.Failed,
    ) -> None:
        """Answer an attempt that did not run; its duplicates never run."""
        self.run_table.mark_dead(pending.submit.attempt)
        pending.send(answer)

    def refuse(
        self, pending: PendingAttempt, reason: messages.Refusal
    ) -> None:
        """Refuse an attempt that was not admitted."""
        self.close(pending, self.admission.refuse(pending.submit, reason))

    def fail(
        self,
        pending: PendingAttempt,
        outcome: messages.Outcome,
        reason: str,
        retry_after: float = 0.0,
    ) -> None:
        """Fail an attempt with an outcome for its caller."""
        attempt = pending.submit.attempt
        logging.info(
            'event=attempt-failed attempt=%s outcome=%s reason=%s',
            attempt,
            outcome,
            reason,
        )
        failed = messages.Failed(attempt, str(outcome), reason, retry_after)
        if outcome == messages.Outcome.UNKNOWN:
            # Duplicates must get "unknown" too, never "not run".
            self.run_table.finished_attempts.add(attempt)
            pending.send(failed)
        else:
            self.close(pending, failed)

    def make_accepted(self, submit: messages.Submit) -> messages.Accepted:
        """Return the confirmation of an attempt, with this server's load."""
        return messages.Accepted(
            submit.attempt,
            self.admission.scheduler.load,
            float(self.admission.table.average_load),
        )

    def refuse_dead(self, link: ports.Link, attempt: str) -> None:
        """Refuse an attempt that ended here and may never run."""
        scheduler = self.admission.scheduler
        refused = messages.Refused(
            attempt,
            str(messages.Refusal.DEAD_ATTEMPT),
            '',
            0.0,
            scheduler.load,
            float(self.admission.table.average_load),
            [],
        )
        try:
            link.send(refused)
        except errors.LinkClosed:
            logging.info('event=refusal-unsent attempt=%s', attempt)
