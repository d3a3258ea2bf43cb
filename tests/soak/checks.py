"""Check the users' promises from what callers and servers saw."""

# What a refusal with one of these states: not run, and never will be.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Calm time before a bound holds, and the bounds, in seconds.
CONTACT_TIMEOUT_S = 3.0
PROPAGATION_BOUND_S = 2.0
STREAM_EVENTS = 5
MIN_SERVED_SHARE = 0.9


def find_violations(soak_run):
    """List broken promises, each as a line that names the attempt."""
    attempts = {
        attempt.id: attempt
        for caller in soak_run.callers
        for attempt in caller.attempts
    }
    executions_by_id = {}
    for engine in soak_run.all_engines:
        for execution in engine.runs:
            if execution.ran:
                executions_by_id.setdefault(execution.attempt, []).append(
                    execution
                )
    return [
        *check_responses(attempts, executions_by_id),
        *check_executions(attempts, executions_by_id),
        *check_propagation(soak_run),
        *check_processes(soak_run),
        *check_recovery(soak_run, attempts),
    ]


def check_responses(attempts, executions_by_id):
    for attempt in attempts.values():
        if attempt.status != 200:
            continue
        if attempt.id not in executions_by_id:
            yield f'{attempt.id}: answered but never run'
        elif attempt.path.startswith('/stream/'):
            if attempt.body != expected_stream():
                yield (
                    f'{attempt.id}: stream is not whole: '
                    f'{attempt.body[-60:]!r}'
                )
        elif not attempt.body.startswith(f'{attempt.id} '.encode()):
            yield f'{attempt.id}: answer of another: {attempt.body[:60]!r}'


def check_executions(attempts, executions_by_id):
    for attempt_id, executions in executions_by_id.items():
        attempt = attempts.get(attempt_id)
        if attempt is None:
            yield f'{attempt_id}: run, but nobody asked'
            continue
        for execution in executions:
            organisation = execution.request.headers.get(
                'x-arbutusvale-tenant'
            )
            if (
                organisation != 'acme'
                or 'authorization' in execution.request.headers
            ):
                yield f'{attempt_id}: run for {organisation}'
        if attempt.path.startswith('/once/'):
            if len(executions) > 1:
                yield (
                    f'{attempt_id}: must not repeat, '
                    f'ran {len(executions)} times'
                )
            if attempt.status in NOT_EXECUTED_STATUSES:
                yield f'{attempt_id}: told {attempt.status}, but it ran'
        elif len(executions) > 2:
            yield (
                f'{attempt_id}: ran at {len(executions)} servers of 2 at most'
            )


def check_propagation(soak_run):
    """Check drains and revoked keys where all was calm long enough."""
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
                    f'{execution.attempt}: reached {engine.name} after it left'
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
                    yield f'{attempt.id}: served by a revoked key'


def check_processes(soak_run):
    for router in soak_run.fleet.routers:
        log = router.read_log()
        for word in ('internal-error', 'Traceback'):
            if word in log:
                yield f'{router.host}: {word}'
        if router.process.poll() is not None:
            yield f'{router.host}: ended by itself, {router.process.poll()}'


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


def expected_stream():
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (n, n)
        for n in range(1, STREAM_EVENTS + 1)
    )
