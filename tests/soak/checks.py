"""Check the users' promises from what callers and servers saw."""

# What a refusal with one of these states: not run, and never will be.
NOT_RUN = (408, 421, 429, 503)
# Calm time before a bound holds, and the bounds, in seconds.
CONTACT_S = 3.0
BOUND_S = 2.0
EVENTS = 5
SERVED_SHARE = 0.9


def find_faults(soak):
    """List broken promises, each as a line that names the attempt."""
    attempts = {
        one.id: one for caller in soak.callers for one in caller.attempts
    }
    runs = {}
    for engine in soak.all_engines:
        for run in engine.received:
            if run.executed:
                runs.setdefault(run.attempt_id, []).append(run)
    return [
        *check_answers(attempts, runs),
        *check_runs(attempts, runs),
        *check_bounds(soak),
        *check_processes(soak),
        *check_recovery(soak, attempts),
    ]


def check_answers(attempts, runs):
    for one in attempts.values():
        if one.status != 200:
            continue
        if one.id not in runs:
            yield f'{one.id}: answered but never run'
        elif one.path.startswith('/stream/'):
            if one.body != whole_stream():
                yield f'{one.id}: stream is not whole: {one.body[-60:]!r}'
        elif not one.body.startswith(f'{one.id} '.encode()):
            yield f'{one.id}: answer of another: {one.body[:60]!r}'


def check_runs(attempts, runs):
    for attempt_id, ran in runs.items():
        one = attempts.get(attempt_id)
        if one is None:
            yield f'{attempt_id}: run, but nobody asked'
            continue
        for run in ran:
            tenant = run.request.headers.get('x-arbutusvale-tenant')
            if tenant != 'acme' or 'authorization' in run.request.headers:
                yield f'{attempt_id}: run for {tenant}'
        if one.path.startswith('/once/'):
            if len(ran) > 1:
                yield f'{attempt_id}: must not repeat, ran {len(ran)} times'
            if one.status in NOT_RUN:
                yield f'{attempt_id}: told {one.status}, but it ran'
        elif len(ran) > 2:
            yield f'{attempt_id}: ran at {len(ran)} servers of 2 at most'


def check_bounds(soak):
    """Check drains and revoked keys where all was calm long enough."""
    for engine, drained_at in soak.drained:
        if not soak.is_calm(drained_at - CONTACT_S, drained_at + BOUND_S):
            continue
        for run, at in soak.timed_runs(engine):
            if at > drained_at + BOUND_S and soak.is_calm(drained_at, at):
                yield f'{run.attempt_id}: reached {engine.name} after it left'
    if soak.revoked_at is None:
        return
    for caller in soak.callers:
        for one in caller.attempts:
            late = one.began_at > soak.revoked_at + BOUND_S
            if late and one.key == 'key-2' and one.status == 200:
                if soak.is_calm(soak.revoked_at - CONTACT_S, one.began_at):
                    yield f'{one.id}: served by a revoked key'


def check_processes(soak):
    for router in soak.fleet.routers:
        log = router.read_log()
        for word in ('internal-error', 'Traceback'):
            if word in log:
                yield f'{router.host}: {word}'
        if router.process.poll() is not None:
            yield f'{router.host}: ended by itself, {router.process.poll()}'


def check_recovery(soak, attempts):
    late = [
        one
        for one in attempts.values()
        if one.began_at > soak.calm_at and one.key == 'key-1'
        and one.ended_at
    ]  # fmt: skip
    served = sum(one.status == 200 for one in late)
    if len(late) < 10 or served < SERVED_SHARE * len(late):
        yield f'after the faults {served} of {len(late)} were served'


def whole_stream():
    return b''.join(
        b'id: %d\ndata: piece %d\n\n' % (n, n) for n in range(1, EVENTS + 1)
    )
