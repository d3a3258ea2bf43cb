"""Search a server that answers a request."""

import asyncio
import dataclasses
import time

from absl import logging

from arbutusvale import errors
from arbutusvale.coordination import attempts
from arbutusvale.coordination import caller_request
from arbutusvale.coordination import failure_handling
from arbutusvale.coordination import placement
from arbutusvale.coordination import retries
from arbutusvale.coordination import router_context
from arbutusvale.protocol import callerapi
from arbutusvale.protocol import messages

MAX_HOPS = 3
_MAX_CATCH_UPS = 2
_MAX_REPEATS = 2
_BUFFER_BYTES = 256 * 1024
_UNKNOWN = messages.Outcome.UNKNOWN.value
_QUARANTINED = messages.Outcome.QUARANTINED.value
_UNUSABLE = frozenset(
    {
        messages.Refusal.LEAVING.value,
        messages.Refusal.SERVER_DOWN.value,
        messages.Refusal.NOT_READY.value,
    }
)
_SERVERLESS = frozenset(
    {
        messages.Refusal.SERVER_DOWN.value,
        messages.Refusal.NOT_READY.value,
    }
)
_RETRIED_STATUSES = frozenset({500, 502, 503, 504})
_UNHOPPED = frozenset(
    {
        messages.Refusal.LEAVING.value,
        messages.Refusal.NOT_READY.value,
        messages.Refusal.SERVER_DOWN.value,
        messages.Refusal.STALE_BUNDLE.value,
        messages.Refusal.DEAD_ATTEMPT.value,
    }
)


@dataclasses.dataclass(slots=True)
class Opened:
    """Hold an answer that has begun.

    ``data`` is what arrived so far; ``ended`` says that this is all.
    """

    attempt: attempts.Attempt
    head: messages.Head
    data: list[bytes]
    ended: bool


