"""Failover of a request between sidecars until one answers."""

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
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import messages

MAX_HOPS = 3
_MAX_CATCH_UPS = 2
_MAX_SAME_VM_RETRIES = 2
_BUFFER_BYTES = 256 * 1024
_UNKNOWN = messages.Outcome.UNKNOWN.value
_QUARANTINED = messages.Outcome.QUARANTINED.value
_EXCLUDING_REFUSALS = frozenset(
    {
        messages.Refusal.LEAVING.value,
        messages.Refusal.SERVER_DOWN.value,
        messages.Refusal.NOT_READY.value,
    }
)
_NO_SERVER_REFUSALS = frozenset(
    {
        messages.Refusal.SERVER_DOWN.value,
        messages.Refusal.NOT_READY.value,
    }
)
_RETRIED_STATUSES = frozenset({500, 502, 503, 504})
_REFUSALS_WITHOUT_HOP = frozenset(
    {
        messages.Refusal.LEAVING.value,
        messages.Refusal.NOT_READY.value,
        messages.Refusal.SERVER_DOWN.value,
        messages.Refusal.STALE_BUNDLE.value,
        messages.Refusal.DEAD_ATTEMPT.value,
    }
)


@dataclasses.dataclass(slots=True)
class OpenAnswer:
    """An answer that has started.

    ``data`` is the body received so far, complete if ``ended``.
    """

    attempt: attempts.Attempt
    head: messages.Head
    data: list[bytes]
    ended: bool


