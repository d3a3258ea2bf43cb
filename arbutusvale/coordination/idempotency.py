"""Deduplication of requests that carry an idempotency key."""

from collections.abc import Callable

from absl import logging

from arbutusvale.coordination import answer_fanout
from arbutusvale.coordination import claims
from arbutusvale.coordination import pending
from arbutusvale.coordination import runs
from arbutusvale.coordination import slots
from arbutusvale.protocol import messages
from arbutusvale.state import answers
from arbutusvale.state import claim_index


class KeyedRequestHandler:
    """Handler of keyed requests: one run per key, replays for re-sends."""

    def __init__(
        self,
        run_table: runs.RunTable,
        claim_manager: claims.ClaimManager,
        closer: pending.AttemptCloser,
        clock: Callable[[], float],
    ):
        self.run_table = run_table
        self.claim_manager = claim_manager
        self.closer = closer
        self.clock = clock

    def answer_known_key(
        self, pending_attempt: pending.PendingAttempt
    ) -> bool:
        """Answer a re-sent request from its key's run, answer or claim.

        False when the request may yet run here.
        """
        submit = pending_attempt.submit
        key = scope_key(submit)
        if not key:
            return False
        found = self.run_table.find_by_key(key)
        if found is None:
            return self._answer_claimed_key(pending_attempt, key)
        if found.fingerprint != submit.fingerprint:
            self.closer.refuse(pending_attempt, messages.Refusal.KEY_REUSED)
            return True
        self._attach(pending_attempt, found)
        return True

    def _answer_claimed_key(
        self, pending_attempt: pending.PendingAttempt, key: bytes
    ) -> bool:
        """Answer for a key that was claimed; False when it may yet run."""
        submit = pending_attempt.submit
        if submit.idempotent:
            return False
        outcome = self.claim_manager.lookup(key, submit.fingerprint)
        match outcome:
            case None | claims.Won():
                return False
            case _:
                self._end_without_claim(pending_attempt, outcome)
        return True

    def _attach(
        self,
        pending_attempt: pending.PendingAttempt,
        found: answer_fanout.Run | answers.Answer,
    ) -> None:
        """Send an attempt the answer of a run or a stored answer."""
        submit = pending_attempt.submit
        logging.info(
            'event=attached request=%s attempt=%s source=%s',
            submit.request_id,
            submit.attempt,
            type(found).__name__,
        )
        pending_attempt.send(self.closer.make_accepted(submit))
        self.run_table.attach(found, submit, pending_attempt.link)

    async def claim_key(
        self,
        pending_attempt: pending.PendingAttempt,
        ticket: slots.Ticket,
        key: bytes,
    ) -> bool:
        """Claim the request's key; True when the request may run here now.

        Otherwise the attempt is answered.
        """
        submit = pending_attempt.submit
        time_left = ticket.deadline - self.clock()
        outcome = await self.claim_manager.claim(
            key, submit.fingerprint, time_left
        )
        logging.info(
            'event=claim request=%s attempt=%s outcome=%s',
            submit.request_id,
            submit.attempt,
            type(outcome).__name__,
        )
        if not isinstance(outcome, claims.Won):
            self._end_without_claim(pending_attempt, outcome)
            return False
        if ticket.deadline <= self.clock():
            self.closer.fail(
                pending_attempt, messages.Outcome.NOT_RUN, 'expired'
            )
            return False
        # Another attempt of this key may have started meanwhile.
        found = self.run_table.find_by_key(key)
        if found is not None:
            self._attach(pending_attempt, found)
            return False
        if pending_attempt.cancelled:
            self.closer.fail(
                pending_attempt, messages.Outcome.NOT_RUN, 'cancelled'
            )
            return False
        if not self.claim_manager.mark_used(key):
            self.closer.fail(
                pending_attempt, messages.Outcome.UNKNOWN, 'claim-used'
            )
            return False
        return True

    def allow_rerun(self, run: answer_fanout.Run) -> None:
        """Let a re-send of the key run, as the server never got this one."""
        if run.key and not run.submit.idempotent:
            self.claim_manager.clear_used(run.key)

    def _end_without_claim(
        self, pending_attempt: pending.PendingAttempt, outcome: claims.Outcome
    ) -> None:
        """Answer an attempt that may not run here by the claim's outcome."""
        attempt = pending_attempt.submit.attempt
        match outcome:
            case claims.HeldBy(vm=vm):
                self.closer.close(
                    pending_attempt,
                    messages.Redirect(attempt, vm, 'claim-holder'),
                )
            case claims.HolderGone():
                self.closer.fail(
                    pending_attempt, messages.Outcome.UNKNOWN, 'holder-gone'
                )
            case claims.Used():
                self._attach_or_fail(pending_attempt)
            case claims.KeyReused():
                self.closer.refuse(
                    pending_attempt, messages.Refusal.KEY_REUSED
                )
            case claims.LogDown():
                self.closer.refuse(pending_attempt, messages.Refusal.LOG_DOWN)
            case claims.NotYet(reason=reason, retry_after=retry_after):
                self.closer.fail(
                    pending_attempt,
                    messages.Outcome.NOT_RUN,
                    reason,
                    retry_after,
                )

    def _attach_or_fail(self, pending_attempt: pending.PendingAttempt) -> None:
        """Answer an attempt whose key was already run here."""
        found = self.run_table.find_by_key(scope_key(pending_attempt.submit))
        if found is None:
            self.closer.fail(
                pending_attempt, messages.Outcome.UNKNOWN, 'answer-not-held'
            )
        else:
            self._attach(pending_attempt, found)


def scope_key(submit: messages.Submit) -> bytes:
    """Digest a key with its organisation and service; empty without one."""
    if not submit.key:
        return b''
    return claim_index.scope_key(
        submit.organisation, submit.service, submit.key
    )