class Search:
    """Try servers in turn for one request.

    ``candidates`` may be shared with another search for the same request.
    Once the request ``may_have_run``, no later "not run" is believed.
    ``overtaken`` says that a later search for it was faster.
    """

    def __init__(
        self,
        parts: router_context.RouterContext,
        work: caller_request.ResolvedRequest,
        candidates: placement.Candidates,
    ):
        self.context = parts
        self.work = work
        self.candidates = candidates
        self.error = failure_handling.no_server(work)
        self.may_have_run = False
        self.overtaken = False
        self.hops = 0
        self.tries = 0
        self.catch_ups = 0
        self.repeats = 0
        self.redirected = False

    async def run(self) -> Opened | callerapi.ErrorAnswer:
        """Try servers until one answers or none may be tried."""
        while self.hops < MAX_HOPS:
            choice = self.candidates.take()
            if choice is None:
                break
            self._log_choice(choice)
            result = await self._try(choice)
            if isinstance(result, Opened):
                self._note_answer(result)
                if not await self._may_retry_error(result):
                    return result
                result.attempt.end(stop=True)
                self.error = failure_handling.broken('server_error')
                self.may_have_run = True
                continue
            step = failure_handling.judge(result, self.work)
            self._note_failure(choice, result)
            self._note_error(result, step)
            if not await self._go_on(choice, result, step):
                break
        return self.error

    async def _may_retry_error(self, opened: Opened) -> bool:
        """Tell whether to try an answer with a server's error elsewhere."""
        if opened.head.status not in _RETRIED_STATUSES:
            return False
        return self.work.idempotent and await self._take_retry()

    def _note_error(
        self, result: failure_handling.Failure, step: failure_handling.Step
    ) -> None:
        """Keep the error that is the answer when no try is left."""
        outcome = step.error.outcome
        if not self.may_have_run or outcome == _QUARANTINED:
            self.error = step.error
        if outcome == _UNKNOWN and not isinstance(
            result, failure_handling.Unsent
        ):
            self.may_have_run = True

    async def _go_on(
        self,
        choice: placement.Choice,
        result: failure_handling.Failure,
        step: failure_handling.Step,
    ) -> bool:
        """Prepare the next try; False when there is none."""
        match result:
            case messages.Redirect(vm=vm):
                self.candidates.redirect(vm)
                # Only the last hop's redirect may add one more hop.
                if self.redirected or self.hops + 1 < MAX_HOPS:
                    self.hops += 1
                self.redirected = True
            case messages.Refused(alternatives=alternatives, reason=reason):
                self.candidates.prefer(choice.vm, alternatives)
                self.hops += reason not in _UNHOPPED
                if reason == messages.Refusal.BUSY or reason in _UNUSABLE:
                    self.candidates.return_busy()
            case messages.Failed():
                self.hops = 0
        match step:
            case failure_handling.CatchUp():
                return await self._catch_up(choice)
            case failure_handling.Again():
                self.repeats += 1
                self.candidates.again(choice)
                return self.repeats <= _MAX_REPEATS
            case failure_handling.Elsewhere(free=free):
                if free or self._pass_over(result):
                    return True
                return await self._take_retry()
        return False

    def _pass_over(self, result: failure_handling.Failure) -> bool:
        """Tell whether to go on at no charge after a VM without a server.

        No server had work of it.  A VM in its back-off is not tried this
        way, and requests that start before the first refusal is known share
        a small budget, so that an outage of the pool can't multiply them.
        """
        match result:
            case failure_handling.Unsent():
                pass
            case messages.Refused(reason=reason) if reason in _SERVERLESS:
                pass
            case _:
                return False
        following = self.candidates.peek()
        if following is None or self.context.outlier_detector.is_ejected(
            following.vm
        ):
            return False
        if not self.context.free_retry_budget.try_spend():
            return False
        self.context.measures.retries += 1
        return True

    async def _catch_up(self, choice: placement.Choice) -> bool:
        """Come up to the newer bundle of a sidecar and try it again."""
        self.catch_ups += 1
        if self.catch_ups > _MAX_CATCH_UPS:
            return False
        offset = self.context.get_head().offset
        await self.context.catch_up(offset + 1, choice.vm)
        self.candidates.again(choice)
        return True

    async def _take_retry(self) -> bool:
        """Charge a retry to the budget and wait before it."""
        parts = self.context
        self.tries += 1
        most = parts.get_head().bundle.limits.max_attempts
        if self.tries >= most or not self.candidates.choices:
            return False
        if not parts.retry_budget.try_spend():
            return False
        parts.measures.retries += 1
        delay = retries.backoff_s(self.tries - 1, parts.generator)
        await asyncio.sleep(min(delay, max(0.0, self.work.time_left)))
        return True

    async def _try(
        self, choice: placement.Choice
    ) -> Opened | failure_handling.Failure:
        """Send one attempt and wait until its answer has begun."""
        submit = self._make_submit(choice)
        started = time.monotonic()
        try:
            attempt = await self.context.attempts.submit(choice.vm, submit)
        except errors.LinkClosed as error:
            return failure_handling.Unsent(error.problem)
        attempt.patient = not self.work.idempotent
        result = None
        try:
            result = await self._collect(attempt)
            return result
        finally:
            if result is None and self.overtaken:
                self.context.outlier_detector.record_failure(choice.vm)
            if result is None or isinstance(result, Opened):
                self._note_latency(choice.vm, time.monotonic() - started)
            if not isinstance(result, Opened):
                attempt.end(stop=self.work.idempotent)

    async def _collect(
        self, attempt: attempts.Attempt
    ) -> Opened | failure_handling.Failure:
        """Collect the head and, unless it streams, a short body.

        Until the caller has seen a byte an idempotent request may be
        tried elsewhere.
        """
        head: messages.Head | None = None
        data: list[bytes] = []
        while True:
            event = await attempt.next(self.work.deadline)
            match event:
                case messages.Accepted(load=load):
                    self.context.placement.record_outstanding(attempt.vm, load)
                case messages.Head():
                    head = event
                case messages.Chunk():
                    data.append(event.data)
                    attempt.acknowledge()
                    if head is not None and self._is_enough(attempt):
                        return Opened(attempt, head, data, ended=False)
                case messages.End() if head is not None:
                    return Opened(attempt, head, data, ended=True)
                case messages.End():
                    return attempts.Corrupt('an end without a head')
                case _:
                    return event

    def _is_enough(self, attempt: attempts.Attempt) -> bool:
        """Tell whether to begin the caller's answer."""
        return self.work.streams or attempt.received_bytes >= _BUFFER_BYTES

    def _note_answer(self, opened: Opened) -> None:
        """Remember where the request ran and how the server did."""
        parts = self.context
        vm = opened.attempt.vm
        home = self.candidates.home
        if opened.head.status >= 500:
            parts.outlier_detector.record_failure(vm)
            return
        parts.outlier_detector.record_success(vm)
        if parts.placement.record_run(self.work, home, vm):
            placed = messages.Placed(self.work.chat, vm)
            parts.attempts.send_aside(home, placed)

    def _note_latency(self, vm: str, seconds: float) -> None:
        """Compare a server's speed with that of its pool mates."""
        self.context.outlier_detector.record_latency(
            vm, seconds, self.work.pool
        )

    def _note_failure(
        self, choice: placement.Choice, result: failure_handling.Failure
    ) -> None:
        """Remember what a failure tells of its VM."""
        parts = self.context
        match result:
            case failure_handling.Unsent() | attempts.Lost():
                self.candidates.exclude(choice.vm)
                parts.outlier_detector.record_unreachable(choice.vm)
            case messages.Refused(reason=reason):
                parts.placement.record_loads(result.alternatives)
                parts.placement.record_outstanding(choice.vm, result.load)
                if reason in _UNUSABLE:
                    self.candidates.exclude(choice.vm)
                    parts.outlier_detector.record_unreachable(choice.vm)
            case messages.Failed() | attempts.Corrupt():
                self.candidates.exclude(choice.vm)
                parts.outlier_detector.record_failure(choice.vm)
            case messages.Redirect():
                parts.measures.redirects += 1

    def _make_submit(self, choice: placement.Choice) -> messages.Submit:
        """Build the Submit of one attempt."""
        work = self.work
        return messages.Submit(
            attempt=self.context.attempts.next_name(),
            request_id=work.request.request_id,
            organisation=work.organisation,
            service=work.service,
            method=work.request.method,
            path=work.path,
            headers=caller_request.passed_headers(work),
            body=work.request.body,
            chat=work.chat,
            home=self.candidates.home,
            first_turn=work.first_turn,
            key=work.key,
            idempotent=work.idempotent,
            fingerprint=work.fingerprint,
            time_left=max(0.0, work.time_left),
            priority=work.grant.priority,
            bundle_offset=self.context.get_head().offset,
            hop=self.hops,
            last_hop=self.hops + 1 >= MAX_HOPS,
            redirected=choice.redirected,
            loads=self.context.placement.recent_loads(work.pool),
        )

    def _log_choice(self, choice: placement.Choice) -> None:
        """Write the one log line of a routing decision."""
        work = self.work
        logging.info(
            'event=placement request=%s organisation=%s service=%s chat=%s '
            'policy=%s candidates=%d choice=%s reason=%s hop=%d',
            work.request.request_id,
            work.organisation,
            work.service,
            work.chat[:8] or '-',
            self.candidates.policy,
            self.candidates.weighed,
            choice.vm,
            choice.reason,
            self.hops,
        )
