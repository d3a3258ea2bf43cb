"""Replay the load patterns that placement answers."""

import random

from arbutusvale.coordination import edge_placement_policy
from arbutusvale.state import rendezvous

FACTOR = 2.0
# The users' bound: no engine above factor x mean + 3.
USERS_RESERVE = 3


def make(server_id, load=0.0, ejected=False, slots=8):
    return edge_placement_policy.Candidate(server_id, load, slots, ejected)


class Pool:
    """Engines that hold requests for some time, placed by the module."""

    def __init__(self, count):
        self.loads = {f'e{n}': 0 for n in range(count)}
        self.holders = {}
        self.reads = 0
        self.copies = 0

    def place(self, prompt):
        candidates = [make(name, load) for name, load in self.loads.items()]
        choice = edge_placement_policy.choose_engine(
            candidates,
            rendezvous.rank(prompt, self.loads),
            self.holders.get(prompt, {}),
            FACTOR,
        )
        held = self.holders.setdefault(prompt, {})
        source = edge_placement_policy.find_cache_source(
            list(self.loads), [held], choice.id
        )
        if choice.id not in held:
            if source in self.loads:
                self.copies += 1
            else:
                self.reads += 1
            held[choice.id] = len(held)
        self.loads[choice.id] += 1
        return choice

    def mean(self):
        return sum(self.loads.values()) / len(self.loads)


def test_a_returning_prompt_goes_where_it_was_read():
    pool = Pool(6)
    homes = {}
    for _ in range(20):
        for prompt in range(12):
            choice = pool.place(f'p{prompt}')
            homes.setdefault(prompt, choice.id)
            assert choice.id == homes[prompt]
            pool.loads[choice.id] -= 1
    assert pool.reads == 12


def test_a_hot_prompt_spreads_by_copies_and_never_passes_the_bound():
    """One prompt gets all of a burst of 60 requests at six engines."""
    pool = Pool(6)
    for _ in range(60):
        before = pool.mean()
        choice = pool.place('hot')
        assert pool.loads[choice.id] <= FACTOR * before + USERS_RESERVE
    assert pool.reads == 1
    assert pool.copies >= 1


def test_a_mixed_burst_keeps_every_engine_below_the_users_bound():
    generator = random.Random(7)
    pool = Pool(6)
    held = []
    for step in range(2000):
        prompt = 'hot' if generator.random() < 0.3 else str(step % 59)
        before = pool.mean()
        choice = pool.place(prompt)
        assert pool.loads[choice.id] <= FACTOR * before + USERS_RESERVE
        held.append(choice.id)
        if len(held) > 70:
            pool.loads[held.pop(generator.randrange(len(held)))] -= 1


def test_an_engine_that_joins_moves_no_cached_prompt():
    pool = Pool(5)
    prompts = [f'p{n}' for n in range(50)]
    homes = {}
    for prompt in prompts:
        homes[prompt] = pool.place(prompt).id
        pool.loads[homes[prompt]] -= 1
    pool.loads['joined'] = 0
    for prompt in prompts:
        choice = pool.place(prompt)
        assert choice.id == homes[prompt]
        pool.loads[choice.id] -= 1


def test_a_prompt_of_a_leaving_engine_is_copied_from_it():
    holders_by_part = [{'leaving': 5.0, 'left': 2.0}]
    source = edge_placement_policy.find_cache_source(
        ['e1', 'e2'], holders_by_part, 'e1'
    )
    assert source == 'leaving'


def test_a_new_prompt_copies_the_part_that_many_prompts_share():
    """A new session begins with a system prompt that others have read.

    Without a copy each engine of a pool reads each system prompt once more.
    """
    holders_by_part = [{}, {'e2': 1.0, 'e3': 2.0}]
    source = edge_placement_policy.find_cache_source(
        ['e1', 'e3', 'e2'], holders_by_part, 'e1'
    )
    assert source == 'e3'


def test_what_an_engine_holds_itself_is_not_copied():
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