class FailoverLoop:
    """Attempts at one VM after another for one request.

    ``candidates`` may be shared with a hedged loop for the same request.
    Once the request ``may_have_run``, a later "not run" does not replace
    that outcome.  ``beaten_by_hedge`` is set when the hedge was faster.
    """

    def __init__(
        self,
        context: router_context.RouterContext,
        resolved: caller_request.ResolvedRequest,
        candidates: placement.Candidates,
    ):
        self.context = context
        self.resolved = resolved
        self.candidates = candidates
        self.error = failure_handling.no_server_error(resolved)
        self.may_have_run = False
        self.beaten_by_hedge = False
        self.hops = 0
        self.charged_retries = 0
        self.catch_ups = 0
        self.same_vm_retries = 0
        self.was_redirected = False

    async def run(self) -> OpenAnswer | caller_api.ErrorResponse:
        """Send attempts until one is answered or no retry is allowed."""
        while self.hops < MAX_HOPS:
            choice = self.candidates.pop_next()
            if choice is None:
                break
            self._log_choice(choice)
            result = await self._send_attempt(choice)
            if isinstance(result, OpenAnswer):
                self._record_answer(result)
                if not await self._charge_error_retry(result):
                    return result
                result.attempt.close(cancel=True)
                self.error = failure_handling.answer_lost_error('server_error')
                self.may_have_run = True
                continue
            step = failure_handling.decide_next_step(result, self.resolved)
            self._record_failure(choice, result)
            self._record_error(result, step)
            if not await self._prepare_next_attempt(choice, result, step):
                break
        return self.error

    async def _charge_error_retry(self, answer: OpenAnswer) -> bool:
        """Return whether to retry after a server error; charges the budget."""
        if answer.head.status not in _RETRIED_STATUSES:
            return False
        return self.resolved.idempotent and await self._charge_retry()

    def _record_error(
        self, result: failure_handling.Failure, step: failure_handling.NextStep
    ) -> None:
        """Update the error to return when no retry is left."""
        outcome = step.error.outcome
        if not self.may_have_run or outcome == _QUARANTINED:
            self.error = step.error
        if outcome == _UNKNOWN and not isinstance(
            result, failure_handling.NotSent
        ):
            self.may_have_run = True

    async def _prepare_next_attempt(
        self,
        choice: placement.Choice,
        result: failure_handling.Failure,
        step: failure_handling.NextStep,
    ) -> bool:
        """Prepare the next attempt; False when there is none."""
        match result:
            case messages.Redirect(vm=vm):
                self.candidates.prefer_redirect(vm)
                # Only the last hop's redirect may add one more hop.
                if self.was_redirected or self.hops + 1 < MAX_HOPS:
                    self.hops += 1
                self.was_redirected = True
            case messages.Refused(alternatives=alternatives, reason=reason):
                self.candidates.prefer_alternatives(choice.vm, alternatives)
                self.hops += reason not in _REFUSALS_WITHOUT_HOP
                if (
                    reason == messages.Refusal.BUSY
                    or reason in _EXCLUDING_REFUSALS
                ):
                    self.candidates.requeue_busy()
            case messages.Failed():
                self.hops = 0
        match step:
            case failure_handling.RetryAfterBundleUpdate():
                return await self._catch_up(choice)
            case failure_handling.RetrySameVm():
                self.same_vm_retries += 1
                self.candidates.requeue(choice)
                return self.same_vm_retries <= _MAX_SAME_VM_RETRIES
            case failure_handling.RetryElsewhere(free=free):
                if free or self._charge_free_retry(result):
                    return True
                return await self._charge_retry()
        return False

    def _charge_free_retry(self, result: failure_handling.Failure) -> bool:
        """Return whether to retry free of charge past a VM without a server.

        The failed attempt put no load on a server, so it is not charged to
        the retry budget.  VMs in back-off are not tried this way.  Requests
        that start before the first refusal is known share a small budget of
        their own, so that an outage of the pool cannot multiply them.
        """
        match result:
            case failure_handling.NotSent():
                pass
            case messages.Refused(reason=reason) if (
                reason in _NO_SERVER_REFUSALS
            ):
                pass
            case _:
                return False
        next_choice = self.candidates.peek()
        if next_choice is None or self.context.outlier_detector.is_ejected(
            next_choice.vm
        ):
            return False
        if not self.context.free_retry_budget.try_spend():
            return False
        self.context.metrics.retries += 1
        return True

    async def _catch_up(self, choice: placement.Choice) -> bool:
        """Read the newer bundle that a sidecar has, then retry there."""
        self.catch_ups += 1
        if self.catch_ups > _MAX_CATCH_UPS:
            return False
        offset = self.context.get_head().offset
        await self.context.catch_up(offset + 1, choice.vm)
        self.candidates.requeue(choice)
        return True

    async def _charge_retry(self) -> bool:
        """Charge a retry to the budget and wait for its backoff."""
        context = self.context
        self.charged_retries += 1
        attempt_limit = context.get_head().bundle.limits.max_attempts
        if (
            self.charged_retries >= attempt_limit
            or not self.candidates.choices
        ):
            return False
        if not context.retry_budget.try_spend():
            return False
        context.metrics.retries += 1
        delay = retries.backoff_s(self.charged_retries - 1, context.generator)
        await asyncio.sleep(min(delay, max(0.0, self.resolved.time_left)))
        return True

    async def _send_attempt(
        self, choice: placement.Choice
    ) -> OpenAnswer | failure_handling.Failure:
        """Send one attempt and wait until its answer has started."""
        submit = self._build_submit(choice)
        started = time.monotonic()
        try:
            attempt = await self.context.attempts.submit(choice.vm, submit)
        except errors.LinkClosed as error:
            return failure_handling.NotSent(error.problem)
        attempt.extended_reattach = not self.resolved.idempotent
        result = None
        try:
            result = await self._await_answer_start(attempt)
            return result
        finally:
            if result is None and self.beaten_by_hedge:
                self.context.outlier_detector.record_failure(choice.vm)
            if result is None or isinstance(result, OpenAnswer):
                self._record_latency(choice.vm, time.monotonic() - started)
            if not isinstance(result, OpenAnswer):
                attempt.close(cancel=self.resolved.idempotent)

    async def _await_answer_start(
        self, attempt: attempts.Attempt
    ) -> OpenAnswer | failure_handling.Failure:
        """Receive the head and, unless it streams, a short body.

        The body is buffered because an idempotent request can be retried
        elsewhere only until the caller has received a byte.
        """
        head: messages.Head | None = None
        data: list[bytes] = []
        while True:
            event = await attempt.next_event(self.resolved.deadline)
            match event:
                case messages.Accepted(load=load):
                    self.context.placement.record_outstanding(attempt.vm, load)
                case messages.Head():
                    head = event
                case messages.Chunk():
                    data.append(event.data)
                    attempt.acknowledge()
                    if head is not None and self._has_enough_to_start(attempt):
                        return OpenAnswer(attempt, head, data, ended=False)
                case messages.End() if head is not None:
                    return OpenAnswer(attempt, head, data, ended=True)
                case messages.End():
                    return attempts.CorruptAnswer('an end without a head')
                case _:
                    return event

    def _has_enough_to_start(self, attempt: attempts.Attempt) -> bool:
        """Return whether to start the caller's answer."""
        return self.resolved.streams or attempt.received_bytes >= _BUFFER_BYTES

    def _record_answer(self, answer: OpenAnswer) -> None:
        """Record where the request ran and whether the server failed."""
        context = self.context
        vm = answer.attempt.vm
        home = self.candidates.home
        if answer.head.status >= 500:
            context.outlier_detector.record_failure(vm)
            return
        context.outlier_detector.record_success(vm)
        if context.placement.record_run(self.resolved, home, vm):
            placed = messages.Placed(self.resolved.chat, vm)
            context.attempts.send_best_effort(home, placed)

    def _record_latency(self, vm: str, seconds: float) -> None:
        """Record a VM's latency for outlier ejection within its pool."""
        self.context.outlier_detector.record_latency(
            vm, seconds, self.resolved.pool
        )

    def _record_failure(
        self, choice: placement.Choice, result: failure_handling.Failure
    ) -> None:
        """Record a failure against its VM, and the loads it reports."""
        context = self.context
        match result:
            case failure_handling.NotSent() | attempts.SidecarLost():
                self.candidates.exclude(choice.vm)
                context.outlier_detector.record_unreachable(choice.vm)
            case messages.Refused(reason=reason):
                context.placement.record_loads(result.alternatives)
                context.placement.record_outstanding(choice.vm, result.load)
                if reason in _EXCLUDING_REFUSALS:
                    self.candidates.exclude(choice.vm)
                    context.outlier_detector.record_unreachable(choice.vm)
            case messages.Failed() | attempts.CorruptAnswer():
                self.candidates.exclude(choice.vm)
                context.outlier_detector.record_failure(choice.vm)
            case messages.Redirect():
                context.metrics.redirects += 1

    def _build_submit(self, choice: placement.Choice) -> messages.Submit:
        """Build the Submit message of one attempt."""
        resolved = self.resolved
        return messages.Submit(
            attempt=self.context.attempts.next_attempt_id(),
            request_id=resolved.request.request_id,
            organisation=resolved.organisation,
            service=resolved.service,
            method=resolved.request.method,
            path=resolved.path,
            headers=caller_request.forwarded_headers(resolved),
            body=resolved.request.body,
            chat=resolved.chat,
            home=self.candidates.home,
            first_turn=resolved.first_turn,
            key=resolved.key,
            idempotent=resolved.idempotent,
            fingerprint=resolved.fingerprint,
            time_left=max(0.0, resolved.time_left),
            priority=resolved.organisation_config.priority,
            bundle_offset=self.context.get_head().offset,
            hop=self.hops,
            last_hop=self.hops + 1 >= MAX_HOPS,
            redirected=choice.redirected,
            loads=self.context.placement.recent_loads(resolved.pool),
        )

    def _log_choice(self, choice: placement.Choice) -> None:
        """Log a routing decision."""
        resolved = self.resolved
        logging.info(
            'event=placement request=%s organisation=%s service=%s chat=%s '
            'policy=%s candidates=%d choice=%s reason=%s hop=%d',
            resolved.request.request_id,
            resolved.organisation,
            resolved.service,
            resolved.chat[:8] or '-',
            self.candidates.policy,
            self.candidates.total_count,
            choice.vm,
            choice.reason,
            self.hops,
        )
