"""Routing of attempts whose request was in flight at a server's crash."""

from absl import logging

from arbutusvale.coordination import pending
from arbutusvale.coordination import quarantine
from arbutusvale.coordination import runs
from arbutusvale.protocol import messages


class SuspectHandler:
    """Handler of suspects: ends quarantined ones, redirects the others."""

    def __init__(
        self,
        request_quarantine: quarantine.Quarantine,
        run_table: runs.RunTable,
        closer: pending.AttemptCloser,
    ):
        self.quarantine = request_quarantine
        self.run_table = run_table
        self.closer = closer

    def end_if_quarantined(
        self, pending_attempt: pending.PendingAttempt
    ) -> bool:
        """Fail the attempt of a quarantined request; False for others."""
        if not self.quarantine.blocks(pending_attempt.submit):
            return False
        self.closer.fail(
            pending_attempt, messages.Outcome.QUARANTINED, 'quarantined'
        )
        return True

    async def handle_suspect(
        self, pending_attempt: pending.PendingAttempt
    ) -> bool:
        """Redirect a suspect, or wait for runs of its duplicates here.

        False when it may run here like any other request.
        """
        submit = pending_attempt.submit
        if not self.quarantine.is_suspect(submit.fingerprint):
            return False
        if self._redirect(pending_attempt):
            return True
        await self.run_table.wait_for_duplicates(
            submit.fingerprint, submit.time_left
        )
        return self.end_if_quarantined(pending_attempt)

    def _redirect(self, pending_attempt: pending.PendingAttempt) -> bool:
        """Redirect a suspect to the server chosen for it; False to stay.

        A suspect is redirected only once, so that the load bound of the
        chosen server cannot leave it without an answer.
        """
        submit = pending_attempt.submit
        if submit.redirected or submit.last_hop:
            return False
        vm = self.quarantine.choose_server(submit.fingerprint)
        if vm in ('', self.quarantine.vm):
            return False
        logging.info(
            'event=suspect-redirected request=%s choice=%s',
            submit.request_id,
            vm,
        )
        self.closer.close(
            pending_attempt, messages.Redirect(submit.attempt, vm, 'suspect')
        )
        return True
