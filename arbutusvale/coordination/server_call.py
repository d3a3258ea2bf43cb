"""Call the backend server for one run and judge how the call ended."""

import asyncio
from collections.abc import Callable
import contextlib

from absl import logging

from arbutusvale import errors
from arbutusvale.coordination import answer_fanout
from arbutusvale.coordination import crash_detector
from arbutusvale.coordination import quarantine
from arbutusvale.protocol import callerapi
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports

LEAST_UNREPEATABLE_S = 60.0


class ServerCaller:
    """Hand runs to the one backend server and relay its answers.

    ``window_s`` tells for how long a claim protects its key.
    """

    def __init__(
        self,
        server: ports.BackendServer,
        quarantined: quarantine.Quarantine,
        window_s: Callable[[], float],
    ):
        self.server = server
        self.window_s = window_s
        self.quarantine = quarantined
        self.crashes = crash_detector.CrashDetector(server, quarantined)

    async def call(
        self, run: answer_fanout.Run, in_flight: set[answer_fanout.Run]
    ) -> answer_fanout.Ending:
        """Relay the server's answer; returns how it ended.

        ``in_flight`` are the runs at the server, kept up to date.
        """
        fingerprint = run.fingerprint
        try:
            async with asyncio.timeout(_allow_time(run)):
                async with self.quarantine.take_turn(fingerprint):
                    if self.quarantine.is_quarantined(fingerprint):
                        return answer_fanout.Incomplete(
                            messages.Outcome.QUARANTINED, 'quarantined'
                        )
                    await self._relay(run)
        except errors.ServerUnreachable as error:
            logging.warning(
                'event=server-unreachable cause="%s"', error.problem
            )
            run.server_unreachable = True
            return await self._judge_unreachable(run)
        except errors.ServerBroken as error:
            logging.warning('event=server-broken cause="%s"', error.problem)
            return await self._judge_break(run, in_flight)
        except TimeoutError:
            return await self._time_out(run)
        except asyncio.CancelledError:
            await self.server.cancel(run.submit.request_id)
            raise
        self.quarantine.clear(fingerprint)
        return answer_fanout.Complete()

    async def _relay(self, run: answer_fanout.Run) -> None:
        """Hand the request over and pass the answer's pieces on."""
        submit = run.submit
        request = ports.ServerRequest(
            submit.request_id,
            submit.method,
            submit.path,
            submit.headers,
            submit.body,
            submit.chat,
            submit.priority,
            _allow_time(run),
        )
        run.sent_to_server = True
        async with contextlib.aclosing(self.server.run(request)) as pieces:
            async for piece in pieces:
                match piece:
                    case ports.ServerHead():
                        run.set_head(self._add_window(run, piece))
                    case bytes():
                        await run.add_piece(piece)

    def _add_window(
        self, run: answer_fanout.Run, head: ports.ServerHead
    ) -> ports.ServerHead:
        """Tell on an answer for how long its key is protected."""
        if run.submit.idempotent:
            return head
        window = [callerapi.CLAIM_WINDOW, str(int(self.window_s()))]
        return ports.ServerHead(head.status, [*head.headers, window])

    async def _judge_unreachable(
        self, run: answer_fanout.Run
    ) -> answer_fanout.Ending:
        """End a run that the server never got.

        A suspect may have waited while a copy of it crashed the server.
        """
        not_run = messages.Outcome.NOT_RUN
        if not self.quarantine.is_suspect(run.fingerprint):
            return answer_fanout.Incomplete(not_run, 'server-unreachable')
        await self.crashes.settled()
        if self.quarantine.is_quarantined(run.fingerprint):
            return answer_fanout.Incomplete(
                messages.Outcome.QUARANTINED, 'quarantined'
            )
        return answer_fanout.Incomplete(not_run, crash_detector.CRASHED)

    async def _judge_break(
        self, run: answer_fanout.Run, in_flight: set[answer_fanout.Run]
    ) -> answer_fanout.Ending:
        """End a run whose answer broke off.

        A second crash ends an idempotent request for good, so that no
        router tries it again.
        """
        reason = await self.crashes.judge(run, in_flight)
        if run.submit.idempotent and self.quarantine.is_quarantined(
            run.fingerprint
        ):
            return answer_fanout.Incomplete(
                messages.Outcome.QUARANTINED, reason
            )
        return answer_fanout.Incomplete(messages.Outcome.UNKNOWN, reason)

    async def _time_out(self, run: answer_fanout.Run) -> answer_fanout.Ending:
        """End a run that took too long."""
        if not run.sent_to_server:
            return answer_fanout.Incomplete(
                messages.Outcome.NOT_RUN, 'expired'
            )
        await self.server.cancel(run.submit.request_id)
        return answer_fanout.Incomplete(messages.Outcome.UNKNOWN, 'timeout')


def _allow_time(run: answer_fanout.Run) -> float:
    """Return the seconds that the server may take."""
    if run.submit.idempotent:
        return run.submit.time_left
    return max(run.submit.time_left, LEAST_UNREPEATABLE_S)
