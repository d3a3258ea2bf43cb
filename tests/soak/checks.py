"""Check the guarantees against what callers and engines recorded."""

import re

# Statuses that promise that the request was not and will not be executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Time within which routers detect a lost connection; a propagation bound
# applies only after this time without faults.
CONTACT_TIMEOUT_S = 3.0
# Time within which drains and configuration changes must take effect.
PROPAGATION_BOUND_S = 2.0
EVENT_NUMBERS = [1, 2, 3, 4, 5]
EVENT = re.compile(rb'id: (\d+)\ndata: piece (\d+) v\d')
MIN_SERVED_SHARE = 0.9
# A part may crash five engines, and three more while routers restart.
MAX_CRASH_CAUSES = 8
# A request may crash three engines, and three more later.
MAX_REQUEST_CRASHES = 6
LIMIT_WINDOW_S = 4.0


def find_violations(soak_run):
    """List violated guarantees, each as a line with the attempt or router."""
    attempts = {
        attempt.id: attempt
        for caller in soak_run.callers
        for attempt in caller.attempts
    }
    executions_by_id = {}
    for engine in soak_run.all_engines:
        for execution in engine.received:
            if execution.executed:
                executions_by_id.setdefault(execution.attempt_id, []).append(
                    execution
                )
    return [
        *check_responses(attempts, executions_by_id),
        *check_versions(attempts),
        *check_executions(attempts, executions_by_id),
        *check_propagation(soak_run),
        *check_crash_causes(soak_run),
        *check_limits(soak_run),
        *check_evacuation(soak_run),
        *check_processes(soak_run),
        *check_recovery(soak_run, attempts),
    ]


def check_responses(attempts, executions_by_id):
    for attempt in attempts.values():
        if attempt.status != 200:
            continue
        if attempt.id not in executions_by_id:
            yield f'{attempt.id}: status 200, but no engine executed it'
        elif attempt.path.startswith('/stream/'):
            rest = attempt.body.split(b'\n\n')[-1]
            if rest or list_numbers(attempt) != EVENT_NUMBERS:
                yield (
                    f'{attempt.id}: incomplete or altered stream: '
                    f'{attempt.body[-60:]!r}'
                )
        elif attempt.body != expected_body(attempt):
            yield (
                f'{attempt.id}: incomplete response, or of another attempt: '
                f'{attempt.body[:60]!r}'
            )


def check_versions(attempts):
    for attempt in attempts.values():
        versions = {event.split()[-1] for event in attempt.list_events()}
        if len(versions) > 1:
            yield f'{attempt.id}: events of versions {sorted(versions)}'


def check_executions(attempts, executions_by_id):
    for attempt_id, executions in executions_by_id.items():
        attempt = attempts.get(attempt_id)
        if attempt is None and attempt_id.startswith('crash-'):
            continue
        if attempt is None:
            yield f'{attempt_id}: executed, but no caller sent it'
            continue
        for execution in executions:
            organisation = execution.request.headers.get(
                'x-arbutusvale-tenant'
            )
            if (
                organisation != 'acme'
                or 'authorization' in execution.request.headers
            ):
                yield f'{attempt_id}: executed for {organisation}'
        if attempt.path.startswith(('/once/', '/stream/once/')):
            if len(executions) > 1:
                yield (
                    f'{attempt_id}: non-idempotent, '
                    f'but executed {len(executions)} times'
                )
            if attempt.status in NOT_EXECUTED_STATUSES:
                yield f'{attempt_id}: status {attempt.status}, but executed'
        elif len(executions) > 2:
            yield (f'{attempt_id}: executed {len(executions)} times, limit 2')


