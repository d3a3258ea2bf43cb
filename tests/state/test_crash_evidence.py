"""Tests of attributing crashes to requests and prompt parts."""

import tracemalloc

from arbutusvale.state import crash_evidence
from tests import helpers_edge

BAD = crash_evidence.digest_part('acme', 'm', 'bad')
SYSTEM = crash_evidence.digest_part('acme', 'm', 'system')
RARE = crash_evidence.digest_part('acme', 'm', 'rare')


def make_evidence():
    clock = helpers_edge.Clock()
    return clock, crash_evidence.CrashEvidence(clock)


def make_request(number):
    return crash_evidence.digest_request(b'%016d' % number)


def crash(clock, evidence, number, *suspects):
    clock.now += 1.0
    evidence.add(f'e/{number}', clock.now, [make_request(number), *suspects])


def test_part_of_four_crashes_is_blocked_in_any_request():
    clock, evidence = make_evidence()
    for number in range(crash_evidence.PART_CRASHES):
        assert evidence.find_culprit([make_request(99), BAD]) is None
        crash(clock, evidence, number, BAD)
    assert evidence.find_culprit([make_request(99), BAD]) == {BAD}
    assert evidence.find_culprit([make_request(99)]) is None


def test_completed_part_is_cleared_and_its_company_is_not():
    clock, evidence = make_evidence()
    for number in range(4):
        crash(clock, evidence, number, SYSTEM, BAD)
    assert evidence.find_culprit([SYSTEM, BAD])
    assert evidence.record_completion(SYSTEM)
    assert evidence.find_culprit([SYSTEM, BAD]) == {BAD}
    assert evidence.find_culprit([SYSTEM]) is None


def test_request_that_holds_some_of_equal_suspects_runs():
    """Otherwise nothing would ever tell them apart."""
    clock, evidence = make_evidence()
    for number in range(4):
        crash(clock, evidence, number, SYSTEM, BAD)
    assert evidence.find_culprit([SYSTEM, make_request(9)]) is None
    assert evidence.find_culprit([BAD, make_request(9)]) is None
    assert evidence.find_culprit([BAD, SYSTEM]) == {BAD, SYSTEM}


def test_crashes_that_another_part_explains_do_not_count():
    clock, evidence = make_evidence()
    for number in range(6):
        crash(clock, evidence, number, BAD, *([RARE] if number < 4 else []))
    assert evidence.find_culprit([RARE]) is None
    assert evidence.find_culprit([BAD]) == {BAD}


def test_servers_that_crash_together_count_once_against_a_part():
    clock, evidence = make_evidence()
    for number in range(8):
        evidence.add(f'e{number}/1', clock.now + number / 100, [SYSTEM])
    assert evidence.find_culprit([SYSTEM]) is None


def test_part_that_was_completed_before_needs_more_crashes():
    clock, evidence = make_evidence()
    evidence.record_completion(SYSTEM)
    for number in range(crash_evidence.PROVEN_CRASHES):
        assert evidence.find_culprit([SYSTEM]) is None
        crash(clock, evidence, number, SYSTEM)
    assert evidence.find_culprit([SYSTEM]) == {SYSTEM}


def test_evidence_counts_once_in_any_order_and_after_a_completion():
    clock, evidence = make_evidence()
    crashed_at = clock.now
    for _ in range(3):
        evidence.add('e/1', crashed_at, [BAD])
    assert len(evidence.crashes_by_suspect[BAD]) == 1
    clock.now += 1.0
    evidence.record_completion(BAD)
    evidence.add('e/1', crashed_at, [BAD])
    assert not evidence.is_suspect(BAD)


def test_server_that_crashes_again_under_its_listed_incarnation_counts():
    """The server list may lag behind restarts, as while the store is away."""
    clock, evidence = make_evidence()
    for _ in range(crash_evidence.PART_CRASHES):
        clock.now += 2 * crash_evidence.SAME_CRASH_S
        evidence.add('e/1', clock.now, [BAD])
        evidence.add('e/1', clock.now - 0.1, [BAD])
    assert len(evidence.crashes) == crash_evidence.PART_CRASHES
    assert evidence.find_culprit([BAD]) == {BAD}


def test_repeated_request_is_blamed_before_its_parts():
    clock, evidence = make_evidence()
    for number in range(2):
        clock.now += 1.0
        evidence.add(f'e/{number}', clock.now, [make_request(1), RARE])
    assert evidence.find_culprit([make_request(1), RARE])
    assert evidence.find_culprit([make_request(2), RARE]) is None


def test_blocked_part_is_tried_again_at_growing_intervals():
    clock, evidence = make_evidence()
    for number in range(6):
        crash(clock, evidence, number, BAD)
    culprit = evidence.find_culprit([BAD])
    granted = []
    for _ in range(40):
        clock.now += 100.0
        if not evidence.find_culprit([BAD]):
            continue
        if window := evidence.find_trial_window(culprit):
            evidence.spend_trial(culprit, window)
            granted.append(clock.now)
    assert len(granted) == 2
    assert granted[1] - granted[0] >= 2 * crash_evidence.TRIAL_INTERVAL_S


def test_repeated_request_that_was_completed_before_explains_nothing():
    """Many callers may send the same read, in flight at many crashes."""
    clock, evidence = make_evidence()
    read = make_request(500)
    evidence.record_completion(read)
    for number in range(4):
        crash(clock, evidence, number, read, BAD)
    assert evidence.find_culprit([BAD]) == {BAD}
    evidence.record_completion(read)
    assert evidence.find_culprit([read]) is None
    assert evidence.find_culprit([BAD]) == {BAD}


