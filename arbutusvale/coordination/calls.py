"""Answer one caller: admit, open an answer and relay it."""

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
from arbutusvale.protocol import callerapi
from arbutusvale.protocol import messages

_RETRY_AFTER_S = 1.0
# A pool that is out may add a hundredth of its requests in free passes.
_PASS_SHARE = 0.01
_UNKNOWN = messages.Outcome.UNKNOWN.value


class Call:
    """Answer one caller; ``events`` may be read once."""

    def __init__(
        self,
        parts: router_context.RouterContext,
        request: caller_request.CallerRequest,
    ):
        self.context = parts
        self.request = request
        self.work: caller_request.ResolvedRequest | None = None
        self.attempt: attempts.Attempt | None = None

    @property
    def cancellable(self) -> bool:
        """Tell whether the work may stop when its caller hangs up."""
        return self.work is None or self.work.idempotent

    async def events(self) -> AsyncIterator[answer_events.Event]:
        """Yield the events of the answer."""
        parts = self.context
        head = parts.get_head()
        if head is None:
            yield not_ready_error()
            return
        current = head.bundle
        work = caller_request.resolve(self.request, current)
        if isinstance(work, callerapi.ErrorAnswer):
            parts.measures.add_error(work)
            yield work
            return
        entered = parts.limits.enter(work.organisation, work.grant)
        if isinstance(entered, limits.Limited):
            error = _limited(entered, work)
            parts.measures.add_error(error)
            yield error
            return
        self.work = work
        parts.retry_budget.add_request(current.limits.retry_share)
        parts.free_retry_budget.add_request(_PASS_SHARE)
        try:
            async for event in self._answer(work, current):
                yield event
        finally:
            parts.limits.leave(work.organisation)
            if self.attempt is not None:
                self.attempt.end(stop=work.idempotent)

    async def _answer(
        self, work: caller_request.ResolvedRequest, current: bundle.Bundle
    ) -> AsyncIterator[answer_events.Event]:
        """Find a server that answers and relay what it says."""
        parts = self.context
        started = time.monotonic()
        policy = current.pools[work.pool].policy
        candidates = parts.placement.order(work, policy)
        opened = await hedging.open_answer(parts, work, candidates)
        if isinstance(opened, callerapi.ErrorAnswer):
            parts.measures.add_error(opened)
            yield opened
            return
        self.attempt = opened.attempt
        self.attempt.patient = True
        first_byte = time.monotonic() - started
        headers = _final_headers(opened, work, current)
        yield answer_events.Head(opened.head.status, headers)
        for data in opened.data:
            yield answer_events.Data(data)
        opened.attempt.acknowledge()
        async for event in self._relay(opened, work):
            yield event
        if opened.ended:
            total = time.monotonic() - started
            parts.measures.add_answer(work.service, first_byte, total)
            if work.idempotent and not work.chat:
                parts.measures.add_recent(work.service, total)

    async def _relay(
        self, opened: failover.Opened, work: caller_request.ResolvedRequest
    ) -> AsyncIterator[answer_events.Event]:
        """Yield the rest of an answer that has begun."""
        attempt = opened.attempt
        while not opened.ended:
            event = await attempt.next(work.deadline)
            match event:
                case messages.Chunk():
                    yield answer_events.Data(event.data)
                    attempt.acknowledge()
                case messages.End():
                    opened.ended = True
                case messages.Accepted():
                    continue
                case _:
                    yield self._break(attempt, event, work)
                    return
        self.attempt = None
        attempt.end(stop=False)
        yield answer_events.End()

    def _break(
        self,
        attempt: attempts.Attempt,
        event: attempts.Event,
        work: caller_request.ResolvedRequest,
    ) -> answer_events.Aborted:
        """Close an answer whose rest cannot be had."""
        step = failure_handling.judge(event, work)
        error = dataclasses.replace(step.error, outcome=_UNKNOWN)
        logging.warning(
            'event=answer-broken request=%s vm=%s cause=%s',
            work.request.request_id,
            attempt.vm,
            error.code,
        )
        self.context.outlier_detector.record_failure(attempt.vm)
        self.context.measures.add_error(error)
        return answer_events.Aborted(error)


def _final_headers(
    opened: failover.Opened,
    work: caller_request.ResolvedRequest,
    current: bundle.Bundle,
) -> list:
    """Return the server's headers with those of the fleet."""
    own = {
        callerapi.OUTCOME: messages.Outcome.ANSWERED.value,
        callerapi.REQUEST_ID: work.request.request_id,
        callerapi.SERVED_BY: opened.attempt.vm,
    }
    if not work.idempotent:
        window = _find_window(opened.head, current)
        own[callerapi.CLAIM_WINDOW] = str(window)
    taken = {name.lower() for name in own}
    kept = [
        list(pair)
        for pair in opened.head.headers
        if pair[0].lower() not in taken
    ]
    return kept + [list(pair) for pair in own.items()]


def _find_window(head: messages.Head, current: bundle.Bundle) -> int:
    """Return the seconds for which the answer's key is protected.

    The bundle promises no more than the log service keeps, which the
    sidecar tells.
    """
    window = int(current.limits.claim_window_s)
    for name, value in head.headers:
        if name.lower() == callerapi.CLAIM_WINDOW.lower() and value.isdigit():
            window = min(window, int(value))
    return window


def not_ready_error() -> callerapi.ErrorAnswer:
    """Answer when this router has no bundle yet."""
    return callerapi.ErrorAnswer(
        503,
        'not_ready',
        'This router takes no requests now. Send again to another.',
        messages.Outcome.NOT_RUN.value,
        _RETRY_AFTER_S,
    )


def _limited(
    limited: limits.Limited, work: caller_request.ResolvedRequest
) -> callerapi.ErrorAnswer:
    """Answer when the organisation has reached a limit."""
    return callerapi.ErrorAnswer(
        429,
        f'{limited.limit}_limit',
        f'The {limited.limit} limit of {work.organisation} is reached. '
        'Send again later.',
        failure_handling.own_outcome(work),
        limited.retry_after,
    )