def check_propagation(soak_run):
    """Check that drains and key revocations take effect within the bound.

    Attempts with a fault shortly before the change or since are skipped.
    """
    for engine, drained_at in soak_run.drained:
        if not soak_run.is_undisturbed(
            drained_at - CONTACT_TIMEOUT_S, drained_at + PROPAGATION_BOUND_S
        ):
            continue
        for execution, sent_at in soak_run.list_timed_executions(engine):
            if (
                sent_at > drained_at + PROPAGATION_BOUND_S
                and soak_run.is_undisturbed(drained_at, sent_at)
            ):
                yield (
                    f'{execution.attempt_id}: reached {engine.name} '
                    f'after its drain'
                )
    if soak_run.revoked_at is None:
        return
    for caller in soak_run.callers:
        for attempt in caller.attempts:
            late = (
                attempt.started_at > soak_run.revoked_at + PROPAGATION_BOUND_S
            )
            if late and attempt.key == 'key-2' and attempt.status == 200:
                if soak_run.is_undisturbed(
                    soak_run.revoked_at - CONTACT_TIMEOUT_S, attempt.started_at
                ):
                    yield f'{attempt.id}: served with a revoked key'


def check_crash_causes(soak_run):
    for part in soak_run.crashing_parts:
        causes = soak_run.count_crash_causes(part)
        if causes > MAX_CRASH_CAUSES:
            yield f'{part}: crashed {causes} engines'
    for name in soak_run.crashing_requests:
        causes = soak_run.count_crash_causes(name)
        if causes > MAX_REQUEST_CRASHES:
            yield f'{name}: crashed {causes} engines'


def check_limits(soak_run):
    """Check windows without a disturbance after an engine named a limit."""
    for engine, named_at in soak_run.limited:
        limit = float(soak_run.engine_limit)
        allowed = 1.5 * limit * LIMIT_WINDOW_S + 5
        arrivals = [
            at
            for at in engine.arrivals
            if named_at + CONTACT_TIMEOUT_S < at < soak_run.faults_ended_at
        ]
        for start in arrivals:
            end = start + LIMIT_WINDOW_S
            count = sum(start <= at < end for at in arrivals)
            if count > allowed and soak_run.is_undisturbed(
                start - CONTACT_TIMEOUT_S, end
            ):
                yield f'{engine.name}: {count} requests in 4 s at {limit}/s'
                break


def check_evacuation(soak_run):
    """Check that nothing reaches an evacuated engine after the bound.

    Routers are bound that were in touch with the store.
    """
    evacuated_at = soak_run.evacuated_at
    if evacuated_at is None:
        return
    engine = soak_run.all_engines[-1]
    for execution, sent_at in soak_run.list_timed_executions(engine):
        if (
            evacuated_at + PROPAGATION_BOUND_S
            < sent_at
            < soak_run.faults_ended_at
        ) and soak_run.is_in_touch(sent_at):
            yield f'{execution.attempt_id}: reached {engine.name}, evacuated'


def check_processes(soak_run):
    for router in soak_run.fleet.routers:
        log = router.read_log()
        for word in ('internal-error', 'Traceback'):
            if word in log:
                yield f'{router.host}: log contains {word}'
        if router.process.poll() is not None:
            yield f'{router.host}: exited with {router.process.poll()}'


def check_recovery(soak_run, attempts):
    late = [
        attempt
        for attempt in attempts.values()
        if attempt.started_at > soak_run.recovered_at
        and attempt.key == 'key-1' and attempt.ended_at
    ]  # fmt: skip
    served = sum(attempt.status == 200 for attempt in late)
    if len(late) < 10 or served < MIN_SERVED_SHARE * len(late):
        yield f'after the faults {served} of {len(late)} were served'


def expected_body(attempt):
    return (
        f'{attempt.id} {attempt.method} {attempt.path} acme '.encode()
        + attempt.sent_body
    )


def list_numbers(attempt):
    """List the numbers of a stream's events that have their whole data."""
    return [
        int(match[1])
        for event in attempt.list_events()
        if (match := EVENT.fullmatch(event)) and match[1] == match[2]
    ]
