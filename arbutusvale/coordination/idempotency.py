"""Answer and claim requests that carry an idempotency key."""

from collections.abc import Callable

from absl import logging

from arbutusvale.coordination import answer_fanout
from arbutusvale.coordination import claims
from arbutusvale.coordination import pending
from arbutusvale.coordination import runs
from arbutusvale.coordination import slots
from arbutusvale.protocol import messages
from arbutusvale.state import answers
from arbutusvale.state import claimindex


class KeyedRequestHandler:
    """Let a key's request run once and give its answer to re-sends."""

    def __init__(
        self,
        run_table: runs.RunTable,
        claim_keeper: claims.ClaimManager,
        closer: pending.AttemptCloser,
        clock: Callable[[], float],
    ):
        self.run_table = run_table
        self.claim_keeper = claim_keeper
        self.closer = closer
        self.clock = clock

    def answer_known_key(self, waiting: pending.PendingAttempt) -> bool:
        """Answer a re-sent keyed request by what is known of its key."""
        submit = waiting.submit
        key = scope_key(submit)
        if not key:
            return False
        found = self.run_table.find_key(key)
        if found is None:
            return self._answer_claimed_key(waiting, key)
        if found.fingerprint != submit.fingerprint:
            self.closer.refuse(waiting, messages.Refusal.KEY_REUSED)
            return True
        self._attach(waiting, found)
        return True

    def _answer_claimed_key(
        self, waiting: pending.PendingAttempt, key: bytes
    ) -> bool:
        """Answer for a key that has a claim; False when it may yet run."""
        submit = waiting.submit
        if submit.idempotent:
            return False
        outcome = self.claim_keeper.lookup(key, submit.fingerprint)
        match outcome:
            case None | claims.Won():
                return False
            case _:
                self._end_unclaimed(waiting, outcome)
        return True

    def _attach(
        self,
        waiting: pending.PendingAttempt,
        found: answer_fanout.Run | answers.Answer,
    ) -> None:
        """Let an attempt follow a run or a stored answer."""
        submit = waiting.submit
        logging.info(
            'event=attached request=%s attempt=%s source=%s',
            submit.request_id,
            submit.attempt,
            type(found).__name__,
        )
        waiting.send(self.closer.make_accepted(submit))
        self.run_table.attach(found, submit, waiting.link)

    async def claim_key(
        self, waiting: pending.PendingAttempt, ticket: slots.Ticket, key: bytes
    ) -> bool:
        """Claim the request's key; True when it may run here, now."""
        submit = waiting.submit
        time_left = ticket.deadline - self.clock()
        outcome = await self.claim_keeper.claim(
            key, submit.fingerprint, time_left
        )
        logging.info(
            'event=claim request=%s attempt=%s outcome=%s',
            submit.request_id,
            submit.attempt,
            type(outcome).__name__,
        )
        if not isinstance(outcome, claims.Won):
            self._end_unclaimed(waiting, outcome)
            return False
        if ticket.deadline <= self.clock():
            self.closer.fail(waiting, messages.Outcome.NOT_RUN, 'expired')
            return False
        # Another attempt of this key may have started meanwhile.
        found = self.run_table.find_key(key)
        if found is not None:
            self._attach(waiting, found)
            return False
        if waiting.cancelled:
            self.closer.fail(waiting, messages.Outcome.NOT_RUN, 'cancelled')
            return False
        if not self.claim_keeper.mark_used(key):
            self.closer.fail(waiting, messages.Outcome.UNKNOWN, 'claim-used')
            return False
        return True

    def allow_rerun(self, run: answer_fanout.Run) -> None:
        """Let a key run for a re-send, as the server never got its run."""
        if run.key and not run.submit.idempotent:
            self.claim_keeper.clear_used(run.key)

    def _end_unclaimed(
        self, waiting: pending.PendingAttempt, outcome: claims.Outcome
    ) -> None:
        """End an attempt that may not run here, as its claim came out."""
        attempt = waiting.submit.attempt
        match outcome:
            case claims.HeldBy(vm=vm):
                self.closer.close(
                    waiting, messages.Redirect(attempt, vm, 'claim-holder')
                )
            case claims.HolderGone():
                self.closer.fail(
                    waiting, messages.Outcome.UNKNOWN, 'holder-gone'
                )
            case claims.Used():
                self._attach_or_fail(waiting)
            case claims.KeyReused():
                self.closer.refuse(waiting, messages.Refusal.KEY_REUSED)
            case claims.LogDown():
                self.closer.refuse(waiting, messages.Refusal.LOG_DOWN)
            case claims.NotYet(reason=reason, retry_after=retry_after):
                self.closer.fail(
                    waiting, messages.Outcome.NOT_RUN, reason, retry_after
                )

    def _attach_or_fail(self, waiting: pending.PendingAttempt) -> None:
        """Answer an attempt whose key was run here before."""
        found = self.run_table.find_key(scope_key(waiting.submit))
        if found is None:
            self.closer.fail(
                waiting, messages.Outcome.UNKNOWN, 'answer-not-held'
            )
        else:
            self._attach(waiting, found)


def scope_key(submit: messages.Submit) -> bytes:
    """Scope a caller's key by organisation and service; empty without."""
    if not submit.key:
        return b''
    return claimindex.scope_key(
        submit.organisation, submit.service, submit.key
    )
