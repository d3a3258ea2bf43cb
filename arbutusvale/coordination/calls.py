"""Handling of one caller's request, from admission to the last byte."""

from collections.abc import AsyncIterator
import dataclasses
import time

from absl import logging

from arbutusvale.coordination import answer_events
from arbutusvale.coordination import attempts
from arbutusvale.coordination import caller_request
from arbutusvale.coordination import failover
from arbutusvale.coordination import failure_handling
from arbutusvale.coordination import hedging
from arbutusvale.coordination import limits
from arbutusvale.coordination import router_context
from arbutusvale.protocol import bundle
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import messages

_RETRY_AFTER_S = 1.0
# While a pool is down, free retries may add 1 % to its requests.
_FREE_RETRY_SHARE = 0.01
_UNKNOWN = messages.Outcome.UNKNOWN.value


class Call:
    """One caller's request in progress; ``events`` may be read once."""

    def __init__(
        self,
        context: router_context.RouterContext,
        request: caller_request.CallerRequest,
    ):
        self.context = context
        self.request = request
        self.resolved: caller_request.ResolvedRequest | None = None
        self.attempt: attempts.Attempt | None = None

    @property
    def cancellable(self) -> bool:
        """Whether the request may be cancelled when its caller hangs up."""
        return self.resolved is None or self.resolved.idempotent

    async def events(self) -> AsyncIterator[answer_events.Event]:
        """Yield the events of the answer."""
        context = self.context
        in_force = context.get_head()
        if in_force is None:
            yield not_ready_error()
            return
        current_bundle = in_force.bundle
        resolved = caller_request.resolve(self.request, current_bundle)
        if isinstance(resolved, caller_api.ErrorResponse):
            context.metrics.record_error(resolved)
            yield resolved
            return
        admission = context.limits.admit(
            resolved.organisation, resolved.organisation_config
        )
        if isinstance(admission, limits.LimitExceeded):
            error = _limit_error(admission, resolved)
            context.metrics.record_error(error)
            yield error
            return
        self.resolved = resolved
        context.retry_budget.add_request(current_bundle.limits.retry_share)
        context.free_retry_budget.add_request(_FREE_RETRY_SHARE)
        try:
            async for event in self._run_and_relay(resolved, current_bundle):
                yield event
        finally:
            context.limits.release(resolved.organisation)
            if self.attempt is not None:
                self.attempt.close(cancel=resolved.idempotent)

    async def _run_and_relay(
        self,
        resolved: caller_request.ResolvedRequest,
        current_bundle: bundle.Bundle,
    ) -> AsyncIterator[answer_events.Event]:
        """Run the request at a server and yield its answer."""
        context = self.context
        started = time.monotonic()
        policy = current_bundle.pools[resolved.pool].policy
        candidates = context.placement.list_candidates(resolved, policy)
        answer = await hedging.run_hedged(context, resolved, candidates)
        if isinstance(answer, caller_api.ErrorResponse):
            context.metrics.record_error(answer)
            yield answer
            return
        self.attempt = answer.attempt
        self.attempt.extended_reattach = True
        first_byte_s = time.monotonic() - started
        headers = _build_headers(answer, resolved, current_bundle)
        yield answer_events.Head(answer.head.status, headers)
        for data in answer.data:
            yield answer_events.Data(data)
        answer.attempt.acknowledge()
        async for event in self._relay(answer, resolved):
            yield event
        if answer.ended:
            total_s = time.monotonic() - started
            context.metrics.record_answer(
                resolved.service, first_byte_s, total_s
            )
            if resolved.idempotent and not resolved.chat:
                context.metrics.record_hedgeable(resolved.service, total_s)

    async def _relay(
        self,
        answer: failover.OpenAnswer,
        resolved: caller_request.ResolvedRequest,
    ) -> AsyncIterator[answer_events.Event]:
        """Yield the rest of an answer that has started."""
        attempt = answer.attempt
        while not answer.ended:
            event = await attempt.next_event(resolved.deadline)
            match event:
                case messages.Chunk():
                    yield answer_events.Data(event.data)
                    attempt.acknowledge()
                case messages.End():
                    answer.ended = True
                case messages.Accepted():
                    continue
                case _:
                    yield self._abort(attempt, event, resolved)
                    return
        self.attempt = None
        attempt.close(cancel=False)
        yield answer_events.End()

    def _abort(
        self,
        attempt: attempts.Attempt,
        event: attempts.Event,
        resolved: caller_request.ResolvedRequest,
    ) -> answer_events.Aborted:
        """Abort an answer whose rest is lost; the outcome is unknown."""
        step = failure_handling.decide_next_step(event, resolved)
        error = dataclasses.replace(step.error, outcome=_UNKNOWN)
        logging.warning(
            'event=answer-broken request=%s vm=%s cause=%s',
            resolved.request.request_id,
            attempt.vm,
            error.code,
        )
        self.context.outlier_detector.record_failure(attempt.vm)
        self.context.metrics.record_error(error)
        return answer_events.Aborted(error)


def _build_headers(
    answer: failover.OpenAnswer,
    resolved: caller_request.ResolvedRequest,
    current_bundle: bundle.Bundle,
) -> list:
    """Return the server's headers, with the router's taking precedence."""
    fleet_headers = {
        caller_api.OUTCOME: messages.Outcome.ANSWERED.value,
        caller_api.REQUEST_ID: resolved.request.request_id,
        caller_api.SERVED_BY: answer.attempt.vm,
    }
    if not resolved.idempotent:
        window_s = _claim_window_s(answer.head, current_bundle)
        fleet_headers[caller_api.CLAIM_WINDOW] = str(window_s)
    overridden = {name.lower() for name in fleet_headers}
    server_headers = [
        list(pair)
        for pair in answer.head.headers
        if pair[0].lower() not in overridden
    ]
    return server_headers + [list(pair) for pair in fleet_headers.items()]


def _claim_window_s(head: messages.Head, current_bundle: bundle.Bundle) -> int:
    """Return for how many seconds the idempotency key is protected.

    This is the bundle's claim window, limited to the retention of the log
    service, which the sidecar reports in its header.
    """
    window_s = int(current_bundle.limits.claim_window_s)
    for name, value in head.headers:
        if name.lower() == caller_api.CLAIM_WINDOW.lower() and value.isdigit():
            window_s = min(window_s, int(value))
    return window_s


def not_ready_error() -> caller_api.ErrorResponse:
    """Return the error for a router that has no bundle yet."""
    return caller_api.ErrorResponse(
        503,
        'not_ready',
        'This router takes no requests now. Send again to another.',
        messages.Outcome.NOT_RUN.value,
        _RETRY_AFTER_S,
    )


def _limit_error(
    exceeded: limits.LimitExceeded, resolved: caller_request.ResolvedRequest
) -> caller_api.ErrorResponse:
    """Return the error for an organisation that has reached a limit."""
    return caller_api.ErrorResponse(
        429,
        f'{exceeded.limit}_limit',
        f'The {exceeded.limit} limit of {resolved.organisation} is reached. '
        'Send again later.',
        failure_handling.outcome_when_unsent(resolved),
        exceeded.retry_after,
    )
