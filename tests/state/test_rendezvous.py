from arbutusvale.state import rendezvous

NAMES = [f'engine-{number}' for number in range(6)]
KEYS = [f'chat-{number}' for number in range(1200)]


def test_first_is_the_head_of_the_ranking():
    for key in KEYS[:50]:
        assert rendezvous.first(key, NAMES) == rendezvous.rank(key, NAMES)[0]


def test_a_leave_moves_only_the_keys_of_the_server_that_left():
    rest = NAMES[1:]
    for key in KEYS:
        before = rendezvous.first(key, NAMES)
        if before != NAMES[0]:
            assert rendezvous.first(key, rest) == before


def test_no_server_gives_no_choice():
    assert rendezvous.first('chat', []) == ''


def test_a_short_ranking_is_the_head_of_the_whole_one():
    ranking = rendezvous.Ranking(reversed(NAMES))
    for key in KEYS[:50]:
        whole = rendezvous.rank(key, NAMES)
        assert sorted(whole) == NAMES
        assert ranking.rank(key, 3) == whole[:3]
        assert ranking.first(key) == whole[0]


def test_keys_spread_evenly():
    counts = dict.fromkeys(NAMES, 0)
    for key in KEYS:
        counts[rendezvous.first(key, NAMES)] += 1
    assert all(150 <= count <= 250 for count in counts.values())


def test_small_and_large_pools_are_ranked_alike():
    names = [f'engine-{number}' for number in range(100)]
    large = rendezvous.Ranking(names)
    small = rendezvous.Ranking(names)
    small.vector = None
    assert large.vector is not None
    for key in KEYS[:100]:
        assert large.rank(key, 100) == small.rank(key, 100)
        assert large.rank(key, 3) == small.rank(key, 3)
        assert large.first(key) == small.first(key)


def test_a_request_is_known_by_owner_target_and_body():
    prints = {
        rendezvous.hash_request(owner, target, body)
        for owner in ('a', 'b')
        for target in (b'/x', b'/y')
        for body in (b'', b'z')
    }
    assert len(prints) == 8
