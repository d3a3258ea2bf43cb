"""Hedged requests: a slow idempotent call is sent to a second server."""

import asyncio
import dataclasses

from absl import logging

from arbutusvale.coordination import caller_request
from arbutusvale.coordination import failover
from arbutusvale.coordination import placement
from arbutusvale.coordination import router_context
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import messages

MIN_DELAY_S = 0.02
DEFAULT_DELAY_S = 1.0
_DELAY_PERCENTILE = 95.0
_MIN_SAMPLES = 20
_UNKNOWN = messages.Outcome.UNKNOWN.value


async def run_hedged(
    context: router_context.RouterContext,
    resolved: caller_request.ResolvedRequest,
    candidates: placement.Candidates,
) -> failover.OpenAnswer | caller_api.ErrorResponse:
    """Run a request, with a hedge when it is slow.

    The first answer to start wins and the other failover loop is cancelled.
    """
    first_loop = failover.FailoverLoop(context, resolved, candidates)
    first_task = asyncio.create_task(first_loop.run())
    tasks = [first_task]
    try:
        await asyncio.wait(tasks, timeout=_hedge_delay_s(context, resolved))
        if not first_task.done() and _charge_hedge(context, candidates):
            _log_hedge(context, resolved)
            second_loop = failover.FailoverLoop(context, resolved, candidates)
            tasks.append(asyncio.create_task(second_loop.run()))
        answer = await _first_answer(tasks)
        first_loop.beaten_by_hedge = not first_task.done()
        return answer
    except asyncio.CancelledError:
        _cancel_opened({task for task in tasks if task.done()})
        raise
    finally:
        for task in tasks:
            task.cancel()


def _hedge_delay_s(
    context: router_context.RouterContext,
    resolved: caller_request.ResolvedRequest,
) -> float | None:
    """Return the delay in s before the hedge; None for no hedge."""
    if not _is_hedgeable(resolved):
        return None
    recent = context.metrics.hedgeable.get(resolved.service)
    if recent is None or recent.count < _MIN_SAMPLES:
        return DEFAULT_DELAY_S
    return max(MIN_DELAY_S, recent.percentile(_DELAY_PERCENTILE))


def _is_hedgeable(resolved: caller_request.ResolvedRequest) -> bool:
    """Return whether a call may run at two servers at once."""
    return resolved.idempotent and not resolved.chat and not resolved.key


def _charge_hedge(
    context: router_context.RouterContext, candidates: placement.Candidates
) -> bool:
    """Charge a hedge to the retry budget; False if it isn't possible."""
    return bool(candidates.choices) and context.retry_budget.try_spend()


def _log_hedge(
    context: router_context.RouterContext,
    resolved: caller_request.ResolvedRequest,
) -> None:
    """Count and log a hedge."""
    context.metrics.hedges += 1
    logging.info(
        'event=hedge request=%s service=%s',
        resolved.request.request_id,
        resolved.service,
    )


async def _first_answer(
    tasks: list[asyncio.Task],
) -> failover.OpenAnswer | caller_api.ErrorResponse:
    """Return the first answer, or the merged error if all tasks fail."""
    error: caller_api.ErrorResponse | None = None
    waiting = set(tasks)
    while waiting:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            result = task.result()
            if isinstance(result, failover.OpenAnswer):
                _cancel_opened(done - {task})
                return result
            error = _merge_errors(error, result)
    return error


def _cancel_opened(tasks: set[asyncio.Task]) -> None:
    """Cancel the attempts of started answers that nobody will read."""
    for task in tasks:
        result = task.result()
        if isinstance(result, failover.OpenAnswer):
            result.attempt.close(cancel=True)


def _merge_errors(
    first: caller_api.ErrorResponse | None, second: caller_api.ErrorResponse
) -> caller_api.ErrorResponse:
    """Merge two errors; the outcome is unknown if either one is."""
    if first is None or first.outcome != _UNKNOWN:
        return second
    return dataclasses.replace(second, outcome=_UNKNOWN)
