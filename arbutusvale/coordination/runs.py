"""Run requests at the backend server and relay their answers."""

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
from arbutusvale.state import attempts

EXPIRY_INTERVAL_S = 1.0
REATTACH_S = 20.0
MOST_ENDED_RUNS = 512
MOST_ENDED_BYTES = 32 * 1024 * 1024
DEFAULT_ANSWER_RETENTION_S = 3600.0

OnFinished = Callable[[answer_fanout.Run], None]


class RunTable:
    """Hold the runs of one backend server and the attempts on them.

    A run is kept for a bounded time after its end, so that a router whose
    link died can fetch the rest.  ``answer_retention_s`` tells how long the
    answers of keyed requests that may not repeat are kept.
    """

    def __init__(
        self,
        server: ports.BackendServer,
        quarantined: quarantine.Quarantine,
        store: answers.AnswerStore | None = None,
        answer_retention_s: Callable[[], float] = lambda: (
            DEFAULT_ANSWER_RETENTION_S
        ),
        clock: Callable[[], float] = time.monotonic,
    ):
        self.caller = server_call.ServerCaller(
            server, quarantined, answer_retention_s
        )
        self.store = store or answers.AnswerStore(clock=clock)
        self.answer_retention_s = answer_retention_s
        self.clock = clock
        self.runs: dict[str, answer_fanout.Run] = {}
        self.in_flight: set[answer_fanout.Run] = set()
        self.keys: dict[bytes, answer_fanout.Run] = {}
        self.ended: collections.deque[answer_fanout.Run] = collections.deque()
        self.ended_bytes = 0
        self.dead = attempts.AttemptTable(clock)
        self.over = attempts.AttemptTable(clock)
        self.dropped_frames = 0

    def is_known(self, attempt: str) -> bool:
        """Tell whether an attempt was taken here, now or earlier."""
        return attempt in self.runs or attempt in self.over

    def is_dead(self, attempt: str) -> bool:
        """Tell whether an attempt was refused and may never run."""
        return attempt in self.dead

    def mark_dead(self, attempt: str) -> None:
        """Remember that an attempt was refused and may never run."""
        self.dead.add(attempt)

    def find_key(
        self, key: bytes
    ) -> answer_fanout.Run | answers.Answer | None:
        """Return the run in flight or the stored answer of a key."""
        run = self.keys.get(key)
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
        """Hand a request to the server and relay the answer.

        ``on_finished`` is called once, when the server is done with it.
        ``key`` is the scoped key under which others may find the run.
        """
        run = answer_fanout.Run(submit, key, self.clock)
        if key:
            self.keys[key] = run
        self.in_flight.add(run)
        self._follow(run, submit.attempt, link)
        run.task = asyncio.create_task(self._run(run, on_finished))
        return run

    def attach(
        self,
        found: answer_fanout.Run | answers.Answer,
        submit: messages.Submit,
        link: ports.Link,
    ) -> None:
        """Let another attempt have the answer of a run or of the store."""
        match found:
            case answer_fanout.Run():
                run = found
            case answers.Answer():
                run = self._replay(found, submit)
        self._follow(run, submit.attempt, link)

    def resume(
        self, link: ports.Link, attempt: str, next_chunk: int = 0
    ) -> None:
        """Send an attempt's answer again from ``next_chunk`` on."""
        run = self.runs.get(attempt)
        if run is not None and run.attach(attempt, link, next_chunk):
            return
        if run is None and attempt not in self.over:
            self.mark_dead(attempt)
        self._send_lost(link, attempt, 'answer-not-held')

    def apply_credit(self, message: messages.Credit) -> None:
        """Free acknowledged chunks and let their run go on."""
        run = self.runs.get(message.attempt)
        if run is None:
            self.dropped_frames += 1
            return
        run.acknowledge(message.attempt, message.next_chunk)

    def cancel(self, attempt: str) -> None:
        """Withdraw an attempt; stops a run that nobody else waits for.

        A request that may not repeat runs to its end all the same.
        """
        run = self.runs.pop(attempt, None)
        if run is None:
            self.dropped_frames += 1
            return
        self.over.add(attempt)
        run.remove(attempt)
        self._stop_unwanted(run)

    def link_closed(self, link: ports.Link) -> None:
        """Keep the attempts of a closed link until they reattach."""
        for run in set(self.runs.values()):
            run.detach(link)

    async def run(self) -> None:
        """Drop what is past its time, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.expire()

    def expire(self) -> None:
        """Drop lost attempts and ended runs that are past their time."""
        limit = self.clock() - REATTACH_S
        for attempt, run in list(self.runs.items()):
            stream = run.subscribers[attempt]
            if stream.link is None and stream.detached_at < limit:
                logging.info('event=attempt-lost attempt=%s', attempt)
                self._forget(attempt, run)
                self._stop_unwanted(run)
        while self.ended and self._is_past(self.ended[0], limit):
            self._drop_ended(self.ended.popleft())

    async def wait_for_copies(
        self, fingerprint: bytes, timeout_s: float
    ) -> None:
        """Wait until no run of this request is in flight."""
        copies = [
            run.task
            for run in self.in_flight
            if run.fingerprint == fingerprint and run.task is not None
        ]
        if copies:
            await asyncio.wait(copies, timeout=timeout_s)

    async def drain(self) -> None:
        """Wait until no run is in flight."""
        while self.in_flight:
            tasks = [run.task for run in self.in_flight if run.task]
            await asyncio.wait(tasks)

    def _follow(
        self, run: answer_fanout.Run, attempt: str, link: ports.Link
    ) -> None:
        """Add an attempt to a run."""
        if not run.attach(attempt, link, 0):
            self.over.add(attempt)
            self._send_lost(link, attempt, 'answer-not-held')
            return
        self.runs[attempt] = run

    def _replay(
        self, answer: answers.Answer, submit: messages.Submit
    ) -> answer_fanout.Run:
        """Make an ended run of a stored answer."""
        run = answer_fanout.Run(submit, b'', self.clock)
        run.set_head(ports.ServerHead(answer.status, answer.headers))
        for chunk in answer.chunks:
            run.buffer.add(chunk)
        run.finish(answer_fanout.Complete())
        self._keep_ended(run)
        return run

    async def _run(
        self, run: answer_fanout.Run, on_finished: OnFinished
    ) -> None:
        """Run a request to its end, whatever that is."""
        ending: answer_fanout.Ending = answer_fanout.Incomplete(
            messages.Outcome.UNKNOWN, 'cancelled'
        )
        try:
            ending = await self.caller.call(run, self.in_flight)
        finally:
            self.in_flight.discard(run)
            run.finish(ending)
            self._settle(run)
            on_finished(run)

    def _settle(self, run: answer_fanout.Run) -> None:
        """Keep an ended run's answer for those who may ask again."""
        answer = run.make_answer()
        if answer is not None and run.key and not run.submit.idempotent:
            self.store.put(run.key, answer, self.answer_retention_s())
        if answer is None:
            self._drop_key(run)
        self._keep_ended(run)

    def _keep_ended(self, run: answer_fanout.Run) -> None:
        """Keep an ended run for reattaching routers, within bounds."""
        self.ended.append(run)
        run.kept_bytes = run.buffer.held_bytes
        self.ended_bytes += run.kept_bytes
        while self._has_too_many_ended():
            self._drop_ended(self.ended.popleft())

    def _has_too_many_ended(self) -> bool:
        """Tell whether the oldest ended run must go."""
        if len(self.ended) > MOST_ENDED_RUNS:
            return True
        return self.ended_bytes > MOST_ENDED_BYTES and len(self.ended) > 1

    @staticmethod
    def _is_past(run: answer_fanout.Run, limit: float) -> bool:
        """Tell whether an ended run is past its time and nobody reads."""
        if run.ended_at >= limit:
            return False
        return all(
            stream.end_sent or stream.link is None
            for stream in run.subscribers.values()
        )

    def _drop_ended(self, run: answer_fanout.Run) -> None:
        """Forget an ended run and its attempts."""
        self.ended_bytes -= run.kept_bytes
        self._drop_key(run)
        for attempt in list(run.subscribers):
            self._forget(attempt, run)

    def _forget(self, attempt: str, run: answer_fanout.Run) -> None:
        """Forget an attempt, but for its id."""
        self.runs.pop(attempt, None)
        self.over.add(attempt)
        run.remove(attempt)

    def _drop_key(self, run: answer_fanout.Run) -> None:
        """Let a run no longer be found by its key."""
        if self.keys.get(run.key) is run:
            del self.keys[run.key]

    def _stop_unwanted(self, run: answer_fanout.Run) -> None:
        """Cancel a run without readers at the server, if it may repeat."""
        if run.subscribers or run.ending is not None:
            return
        if not run.submit.idempotent:
            return
        self._drop_key(run)
        run.task.cancel()

    def _send_lost(self, link: ports.Link, attempt: str, reason: str) -> None:
        """Tell a router that an attempt's answer is not held here."""
        with contextlib.suppress(errors.LinkClosed):
            link.send(
                messages.Failed(
                    attempt, messages.Outcome.UNKNOWN.value, reason, 0.0
                )
            )
