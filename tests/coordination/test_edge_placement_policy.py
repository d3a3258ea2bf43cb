"""Placement decisions, and simulations of the load patterns they cover."""

import random

import pytest

from arbutusvale.coordination import edge_placement_policy
from arbutusvale.state import rendezvous

LOAD_FACTOR = 2.0
# As one that sees all requests knows them.
EXACT_LOADS_S = 0.0
# Required bound: no engine above factor x mean + 3.
REQUIRED_BOUND_RESERVE = 3


def make_candidate(server_id, load=0.0, ejected=False, slots=8, slowdown=1.0):
    return edge_placement_policy.Candidate(
        server_id, load, slots, ejected, slowdown
    )


class SimulatedPool:
    """Engines whose requests are placed by the policy and end on demand."""

    def __init__(self, count):
        self.loads = {f'e{n}': 0 for n in range(count)}
        self.holders = {}
        self.processed = 0
        self.copies = 0

    def place_request(self, prompt):
        candidates = [
            make_candidate(name, load) for name, load in self.loads.items()
        ]
        choice = edge_placement_policy.choose_engine(
            candidates,
            rendezvous.rank(prompt, self.loads),
            self.holders.get(prompt, {}),
            LOAD_FACTOR,
            EXACT_LOADS_S,
        )
        prompt_holders = self.holders.setdefault(prompt, {})
        source = edge_placement_policy.find_cache_source(
            list(self.loads), [prompt_holders], choice.id
        )
        if choice.id not in prompt_holders:
            if source in self.loads:
                self.copies += 1
            else:
                self.processed += 1
            prompt_holders[choice.id] = len(prompt_holders)
        self.loads[choice.id] += 1
        return choice

    def mean_load(self):
        return sum(self.loads.values()) / len(self.loads)


def test_repeated_prompt_goes_to_the_engine_that_cached_it():
    pool = SimulatedPool(6)
    first_engines = {}
    for _ in range(20):
        for prompt in range(12):
            choice = pool.place_request(f'p{prompt}')
            first_engines.setdefault(prompt, choice.id)
            assert choice.id == first_engines[prompt]
            pool.loads[choice.id] -= 1
    assert pool.processed == 12


def test_hot_prompt_spreads_by_copies_within_the_load_bound():
    """A burst of 60 requests with the same prompt goes to six engines."""
    pool = SimulatedPool(6)
    for _ in range(60):
        mean_before = pool.mean_load()
        choice = pool.place_request('hot')
        assert (
            pool.loads[choice.id]
            <= LOAD_FACTOR * mean_before + REQUIRED_BOUND_RESERVE
        )
    assert pool.processed == 1
    assert pool.copies >= 1


def test_mixed_burst_keeps_every_engine_within_the_load_bound():
    generator = random.Random(7)
    pool = SimulatedPool(6)
    running = []
    for step in range(2000):
        prompt = 'hot' if generator.random() < 0.3 else str(step % 59)
        mean_before = pool.mean_load()
        choice = pool.place_request(prompt)
        assert (
            pool.loads[choice.id]
            <= LOAD_FACTOR * mean_before + REQUIRED_BOUND_RESERVE
        )
        running.append(choice.id)
        if len(running) > 70:
            pool.loads[running.pop(generator.randrange(len(running)))] -= 1


def test_joining_engine_moves_no_cached_prompt():
    pool = SimulatedPool(5)
    prompts = [f'p{n}' for n in range(50)]
    first_engines = {}
    for prompt in prompts:
        first_engines[prompt] = pool.place_request(prompt).id
        pool.loads[first_engines[prompt]] -= 1
    pool.loads['joined'] = 0
    for prompt in prompts:
        choice = pool.place_request(prompt)
        assert choice.id == first_engines[prompt]
        pool.loads[choice.id] -= 1


def test_leaving_engine_serves_as_cache_source():
    holders_by_part = [{'leaving': 5.0, 'left': 2.0}]
    source = edge_placement_policy.find_cache_source(
        ['e1', 'e2'], holders_by_part, 'e1'
    )
    assert source == 'leaving'


def test_new_prompt_copies_a_shared_part():
    """A new session begins with a system prompt that others have cached.

    Without a copy each engine would process each system prompt again.
    """
    holders_by_part = [{}, {'e2': 1.0, 'e3': 2.0}]
    source = edge_placement_policy.find_cache_source(
        ['e1', 'e3', 'e2'], holders_by_part, 'e1'
    )
    assert source == 'e3'


