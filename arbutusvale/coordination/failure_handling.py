"""Decide what follows when an attempt gave no answer."""

import dataclasses

from arbutusvale.coordination import attempts
from arbutusvale.coordination import caller_request
from arbutusvale.coordination import crash_detector
from arbutusvale.protocol import callerapi
from arbutusvale.protocol import messages

_RETRY_AFTER_S = 1.0
_NOT_RUN = messages.Outcome.NOT_RUN.value
_UNKNOWN = messages.Outcome.UNKNOWN.value


@dataclasses.dataclass(frozen=True, slots=True)
class Unsent:
    """Tell that no Submit left: the VM could not be reached."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Final:
    """Answer the caller with this error at once."""

    error: callerapi.ErrorAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Elsewhere:
    """Try another VM; ``error`` is the answer when none is left.

    ``free`` tries are not charged to the retry budget.
    """

    error: callerapi.ErrorAnswer
    free: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CatchUp:
    """Read the newer bundle, then try the same VM again."""

    error: callerapi.ErrorAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Again:
    """Try the same VM again under a new attempt id."""

    error: callerapi.ErrorAnswer


Failure = (
    messages.Refused
    | messages.Redirect
    | messages.Failed
    | attempts.Lost
    | attempts.Overdue
    | attempts.Corrupt
    | Unsent
)
Step = Final | Elsewhere | CatchUp | Again


def judge(failure: Failure, work: caller_request.ResolvedRequest) -> Step:
    """Decide the next step after a failure."""
    match failure:
        case messages.Refused():
            return _judge_refusal(failure)
        case messages.Redirect():
            return Elsewhere(_redirected(work), free=True)
        case messages.Failed():
            return _judge_failed(failure, work)
        case Unsent():
            return Elsewhere(no_server(work), free=False)
        case attempts.Overdue():
            return Final(overdue())
        case attempts.Lost():
            return _retry_if_idempotent(work, broken('sidecar_lost'))
        case attempts.Corrupt():
            return _retry_if_idempotent(work, broken('answer_corrupt'))


def no_server(work: caller_request.ResolvedRequest) -> callerapi.ErrorAnswer:
    """Answer when no VM of the pool could be reached.

    With a caller's own key an earlier send may have run, which only the
    sidecars know.
    """
    return callerapi.ErrorAnswer(
        503,
        'no_server',
        f'No server of {work.service} can be reached. Send again later.',
        own_outcome(work),
        _RETRY_AFTER_S,
    )


def own_outcome(work: caller_request.ResolvedRequest) -> str:
    """Return what the router alone knows of a request it never sent."""
    if work.caller_key and not work.idempotent:
        return _UNKNOWN
    return _NOT_RUN


def overdue() -> callerapi.ErrorAnswer:
    """Answer when the deadline passed with an attempt in flight."""
    return callerapi.ErrorAnswer(
        504,
        'timeout',
        'The request was not answered within its timeout. '
        'Look up its effect before you send it again.',
        _UNKNOWN,
    )


def _judge_refusal(refused: messages.Refused) -> Step:
    """Decide the next step after a sidecar's refusal; nothing ran."""
    named = bool(refused.alternatives)
    error = callerapi.ErrorAnswer(
        503,
        refused.reason.replace('-', '_'),
        f'The request was not taken ({refused.reason}). Send again later.',
        _NOT_RUN,
        refused.retry_after or _RETRY_AFTER_S,
    )
    match refused.reason:
        case messages.Refusal.STALE_BUNDLE:
            return CatchUp(error)
        case messages.Refusal.DEAD_ATTEMPT:
            return Again(error)
        case messages.Refusal.LEAVING | messages.Refusal.BUSY:
            return Elsewhere(error, free=True)
        case messages.Refusal.LOG_DOWN:
            return Final(error)
        case messages.Refusal.KEY_REUSED:
            return Final(
                callerapi.ErrorAnswer(
                    409,
                    'key_reused',
                    'The idempotency key was used with another request. '
                    'Send this one under a new key.',
                    _NOT_RUN,
                )
            )
        case messages.Refusal.EXPIRED:
            return Final(
                callerapi.ErrorAnswer(
                    504,
                    'expired',
                    'The request waited past its timeout. Send again.',
                    _NOT_RUN,
                )
            )
        case _:
            return Elsewhere(error, free=named)


def _judge_failed(
    failed: messages.Failed, work: caller_request.ResolvedRequest
) -> Step:
    """Decide the next step after an accepted attempt failed.

    A retry after a crash is free: the second crash of a request ends it,
    so that crashes cannot multiply retries.
    """
    crashed = failed.reason == crash_detector.CRASHED
    match failed.outcome:
        case messages.Outcome.QUARANTINED:
            return Final(
                callerapi.ErrorAnswer(
                    422,
                    'quarantined',
                    'This request crashed the servers that ran it and is no '
                    'longer run. Change it before you send it again.',
                    messages.Outcome.QUARANTINED.value,
                    failed.retry_after,
                )
            )
        case messages.Outcome.NOT_RUN:
            return Elsewhere(
                callerapi.ErrorAnswer(
                    503,
                    'not_run',
                    f'The request was not run ({failed.reason}). '
                    'Send again later.',
                    _NOT_RUN,
                    failed.retry_after or _RETRY_AFTER_S,
                ),
                free=crashed,
            )
        case _:
            lost = broken('server_failed')
            return _retry_if_idempotent(work, lost, free=crashed)


def _retry_if_idempotent(
    work: caller_request.ResolvedRequest,
    error: callerapi.ErrorAnswer,
    free: bool = False,
) -> Step:
    """Try an idempotent request elsewhere; for others this is final."""
    if work.idempotent:
        return Elsewhere(error, free)
    return Final(error)


def broken(code: str) -> callerapi.ErrorAnswer:
    """Answer when the attempt may have run without a whole answer."""
    return callerapi.ErrorAnswer(
        502,
        code,
        'The answer was lost and the request may have run. '
        'Look up its effect before you send it again.',
        _UNKNOWN,
    )


def _redirected(work: caller_request.ResolvedRequest) -> callerapi.ErrorAnswer:
    """Answer when no redirect led to a server that took the request."""
    if work.idempotent:
        return no_server(work)
    return callerapi.ErrorAnswer(
        503,
        'first_run_unreachable',
        'The server that holds this key cannot be reached, and the request '
        'may have run there. Look up its effect.',
        _UNKNOWN,
    )
