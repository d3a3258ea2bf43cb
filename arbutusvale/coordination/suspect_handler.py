"""Decide on attempts whose request was in flight at a server's crash."""

from absl import logging

from arbutusvale.coordination import pending
from arbutusvale.coordination import quarantine
from arbutusvale.coordination import runs
from arbutusvale.protocol import messages


class SuspectHandler:
    """End quarantined attempts and bring a suspect's copies together."""

    def __init__(
        self,
        quarantined: quarantine.Quarantine,
        run_table: runs.RunTable,
        closer: pending.AttemptCloser,
    ):
        self.quarantine = quarantined
        self.run_table = run_table
        self.closer = closer

    def end_if_quarantined(self, waiting: pending.PendingAttempt) -> bool:
        """End the attempt of a quarantined request; False for others."""
        if not self.quarantine.is_quarantined(waiting.submit.fingerprint):
            return False
        self.closer.fail(waiting, messages.Outcome.QUARANTINED, 'quarantined')
        return True

    async def handle_suspect(self, waiting: pending.PendingAttempt) -> bool:
        """Redirect a suspect, or wait until its copies here are judged.

        False when it may run here, as any other request may.
        """
        submit = waiting.submit
        if not self.quarantine.is_suspect(submit.fingerprint):
            return False
        if self._redirect(waiting):
            return True
        await self.run_table.wait_for_copies(
            submit.fingerprint, submit.time_left
        )
        return self.end_if_quarantined(waiting)

    def _redirect(self, waiting: pending.PendingAttempt) -> bool:
        """Send a suspect to the one server that should run it.

        One that was redirected before is not sent on again, so that the
        load bound there cannot leave it without an answer.
        """
        submit = waiting.submit
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
            waiting, messages.Redirect(submit.attempt, vm, 'suspect')
        )
        return True
