"""Replay the load patterns that placement answers."""

import random

from arbutusvale.coordination import engineplacement
from arbutusvale.state import rendezvous

FACTOR = 2.0
# The users' bound: no engine above factor x mean + 3.
USERS_RESERVE = 3


def make(server_id, load=0.0, avoided=False, near=True, slots=8):
    return engineplacement.Candidate(server_id, load, slots, near, avoided)


class Pool:
    """Engines that hold requests for some time, placed by the module."""

    def __init__(self, count):
        self.loads = {f'e{n}': 0 for n in range(count)}
        self.holders = {}
        self.reads = 0
        self.copies = 0

    def place(self, prompt):
        candidates = [make(name, load) for name, load in self.loads.items()]
        choice = engineplacement.choose_engine(
            candidates,
            rendezvous.rank(prompt, self.loads),
            self.holders.get(prompt, {}),
            FACTOR,
        )
        held = self.holders.setdefault(prompt, {})
        if choice.id not in held:
            if choice.cache_source in self.loads:
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
    choice = engineplacement.choose_engine(
        [make('e1'), make('e2')], ['e1', 'e2'], {'leaving': 5.0}, FACTOR
    )
    assert choice.cache_source == 'leaving'


def test_an_avoided_engine_is_passed_over_while_there_are_others():
    holders = {'e1': 1.0}
    choice = engineplacement.choose_engine(
        [make('e1', avoided=True), make('e2')], ['e1', 'e2'], holders, FACTOR
    )
    assert (choice.id, choice.cache_source) == ('e2', 'e1')
    alone = engineplacement.choose_engine(
        [make('e1', avoided=True)], ['e1'], holders, FACTOR
    )
    assert alone.id == 'e1'


def test_without_a_candidate_there_is_no_choice():
    assert engineplacement.choose_engine([], [], {}, FACTOR) is None
    assert engineplacement.choose_plain([], 0.5) is None


def test_plain_calls_go_to_the_least_loaded_and_near_one():
    near = make('near', 2, near=True)
    far = make('far', 2, near=False)
    assert engineplacement.choose_plain([far, near], 0.9).id == 'near'
    idle = make('idle', 0, near=False)
    assert engineplacement.choose_plain([near, idle], 0.1).id == 'idle'


def test_equal_choices_are_spread_over_routers():
    servers = [make(f's{n}') for n in range(4)]
    chosen = {
        engineplacement.choose_plain(servers, tie / 8).id for tie in range(8)
    }
    assert len(chosen) == 4
