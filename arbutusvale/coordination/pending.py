"""Hold attempts between their arrival and their run, and end them."""

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
    """Hold an attempt between its arrival and its run.

    ``link`` is where its answer goes, which changes on a reattach.
    """

    submit: messages.Submit
    link: ports.Link
    accepted: messages.Accepted | None = None
    ticket: slots.Ticket | None = None
    cancelled: bool = False

    def send(self, message: messages.Message) -> None:
        """Send to the router; a closed link waits for its reattach."""
        try:
            self.link.send(message)
        except errors.LinkClosed:
            logging.info(
                'event=answer-unsent attempt=%s router=%s',
                self.submit.attempt,
                self.link.vm,
            )


class AttemptCloser:
    """End attempts that do not run, so that no late copy of them does."""

    def __init__(
        self, run_table: runs.RunTable, admitting: admission.Admission
    ):
        self.run_table = run_table
        self.admission = admitting

    def close(
        self,
        pending: PendingAttempt,
        answer: messages.Refused | messages.Redirect | messages.Failed,
    ) -> None:
        """End an attempt that did not run, so that no copy of it runs."""
        self.run_table.mark_dead(pending.submit.attempt)
        pending.send(answer)

    def refuse(
        self, pending: PendingAttempt, reason: messages.Refusal
    ) -> None:
        """Refuse an attempt before it was admitted."""
        self.close(pending, self.admission.refuse(pending.submit, reason))

    def fail(
        self,
        pending: PendingAttempt,
        outcome: messages.Outcome,
        reason: str,
        retry_after: float = 0.0,
    ) -> None:
        """End an attempt with an outcome for its caller."""
        attempt = pending.submit.attempt
        logging.info(
            'event=attempt-failed attempt=%s outcome=%s reason=%s',
            attempt,
            outcome,
            reason,
        )
        failed = messages.Failed(attempt, str(outcome), reason, retry_after)
        if outcome == messages.Outcome.UNKNOWN:
            # Copies must hear "unknown" too, never "not run".
            self.run_table.over.add(attempt)
            pending.send(failed)
        else:
            self.close(pending, failed)

    def make_accepted(self, submit: messages.Submit) -> messages.Accepted:
        """Make the confirmation that carries the own load."""
        return messages.Accepted(
            submit.attempt,
            self.admission.places.load,
            float(self.admission.table.mean),
        )

    def refuse_dead(self, link: ports.Link, attempt: str) -> None:
        """Tell that an attempt ended here and will not run."""
        places = self.admission.places
        refused = messages.Refused(
            attempt,
            str(messages.Refusal.DEAD_ATTEMPT),
            '',
            0.0,
            places.load,
            float(self.admission.table.mean),
            [],
        )
        try:
            link.send(refused)
        except errors.LinkClosed:
            logging.info('event=refusal-unsent attempt=%s', attempt)
