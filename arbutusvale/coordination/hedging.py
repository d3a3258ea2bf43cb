"""Send a slow idempotent call to a second server."""

import asyncio
import dataclasses

from absl import logging

from arbutusvale.coordination import caller_request
from arbutusvale.coordination import failover
from arbutusvale.coordination import placement
from arbutusvale.coordination import router_context
from arbutusvale.protocol import callerapi
from arbutusvale.protocol import messages

MIN_DELAY_S = 0.02
FIRST_DELAY_S = 1.0
_PERCENT = 95.0
_MIN_VALUES = 20
_UNKNOWN = messages.Outcome.UNKNOWN.value


async def open_answer(
    parts: router_context.RouterContext,
    work: caller_request.ResolvedRequest,
    candidates: placement.Candidates,
) -> failover.Opened | callerapi.ErrorAnswer:
    """Open an answer, with a second search when the first is slow.

    The first whole answer wins and the other search is cancelled.
    """
    slow = failover.Search(parts, work, candidates)
    first = asyncio.create_task(slow.run())
    tasks = [first]
    try:
        await asyncio.wait(tasks, timeout=_delay(parts, work))
        if not first.done() and _may_hedge(parts, candidates):
            _log_hedge(parts, work)
            second = failover.Search(parts, work, candidates)
            tasks.append(asyncio.create_task(second.run()))
        answer = await _take_first(tasks)
        slow.overtaken = not first.done()
        return answer
    except asyncio.CancelledError:
        _drop_opened({task for task in tasks if task.done()})
        raise
    finally:
        for task in tasks:
            task.cancel()


def _delay(
    parts: router_context.RouterContext, work: caller_request.ResolvedRequest
) -> float | None:
    """Return the seconds to wait first; None means for ever."""
    if not _is_hedgeable(work):
        return None
    recent = parts.measures.recent.get(work.service)
    if recent is None or recent.count < _MIN_VALUES:
        return FIRST_DELAY_S
    return max(MIN_DELAY_S, recent.percentile(_PERCENT))


def _is_hedgeable(work: caller_request.ResolvedRequest) -> bool:
    """Tell whether a call may run at two servers at once."""
    return work.idempotent and not work.chat and not work.key


def _may_hedge(
    parts: router_context.RouterContext, candidates: placement.Candidates
) -> bool:
    """Charge a second search to the retry budget."""
    return bool(candidates.choices) and parts.retry_budget.try_spend()


def _log_hedge(
    parts: router_context.RouterContext, work: caller_request.ResolvedRequest
) -> None:
    """Count and log a second search."""
    parts.measures.hedges += 1
    logging.info(
        'event=hedge request=%s service=%s',
        work.request.request_id,
        work.service,
    )


async def _take_first(
    tasks: list[asyncio.Task],
) -> failover.Opened | callerapi.ErrorAnswer:
    """Return the first answer, or the errors of all searches as one."""
    error: callerapi.ErrorAnswer | None = None
    waiting = set(tasks)
    while waiting:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            result = task.result()
            if isinstance(result, failover.Opened):
                _drop_opened(done - {task})
                return result
            error = _merge(error, result)
    return error


def _drop_opened(tasks: set[asyncio.Task]) -> None:
    """End the attempts of answers that nobody will read."""
    for task in tasks:
        result = task.result()
        if isinstance(result, failover.Opened):
            result.attempt.end(stop=True)


def _merge(
    first: callerapi.ErrorAnswer | None, second: callerapi.ErrorAnswer
) -> callerapi.ErrorAnswer:
    """Join two errors: unknown wherever one search may have run."""
    if first is None or first.outcome != _UNKNOWN:
        return second
    return dataclasses.replace(second, outcome=_UNKNOWN)
