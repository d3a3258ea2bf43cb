"""Calls to the backend server, and how each call ended."""

import asyncio
from collections.abc import Callable
import contextlib

from absl import logging

from arbutusvale import errors
from arbutusvale.coordination import answer_fanout
from arbutusvale.coordination import crash_detector
from arbutusvale.coordination import event_stream
from arbutusvale.coordination import quarantine
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import rate_limit

MIN_NON_IDEMPOTENT_TIMEOUT_S = 60.0
RATE_LIMIT_HEADER = 'server-limit'
MAX_LOGGED_VALUE_CHARS = 80
_EVENT_STREAM = 'text/event-stream'
_SUCCESSES = range(200, 300)


class ServerCaller:
    """Client that runs requests at the one backend server.

    ``claim_window_s`` returns for how many seconds a claim protects its key.
    """

    def __init__(
        self,
        server: ports.BackendServer,
        request_quarantine: quarantine.Quarantine,
        claim_window_s: Callable[[], float],
        server_rate: rate_limit.RateLimit,
    ):
        self.server = server
        self.server_rate = server_rate
        self.claim_window_s = claim_window_s
        self.quarantine = request_quarantine
        self.crash_detector = crash_detector.CrashDetector(
            server, request_quarantine
        )

    async def call(
        self, run: answer_fanout.Run, in_flight: set[answer_fanout.Run]
    ) -> answer_fanout.Ending:
        """Call the server and relay its answer; returns how the run ended.

        ``in_flight`` is the live set of runs at the server.  A suspect waits
        for its turn, as suspects run one at a time.
        """
        fingerprint = run.fingerprint
        try:
            async with asyncio.timeout(_get_timeout_s(run)):
                async with self.quarantine.lock_if_suspect(fingerprint):
                    if self.quarantine.blocks(run.submit):
                        return answer_fanout.Incomplete(
                            messages.Outcome.QUARANTINED, 'quarantined'
                        )
                    is_whole = await self._relay(run)
        except errors.ServerUnreachable as error:
            logging.warning(
                'event=server-unreachable cause="%s"', error.problem
            )
            run.server_unreachable = True
            return await self._classify_unreachable(run)
        except errors.ServerResponseError as error:
            logging.warning('event=server-broken cause="%s"', error.problem)
            return await self._classify_broken(run, in_flight)
        except TimeoutError:
            return await self._end_timed_out(run)
        except asyncio.CancelledError:
            if run.sent_to_server:
                self.crash_detector.watch(run)
            await self.server.cancel(run.submit.request_id)
            raise
        if not is_whole:
            logging.warning('event=server-broken cause="event broken off"')
            return await self._classify_broken(run, in_flight)
        if run.head is not None and run.head.status in _SUCCESSES:
            self.quarantine.clear(run.submit)
        return answer_fanout.Complete()

    async def _relay(self, run: answer_fanout.Run) -> bool:
        """Send the request to the server and add the answer to the run.

        Return False if the answer is an event stream that ends inside an
        event, or has one that is too long; that event isn't added.
        """
        submit = run.submit
        request = ports.ServerRequest(
            submit.request_id,
            submit.method,
            submit.path,
            submit.headers,
            submit.body,
            submit.chat,
            submit.priority,
            _get_timeout_s(run),
        )
        run.sent_to_server = True
        sent_at = self.server_rate.clock()
        event_buffer: event_stream.EventBuffer | None = None
        async with contextlib.aclosing(self.server.run(request)) as pieces:
            async for piece in pieces:
                match piece:
                    case ports.ServerResponseHead():
                        self._observe_rate(piece, sent_at)
                        run.set_head(self._add_claim_window(run, piece))
                        if _is_event_stream(piece):
                            event_buffer = event_stream.EventBuffer(None)
                    case bytes() if event_buffer is not None:
                        if complete := event_buffer.feed(piece):
                            await run.add_piece(complete)
                        if event_buffer.is_unusable:
                            return False
                    case bytes():
                        await run.add_piece(piece)
        return event_buffer is None or not event_buffer.is_inside_event

    def _observe_rate(
        self, head: ports.ServerResponseHead, sent_at: float
    ) -> None:
        """Record the rate that an answer names, or that it names none."""
        values = [
            value
            for name, value in head.headers
            if name.lower() == RATE_LIMIT_HEADER
        ]
        rate = rate_limit.parse_rate(values[-1]) if values else None
        if values and rate is None:
            logging.warning(
                'event=limit-malformed value="%s"',
                values[-1][:MAX_LOGGED_VALUE_CHARS],
            )
            return
        if self.server_rate.observe(rate, sent_at):
            logging.info('event=server-limit rate=%s', rate)

    def _add_claim_window(
        self, run: answer_fanout.Run, head: ports.ServerResponseHead
    ) -> ports.ServerResponseHead:
        """Add a header for how long the key is protected from another run."""
        if run.submit.idempotent:
            return head
        window = [caller_api.CLAIM_WINDOW, str(int(self.claim_window_s()))]
        return ports.ServerResponseHead(head.status, [*head.headers, window])

    async def _classify_unreachable(
        self, run: answer_fanout.Run
    ) -> answer_fanout.Ending:
        """Classify a run that never reached the server.

        A suspect may have waited while a duplicate of it crashed the server.
        """
        not_run = messages.Outcome.NOT_RUN
        if not self.quarantine.is_suspect(run.fingerprint):
            return answer_fanout.Incomplete(not_run, 'server-unreachable')
        await self.crash_detector.wait_until_classified()
        if self.quarantine.blocks(run.submit):
            return answer_fanout.Incomplete(
                messages.Outcome.QUARANTINED, 'quarantined'
            )
        return answer_fanout.Incomplete(not_run, crash_detector.CRASHED)

    async def _classify_broken(
        self, run: answer_fanout.Run, in_flight: set[answer_fanout.Run]
    ) -> answer_fanout.Ending:
        """Classify a run whose connection broke before the answer's end.

        An idempotent request that is quarantined after the crash ends as
        such, so that no router retries it.
        """
        reason = await self.crash_detector.classify(run, in_flight)
        if run.submit.idempotent and self.quarantine.blocks(run.submit):
            return answer_fanout.Incomplete(
                messages.Outcome.QUARANTINED, reason
            )
        return answer_fanout.Incomplete(messages.Outcome.UNKNOWN, reason)

    async def _end_timed_out(
        self, run: answer_fanout.Run
    ) -> answer_fanout.Ending:
        """Cancel a timed-out run; one that still waits its turn never ran."""
        if not run.sent_to_server:
            return answer_fanout.Incomplete(
                messages.Outcome.NOT_RUN, 'expired'
            )
        self.crash_detector.watch(run)
        await self.server.cancel(run.submit.request_id)
        return answer_fanout.Incomplete(messages.Outcome.UNKNOWN, 'timeout')


def _is_event_stream(head: ports.ServerResponseHead) -> bool:
    """Return whether the body consists of events, not encoded otherwise."""
    values = {name.lower(): value for name, value in head.headers}
    if values.get('content-encoding', 'identity').lower() != 'identity':
        return False
    return values.get('content-type', '').lower().startswith(_EVENT_STREAM)


def _get_timeout_s(run: answer_fanout.Run) -> float:
    """Return the seconds that the server may take."""
    if run.submit.idempotent:
        return run.submit.time_left
    return max(run.submit.time_left, MIN_NON_IDEMPOTENT_TIMEOUT_S)