def test_part_cached_by_the_chosen_engine_is_not_copied():
    holders_by_part = [{'e1': 1.0}, {'e1': 1.0, 'e2': 1.0}]
    assert (
        edge_placement_policy.find_cache_source(
            ['e1', 'e2'], holders_by_part, 'e1'
        )
        == ''
    )
    holders_by_part = [{}, {'e1': 1.0, 'e2': 1.0}]
    assert (
        edge_placement_policy.find_cache_source(
            ['e1', 'e2'], holders_by_part, 'e1'
        )
        == ''
    )


def test_deepest_part_cached_by_another_engine_is_copied():
    holders_by_part = [{'e2': 1.0}, {'e1': 1.0, 'e3': 1.0}]
    ranking = ['e1', 'e3', 'e2']
    assert (
        edge_placement_policy.find_cache_source(ranking, holders_by_part, 'e1')
        == 'e2'
    )


def test_ejected_engine_is_chosen_only_without_alternatives():
    holders = {'e1': 1.0}
    choice = edge_placement_policy.choose_engine(
        [make_candidate('e1', ejected=True), make_candidate('e2')],
        ['e1', 'e2'],
        holders,
        LOAD_FACTOR,
        EXACT_LOADS_S,
    )
    assert choice.id == 'e2'
    only_choice = edge_placement_policy.choose_engine(
        [make_candidate('e1', ejected=True)],
        ['e1'],
        holders,
        LOAD_FACTOR,
        EXACT_LOADS_S,
    )
    assert only_choice.id == 'e1'


def test_there_is_no_choice_without_a_candidate():
    assert (
        edge_placement_policy.choose_engine(
            [], [], {}, LOAD_FACTOR, EXACT_LOADS_S
        )
        is None
    )
    assert edge_placement_policy.choose_weighted([], 0.5) is None


def draw_server(servers, generator):
    return edge_placement_policy.choose_weighted(
        servers, generator.random()
    ).id


def test_idle_servers_are_drawn_equally_often():
    generator = random.Random(3)
    drawn = [
        draw_server([make_candidate('a'), make_candidate('b')], generator)
        for _ in range(500)
    ]
    assert 200 < drawn.count('a') < 300


def test_overloaded_server_is_drawn_seldom():
    generator = random.Random(3)
    servers = [
        make_candidate('slow', 40, slots=6),
        make_candidate('b', 2, slots=6),
    ]
    drawn = [draw_server(servers, generator) for _ in range(500)]
    assert drawn.count('slow') < 50


def test_slow_server_of_plain_calls_is_drawn_seldom():
    generator = random.Random(3)
    servers = [
        make_candidate('slow', slowdown=6.0),
        make_candidate('b'),
        make_candidate('c'),
        make_candidate('d', slowdown=0.8),
    ]
    drawn = [draw_server(servers, generator) for _ in range(500)]
    assert drawn.count('slow') < 20
    assert min(drawn.count(name) for name in 'bcd') > 100


def test_server_with_more_slots_is_drawn_more_often():
    generator = random.Random(3)
    servers = [
        make_candidate('large', slots=12),
        make_candidate('small', slots=4),
    ]
    drawn = [draw_server(servers, generator) for _ in range(400)]
    assert 250 < drawn.count('large') < 350


def test_ejected_server_is_not_drawn_while_there_are_others():
    generator = random.Random(3)
    servers = [make_candidate('a', ejected=True), make_candidate('b', 9)]
    assert {draw_server(servers, generator) for _ in range(50)} == {'b'}


def test_routers_with_stale_loads_do_not_crowd_one_server():
    """Simulate 78 calls/s of 90 ms at 3 servers of 6 slots.

    32 routers learn of each other's calls a second late.  Sending to the
    server with the lowest load a second ago made 47 of 100 calls wait; the
    weighted random choice makes 3 wait.
    """
    generator = random.Random(11)
    running_until = {name: [] for name in 'abc'}
    reported_loads, reported_at = dict.fromkeys(running_until, 0), 0.0
    now, waited = 0.0, 0
    calls = 4000
    for _ in range(calls):
        now += generator.expovariate(78)
        for name, end_times in running_until.items():
            running_until[name] = [
                end_time for end_time in end_times if end_time > now
            ]
        if now - reported_at > 1.0:
            reported_loads = {
                name: len(end_times)
                for name, end_times in running_until.items()
            }
            reported_at = now
        servers = [
            make_candidate(name, reported_loads[name], slots=6)
            for name in running_until
        ]
        name = draw_server(servers, generator)
        end_times = sorted(running_until[name])
        waited += len(end_times) >= 6
        started_at = end_times[-6] if len(end_times) >= 6 else now
        running_until[name].append(started_at + 0.09)
    assert waited < calls / 10


