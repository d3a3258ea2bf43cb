"""Table of the runs of requests at the backend server."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import time

from absl import logging

from arbutusvale import errors
from arbutusvale.coordination import answer_fanout
from arbutusvale.coordination import quarantine
from arbutusvale.coordination import server_call
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import answers
from arbutusvale.state import finished_attempts
from arbutusvale.state import rate_limit

EXPIRY_INTERVAL_S = 1.0
REATTACH_TIMEOUT_S = 20.0
MAX_ENDED_RUNS = 512
MAX_ENDED_BYTES = 32 * 1024 * 1024
DEFAULT_ANSWER_RETENTION_S = 3600.0

OnFinished = Callable[[answer_fanout.Run], None]


class RunTable:
    """Runs of one backend server, by attempt and by idempotency key.

    A run is one execution of a request; several attempts may receive its
    answer.  It is kept for a bounded time after its end, so that a router
    whose link broke can fetch the rest.  ``answer_retention_s`` returns how
    long the answers of non-idempotent requests with a key are stored.
    """

    def __init__(
        self,
        server: ports.BackendServer,
        request_quarantine: quarantine.Quarantine,
        store: answers.AnswerStore | None = None,
        answer_retention_s: Callable[[], float] = lambda: (
            DEFAULT_ANSWER_RETENTION_S
        ),
        clock: Callable[[], float] = time.monotonic,
        server_rate: rate_limit.RateLimit | None = None,
    ):
        self.server_caller = server_call.ServerCaller(
            server,
            request_quarantine,
            answer_retention_s,
            server_rate or rate_limit.RateLimit(clock),
        )
        self.store = store or answers.AnswerStore(clock=clock)
        self.answer_retention_s = answer_retention_s
        self.clock = clock
        self.runs: dict[str, answer_fanout.Run] = {}
        self.in_flight: set[answer_fanout.Run] = set()
        self.runs_by_key: dict[bytes, answer_fanout.Run] = {}
        self.ended: collections.deque[answer_fanout.Run] = collections.deque()
        self.ended_bytes = 0
        self.dead_attempts = finished_attempts.FinishedAttempts(clock)
        self.finished_attempts = finished_attempts.FinishedAttempts(clock)
        self.dropped_frames = 0

    def is_known(self, attempt: str) -> bool:
        """Return whether an attempt has a run here or has ended here."""
        return attempt in self.runs or attempt in self.finished_attempts

    def is_dead(self, attempt: str) -> bool:
        """Return whether an attempt was refused and may never run here."""
        return attempt in self.dead_attempts

    def mark_dead(self, attempt: str) -> None:
        """Bar an attempt from ever running here, as it was refused."""
        self.dead_attempts.add(attempt)

    def find_by_key(
        self, key: bytes
    ) -> answer_fanout.Run | answers.Answer | None:
        """Return a key's run, if all its chunks are kept, or stored answer."""
        run = self.runs_by_key.get(key)
        if run is not None and run.is_whole:
            return run
        return self.store.find(key)

    def start(
        self,
        submit: messages.Submit,
        link: ports.Link,
        on_finished: OnFinished,
        key: bytes = b'',
    ) -> answer_fanout.Run:
        """Send a request to the server and relay the answer.

        ``on_finished`` is called once, when the run has ended.  ``key`` is
        the scoped idempotency key by which re-sends find the run.
        """
        run = answer_fanout.Run(submit, key, self.clock)
        if key:
            self.runs_by_key[key] = run
        self.in_flight.add(run)
        self._add_attempt(run, submit.attempt, link)
        run.task = asyncio.create_task(self._run(run, on_finished))
        return run

    def attach(
        self,
        found: answer_fanout.Run | answers.Answer,
        submit: messages.Submit,
        link: ports.Link,
    ) -> None:
        """Send another attempt the answer of a run or a stored answer."""
        match found:
            case answer_fanout.Run():
                run = found
            case answers.Answer():
                run = self._make_replay(found, submit)
        self._add_attempt(run, submit.attempt, link)

    def resume(
        self, link: ports.Link, attempt: str, next_chunk: int = 0
    ) -> None:
        """Send an attempt's answer over a new link from ``next_chunk`` on."""
        run = self.runs.get(attempt)
        if run is not None and run.attach(attempt, link, next_chunk):
            return
        if run is None and attempt not in self.finished_attempts:
            self.mark_dead(attempt)
        self._send_unknown_outcome(link, attempt, 'answer-not-held')

    def apply_credit(self, message: messages.Credit) -> None:
        """Free acknowledged chunks, which may unblock their run."""
        run = self.runs.get(message.attempt)
        if run is None:
            self.dropped_frames += 1
            return
        run.acknowledge(message.attempt, message.next_chunk)

    def cancel(self, attempt: str) -> None:
        """Cancel an attempt, and its run when no other attempt reads it.

        The run of a non-idempotent request continues to its end.
        """
        run = self.runs.pop(attempt, None)
        if run is None:
            self.dropped_frames += 1
            return
        self.finished_attempts.add(attempt)
        run.remove(attempt)
        self._cancel_if_unread(run)

    def on_link_closed(self, link: ports.Link) -> None:
        """Detach the attempts of a closed link until they reattach."""
        for run in set(self.runs.values()):
            run.detach(link)

    async def run(self) -> None:
        """Expire attempts and ended runs at intervals, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.expire()

    def expire(self) -> None:
        """Drop attempts not reattached in time, and expired ended runs."""
        limit = self.clock() - REATTACH_TIMEOUT_S
        for attempt, run in list(self.runs.items()):
            subscriber = run.subscribers[attempt]
            if subscriber.link is None and subscriber.detached_at < limit:
                logging.info('event=attempt-lost attempt=%s', attempt)
                self._remove_attempt(attempt, run)
                self._cancel_if_unread(run)
        while self.ended and self._is_expired(self.ended[0], limit):
            self._drop_ended(self.ended.popleft())

    async def wait_for_duplicates(
        self, fingerprint: bytes, timeout_s: float
    ) -> None:
        """Wait, within a timeout, until no run of the request is in flight."""
        duplicates = [
            run.task
            for run in self.in_flight
            if run.fingerprint == fingerprint and run.task is not None
        ]
        if duplicates:
            await asyncio.wait(duplicates, timeout=timeout_s)

    async def drain(self) -> None:
        """Wait until no run is in flight."""
        while self.in_flight:
            tasks = [run.task for run in self.in_flight if run.task]
            await asyncio.wait(tasks)

    def _add_attempt(
        self, run: answer_fanout.Run, attempt: str, link: ports.Link
    ) -> None:
        """Attach an attempt to a run; fails it if first chunks were freed."""
        if not run.attach(attempt, link, 0):
            self.finished_attempts.add(attempt)
            self._send_unknown_outcome(link, attempt, 'answer-not-held')
            return
        self.runs[attempt] = run

    def _make_replay(
        self, answer: answers.Answer, submit: messages.Submit
    ) -> answer_fanout.Run:
        """Make an ended run that replays a stored answer."""
        run = answer_fanout.Run(submit, b'', self.clock)
        run.set_head(ports.ServerResponseHead(answer.status, answer.headers))
        for chunk in answer.chunks:
            run.buffer.add(chunk)
        run.finish(answer_fanout.Complete())
        self._retain_ended(run)
        return run

    async def _run(
        self, run: answer_fanout.Run, on_finished: OnFinished
    ) -> None:
        """Run a request to its end, and record how it ended."""
        ending: answer_fanout.Ending = answer_fanout.Incomplete(
            messages.Outcome.UNKNOWN, 'cancelled'
        )
        try:
            ending = await self.server_caller.call(run, self.in_flight)
        finally:
            self.in_flight.discard(run)
            run.finish(ending)
            self._store_answer(run)
            on_finished(run)

    def _store_answer(self, run: answer_fanout.Run) -> None:
        """Store a non-idempotent run's answer by its key, and keep the run."""
        answer = run.make_answer()
        if answer is not None and run.key and not run.submit.idempotent:
            self.store.put(run.key, answer, self.answer_retention_s())
        if answer is None:
            self._remove_key(run)
        self._retain_ended(run)

    def _retain_ended(self, run: answer_fanout.Run) -> None:
        """Keep an ended run for reattaching routers, within the limits."""
        self.ended.append(run)
        run.kept_bytes = run.buffer.buffered_bytes
        self.ended_bytes += run.kept_bytes
        while self._has_too_many_ended():
            self._drop_ended(self.ended.popleft())

    def _has_too_many_ended(self) -> bool:
        """Return whether the oldest ended run must be dropped.

        The newest is kept however large it is.
        """
        if len(self.ended) > MAX_ENDED_RUNS:
            return True
        return self.ended_bytes > MAX_ENDED_BYTES and len(self.ended) > 1

    @staticmethod
    def _is_expired(run: answer_fanout.Run, limit: float) -> bool:
        """Return whether an ended run expired and no router still reads it."""
        if run.ended_at >= limit:
            return False
        return all(
            subscriber.end_sent or subscriber.link is None
            for subscriber in run.subscribers.values()
        )

    def _drop_ended(self, run: answer_fanout.Run) -> None:
        """Drop an ended run and its attempts."""
        self.ended_bytes -= run.kept_bytes
        self._remove_key(run)
        for attempt in list(run.subscribers):
            self._remove_attempt(attempt, run)

    def _remove_attempt(self, attempt: str, run: answer_fanout.Run) -> None:
        """Drop an attempt; its id stays known."""
        self.runs.pop(attempt, None)
        self.finished_attempts.add(attempt)
        run.remove(attempt)

    def _remove_key(self, run: answer_fanout.Run) -> None:
        """Remove a run from the index by key."""
        if self.runs_by_key.get(run.key) is run:
            del self.runs_by_key[run.key]

    def _cancel_if_unread(self, run: answer_fanout.Run) -> None:
        """Cancel an idempotent run that no attempt reads."""
        if run.subscribers or run.ending is not None:
            return
        if not run.submit.idempotent:
            return
        self._remove_key(run)
        run.task.cancel()

    def _send_unknown_outcome(
        self, link: ports.Link, attempt: str, reason: str
    ) -> None:
        """Fail an attempt whose answer is not kept here: outcome unknown."""
        with contextlib.suppress(errors.LinkClosed):
            link.send(
                messages.Failed(
                    attempt, messages.Outcome.UNKNOWN.value, reason, 0.0
                )
            )
