"""Classification of failed attempts into retries and caller errors."""

import dataclasses

from arbutusvale.coordination import attempts
from arbutusvale.coordination import caller_request
from arbutusvale.coordination import crash_detector
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import messages

_RETRY_AFTER_S = 1.0
_NOT_RUN = messages.Outcome.NOT_RUN.value
_UNKNOWN = messages.Outcome.UNKNOWN.value


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The VM could not be reached, so no Submit was sent."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Return this error to the caller without a retry."""

    error: caller_api.ErrorResponse


@dataclasses.dataclass(frozen=True, slots=True)
class RetryElsewhere:
    """Retry at another VM; ``error`` is returned if none is left.

    A ``free`` retry is not charged to the retry budget.
    """

    error: caller_api.ErrorResponse
    free: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfterBundleUpdate:
    """Read the newer bundle, then retry at the same VM."""

    error: caller_api.ErrorResponse


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySameVm:
    """Retry at the same VM with a new attempt id."""

    error: caller_api.ErrorResponse


Failure = (
    messages.Refused
    | messages.Redirect
    | messages.Failed
    | attempts.SidecarLost
    | attempts.DeadlineExceeded
    | attempts.CorruptAnswer
    | NotSent
)
NextStep = Fail | RetryElsewhere | RetryAfterBundleUpdate | RetrySameVm


def decide_next_step(
    failure: Failure, resolved: caller_request.ResolvedRequest
) -> NextStep:
    """Decide how to proceed after a failed attempt."""
    match failure:
        case messages.Refused():
            return _handle_refusal(failure)
        case messages.Redirect():
            return RetryElsewhere(_redirect_error(resolved), free=True)
        case messages.Failed():
            return _handle_failed(failure, resolved)
        case NotSent():
            return RetryElsewhere(no_server_error(resolved), free=False)
        case attempts.DeadlineExceeded():
            return Fail(timeout_error())
        case attempts.SidecarLost():
            return _retry_if_idempotent(
                resolved, answer_lost_error('sidecar_lost')
            )
        case attempts.CorruptAnswer():
            return _retry_if_idempotent(
                resolved, answer_lost_error('answer_corrupt')
            )


def no_server_error(
    resolved: caller_request.ResolvedRequest,
) -> caller_api.ErrorResponse:
    """Return the error for a pool of which no VM could be reached."""
    return caller_api.ErrorResponse(
        503,
        'no_server',
        f'No server of {resolved.service} can be reached. Send again later.',
        outcome_when_unsent(resolved),
        _RETRY_AFTER_S,
    )


def outcome_when_unsent(resolved: caller_request.ResolvedRequest) -> str:
    """Return the outcome of a request that this router never sent.

    It is unknown for a non-idempotent request with a caller's key: the
    caller may have sent it before, which only the sidecars know.
    """
    if resolved.has_caller_key and not resolved.idempotent:
        return _UNKNOWN
    return _NOT_RUN


def timeout_error() -> caller_api.ErrorResponse:
    """Return the error for a deadline that passed during an attempt."""
    return caller_api.ErrorResponse(
        504,
        'timeout',
        'The request was not answered within its timeout. '
        'Look up its effect before you send it again.',
        _UNKNOWN,
    )


def _handle_refusal(refused: messages.Refused) -> NextStep:
    """Decide how to proceed after a refusal; the attempt did not run."""
    has_alternatives = bool(refused.alternatives)
    error = caller_api.ErrorResponse(
        503,
        refused.reason.replace('-', '_'),
        f'The request was not taken ({refused.reason}). Send again later.',
        _NOT_RUN,
        refused.retry_after or _RETRY_AFTER_S,
    )
    match refused.reason:
        case messages.Refusal.STALE_BUNDLE:
            return RetryAfterBundleUpdate(error)
        case messages.Refusal.DEAD_ATTEMPT:
            return RetrySameVm(error)
        case messages.Refusal.LEAVING | messages.Refusal.BUSY:
            return RetryElsewhere(error, free=True)
        case messages.Refusal.LOG_DOWN:
            return Fail(error)
        case messages.Refusal.KEY_REUSED:
            return Fail(
                caller_api.ErrorResponse(
                    409,
                    'key_reused',
                    'The idempotency key was used with another request. '
                    'Send this one under a new key.',
                    _NOT_RUN,
                )
            )
        case messages.Refusal.EXPIRED:
            return Fail(
                caller_api.ErrorResponse(
                    504,
                    'expired',
                    'The request waited past its timeout. Send again.',
                    _NOT_RUN,
                )
            )
        case _:
            return RetryElsewhere(error, free=has_alternatives)


def _handle_failed(
    failed: messages.Failed, resolved: caller_request.ResolvedRequest
) -> NextStep:
    """Decide how to proceed after an accepted attempt failed.

    A retry after a crash is free: the second crash of a request ends it,
    so that crashes cannot multiply retries.
    """
    crashed = failed.reason == crash_detector.CRASHED
    match failed.outcome:
        case messages.Outcome.QUARANTINED:
            return Fail(
                caller_api.ErrorResponse(
                    422,
                    'quarantined',
                    'This request crashed the servers that ran it and is no '
                    'longer run. Change it before you send it again.',
                    messages.Outcome.QUARANTINED.value,
                    failed.retry_after,
                )
            )
        case messages.Outcome.NOT_RUN:
            return RetryElsewhere(
                caller_api.ErrorResponse(
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
            lost = answer_lost_error('server_failed')
            return _retry_if_idempotent(resolved, lost, free=crashed)


def _retry_if_idempotent(
    resolved: caller_request.ResolvedRequest,
    error: caller_api.ErrorResponse,
    free: bool = False,
) -> NextStep:
    """Retry an idempotent request elsewhere; fail any other."""
    if resolved.idempotent:
        return RetryElsewhere(error, free)
    return Fail(error)


def answer_lost_error(code: str) -> caller_api.ErrorResponse:
    """Return the error for an attempt that may have run."""
    return caller_api.ErrorResponse(
        502,
        code,
        'The answer was lost and the request may have run. '
        'Look up its effect before you send it again.',
        _UNKNOWN,
    )


def _redirect_error(
    resolved: caller_request.ResolvedRequest,
) -> caller_api.ErrorResponse:
    """Return the error for a redirect whose target could not be used."""
    if resolved.idempotent:
        return no_server_error(resolved)
    return caller_api.ErrorResponse(
        503,
        'first_run_unreachable',
        'The server that holds this key cannot be reached, and the request '
        'may have run there. Look up its effect.',
        _UNKNOWN,
    )