def test_engine_without_free_slots_is_not_chosen_for_its_cache():
    """Engines get twice their capacity, most of it for one prompt.

    With a bound on the mean load alone, one engine had a queue while another
    had free slots.
    """
    candidates = [
        make_candidate('a', 10, slots=8),
        make_candidate('b', 4),
        make_candidate('c', 4),
    ]
    choice = edge_placement_policy.choose_engine(
        candidates, ['a', 'b', 'c'], {'a': 1.0}, LOAD_FACTOR, EXACT_LOADS_S
    )
    assert choice.id == 'b'
    assert choice.reason == 'surplus'


def test_queues_of_full_engines_stay_equally_long():
    pool = SimulatedPool(6)
    for turn in range(6 * 20):
        pool.place_request('hot' if turn % 2 else f'p{turn}')
    mean_load = pool.mean_load()
    assert max(pool.loads.values()) <= 1.1 * mean_load + 2


def choose_by_speed(candidates, holders):
    return edge_placement_policy.choose_engine(
        candidates, ['a', 'b', 'c'], holders, LOAD_FACTOR, EXACT_LOADS_S
    )


def test_slow_engine_is_passed_over_also_for_its_cache():
    candidates = [make_candidate('a', slowdown=6.0), make_candidate('b')]
    for holders, reason in (({}, 'faster'), ({'a': 1.0}, 'faster')):
        choice = choose_by_speed(candidates, holders)
        assert (choice.id, choice.reason) == ('b', reason)


def test_faster_holder_is_preferred_to_a_copy():
    candidates = [
        make_candidate('a', slowdown=6.0),
        make_candidate('b'),
        make_candidate('c'),
    ]
    choice = choose_by_speed(candidates, {'a': 1.0, 'c': 2.0})
    assert (choice.id, choice.reason) == ('c', 'cached')


def test_engine_is_kept_if_all_are_slow_or_the_faster_one_is_full():
    slow = [make_candidate(name, slowdown=6.0) for name in 'abc']
    assert choose_by_speed(slow, {'a': 1.0}).id == 'a'
    full = [make_candidate('a', 1, slowdown=3.0), make_candidate('b', 8)]
    assert choose_by_speed(full, {'a': 1.0}).id == 'a'
    # A little slower is no reason to copy what is cached.
    little = [make_candidate('a', slowdown=1.4), make_candidate('b')]
    assert choose_by_speed(little, {'a': 1.0}).id == 'a'


def choose_hot(prompt_load, draw):
    candidates = [make_candidate('a', 4), make_candidate('b', 4, slots=8)]
    candidates.append(make_candidate('new', 0))
    return edge_placement_policy.choose_engine(
        candidates,
        ['a', 'b', 'new'],
        {'a': 1.0},
        LOAD_FACTOR,
        EXACT_LOADS_S,
        prompt_load,
        draw,
    )


def test_hot_prompt_gets_a_second_engine_before_the_first_is_at_its_bound():
    draws = [number / 20 for number in range(20)]
    chosen = [choose_hot(6.0, draw) for draw in draws]
    assert {choice.id for choice in chosen} == {'a', 'new'}
    assert {choice.reason for choice in chosen} == {'cached', 'hot'}
    assert {choose_hot(1.0, draw).id for draw in draws} == {'a'}


CACHED = edge_placement_policy.PartState.CACHED
BEING_READ = edge_placement_policy.PartState.BEING_READ
UNKNOWN = edge_placement_policy.PartState.UNKNOWN


@pytest.mark.parametrize(
    ('parts', 'expected'),
    [
        ([(CACHED, 5000)], False),
        ([(BEING_READ, 5000)], True),
        ([(BEING_READ, 90)], False),
        ([(CACHED, 100), (BEING_READ, 5000)], True),
        ([(UNKNOWN, 100), (BEING_READ, 5000)], False),
        ([(BEING_READ, 600), (BEING_READ, 600), (UNKNOWN, 9)], True),
        ([], False),
    ],
)
def test_requests_wait_for_long_parts_that_are_being_read(parts, expected):
    assert edge_placement_policy.is_worth_awaiting(parts) is expected