def test_the_deepest_part_that_another_engine_holds_is_copied():
    holders_by_part = [{'e2': 1.0}, {'e1': 1.0, 'e3': 1.0}]
    ranking = ['e1', 'e3', 'e2']
    assert (
        edge_placement_policy.find_cache_source(ranking, holders_by_part, 'e1')
        == 'e2'
    )


def test_an_avoided_engine_is_passed_over_while_there_are_others():
    holders = {'e1': 1.0}
    choice = edge_placement_policy.choose_engine(
        [make('e1', ejected=True), make('e2')], ['e1', 'e2'], holders, FACTOR
    )
    assert choice.id == 'e2'
    alone = edge_placement_policy.choose_engine(
        [make('e1', ejected=True)], ['e1'], holders, FACTOR
    )
    assert alone.id == 'e1'


def test_without_a_candidate_there_is_no_choice():
    assert edge_placement_policy.choose_engine([], [], {}, FACTOR) is None
    assert edge_placement_policy.choose_weighted([], 0.5) is None


def draw_plain(servers, generator):
    return edge_placement_policy.choose_weighted(
        servers, generator.random()
    ).id


def test_idle_servers_are_drawn_alike():
    generator = random.Random(3)
    drawn = [draw_plain([make('a'), make('b')], generator) for _ in range(500)]
    assert 200 < drawn.count('a') < 300


def test_a_server_that_stays_loaded_is_drawn_seldom():
    generator = random.Random(3)
    servers = [make('slow', 40, slots=6), make('b', 2, slots=6)]
    drawn = [draw_plain(servers, generator) for _ in range(500)]
    assert drawn.count('slow') < 50


def test_a_server_with_more_slots_is_drawn_more_often():
    generator = random.Random(3)
    servers = [make('large', slots=12), make('small', slots=4)]
    drawn = [draw_plain(servers, generator) for _ in range(400)]
    assert 250 < drawn.count('large') < 350


def test_an_avoided_server_is_not_drawn_while_there_are_others():
    generator = random.Random(3)
    servers = [make('a', ejected=True), make('b', 9)]
    assert {draw_plain(servers, generator) for _ in range(50)} == {'b'}


def test_many_routers_with_old_loads_do_not_crowd_one_server():
    """Replays 78 calls a second of 90 ms at 3 servers of 6 slots.

    32 routers hear of each other's calls a second late.  Sending to the
    server that looked idle a second ago made 47 in 100 calls wait; a random
    choice makes 3.
    """
    generator = random.Random(11)
    running = {name: [] for name in 'abc'}
    told, told_at = dict.fromkeys(running, 0), 0.0
    now, waited = 0.0, 0
    calls = 4000
    for _ in range(calls):
        now += generator.expovariate(78)
        for name, ends in running.items():
            running[name] = [end for end in ends if end > now]
        if now - told_at > 1.0:
            told = {name: len(ends) for name, ends in running.items()}
            told_at = now
        servers = [make(name, told[name], slots=6) for name in running]
        name = draw_plain(servers, generator)
        ends = sorted(running[name])
        waited += len(ends) >= 6
        begin = ends[-6] if len(ends) >= 6 else now
        running[name].append(begin + 0.09)
    assert waited < calls / 10


def test_an_engine_without_free_slots_yields_though_it_holds_the_prompt():
    """Twice the work that engines can do, most of it for one prompt.

    Bounds on the mean alone let one engine queue while another had slots.
    """
    candidates = [make('a', 10, slots=8), make('b', 4), make('c', 4)]
    choice = edge_placement_policy.choose_engine(
        candidates, ['a', 'b', 'c'], {'a': 1.0}, FACTOR
    )
    assert choice.id == 'b'
    assert choice.reason == 'surplus'


def test_queues_of_full_engines_stay_of_one_length():
    pool = Pool(6)
    for turn in range(6 * 20):
        pool.place('hot' if turn % 2 else f'p{turn}')
    mean = pool.mean()
    assert max(pool.loads.values()) <= 1.1 * mean + 2