def test_repeated_request_that_succeeds_between_crashes_is_not_blocked():
    clock, evidence = make_evidence()
    read = make_request(500)
    for number in range(12):
        crash(clock, evidence, number, read, BAD)
        if number % 2:
            clock.now += 0.5
            evidence.record_completion(read)
        else:
            assert evidence.find_culprit([read]) is None
    assert evidence.find_culprit([read]) is None
    assert evidence.find_culprit([BAD]) == {BAD}


def test_completed_request_that_fells_a_pool_at_once_is_blocked():
    clock, evidence = make_evidence()
    request = make_request(1)
    evidence.record_completion(request)
    for number in range(crash_evidence.MAX_REQUEST_CRASHES):
        assert evidence.find_culprit([request]) is None
        evidence.add(f'e/{number}', clock.now + number / 100, [request])
    assert evidence.find_culprit([request]) == {request}


def test_two_requests_in_flight_at_the_same_crashes_are_both_blocked():
    clock, evidence = make_evidence()
    pair = [make_request(1), make_request(2)]
    for number in range(crash_evidence.MAX_REQUEST_CRASHES):
        clock.now += 1.0
        evidence.add(f'e/{number}', clock.now, pair)
    assert all(evidence.find_culprit([request]) for request in pair)


def test_request_is_blocked_though_parts_explain_its_crashes():
    clock, evidence = make_evidence()
    for number in range(8):
        crash(clock, evidence, number, BAD)
    request = make_request(500)
    for number in range(crash_evidence.MAX_REQUEST_CRASHES):
        assert evidence.find_culprit([request]) is None
        crash(clock, evidence, 10 + number, BAD, request)
    assert evidence.find_culprit([request]) == {request}


def test_another_digest_of_a_blocked_request_is_blocked():
    clock, evidence = make_evidence()
    for number in range(3):
        crash(clock, evidence, number, make_request(500))
    assert len(evidence.link(make_request(500), make_request(501))) == 3
    assert evidence.find_culprit([make_request(501)])
    assert not evidence.link(make_request(500), make_request(501))


def test_success_under_one_key_clears_no_crash_since_under_another():
    clock, evidence = make_evidence()
    shared, first, second = map(make_request, (500, 501, 502))
    for number in range(3):
        crash(clock, evidence, number, shared, first)
    evidence.link(shared, second)
    completed_at = clock.now + 0.5
    for number in range(3, 6):
        crash(clock, evidence, number, shared, first)
    evidence.link(shared, second)
    evidence.record_completion(shared, completed_at)
    assert evidence.find_culprit([shared, second]) == {shared}
    assert evidence.count_crashes(second) == 3


def count_trials(clock, evidence, request, crashes):
    """Count the trials of an hour, each of which crashes a server or not."""
    count = 0
    for _ in range(300):
        clock.now += 10.0
        culprit = evidence.find_culprit([request])
        if window := evidence.find_trial_window(culprit):
            evidence.spend_trial(culprit, window)
            count += 1
            if crashes:
                evidence.add(f't/{count}', clock.now, [request])
    return count


def test_blocked_request_fails_two_trials_at_most():
    for completed in (False, True):
        clock, evidence = make_evidence()
        request = make_request(1)
        if completed:
            evidence.record_completion(request)
        # As many servers as a request can fell before any router knows.
        for number in range(9):
            evidence.add(f'e/{number}', clock.now + number / 100, [request])
        trials = count_trials(clock, evidence, request, crashes=True)
        assert trials == crash_evidence.MAX_FAILED_TRIALS


def test_blocked_request_that_succeeded_before_is_tried_soon():
    clock, evidence = make_evidence()
    request = make_request(1)
    evidence.record_completion(request)
    for number in range(3):
        evidence.add(f'e/{number}', clock.now, [request])
    culprit = evidence.find_culprit([request])
    assert evidence.find_trial_window(culprit) is None
    clock.now += crash_evidence.PROVEN_REQUEST_TRIAL_INTERVAL_S
    assert evidence.find_trial_window(culprit)
    evidence.record_completion(request)
    assert evidence.find_culprit([request]) is None


def test_crashes_that_block_a_request_are_shared_before_newer_ones():
    clock, evidence = make_evidence()
    request = make_request(1)
    for number in range(3):
        evidence.add(f'e/{number}', clock.now, [request])
    for number in range(3, 20):
        crash(clock, evidence, number)
    shared = [evidence.crashes[key] for key in evidence.list_shared()]
    assert all(request in crash.suspects for crash in shared[:3])
    assert shared[3].occurred_at == clock.now


def test_evidence_expires():
    clock, evidence = make_evidence()
    for number in range(4):
        crash(clock, evidence, number, BAD)
    clock.now += crash_evidence.RETENTION_S + 1
    assert evidence.find_culprit([BAD]) is None
    assert not evidence.crashes


def test_memory_is_bounded_under_parts_without_number():
    clock, evidence = make_evidence()
    tracemalloc.start()
    for number in range(2000):
        clock.now += 1.0
        unique = [
            crash_evidence.digest_part('acme', 'm', f'{number}-{part}')
            for part in range(300)
        ]
        evidence.add(f'e/{number}', clock.now, [*unique, BAD])
        evidence.find_culprit(unique)
        for part in unique[:20]:
            evidence.record_progress(part)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(evidence.crashes) <= crash_evidence.MAX_CRASHES
    assert len(evidence.crashes_by_suspect) <= crash_evidence.MAX_SUSPECTS
    assert len(evidence.completed_at) <= crash_evidence.MAX_PROVEN_PARTS
    assert used < 2_000_000
    assert evidence.find_culprit([BAD]) == {BAD}
