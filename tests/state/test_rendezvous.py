from arbutusvale.state import rendezvous

NAMES = [f'engine-{number}' for number in range(6)]
KEYS = [f'chat-{number}' for number in range(1200)]


def test_first_is_the_start_of_the_ranking():
    for key in KEYS[:50]:
        assert rendezvous.first(key, NAMES) == rendezvous.rank(key, NAMES)[0]


def test_a_server_that_leaves_moves_only_its_own_keys():
    remaining = NAMES[1:]
    for key in KEYS:
        before = rendezvous.first(key, NAMES)
        if before != NAMES[0]:
            assert rendezvous.first(key, remaining) == before


def test_without_servers_the_choice_is_empty():
    assert rendezvous.first('chat', []) == ''


def test_a_short_ranking_is_the_start_of_the_complete_one():
    ranking = rendezvous.Ranking(reversed(NAMES))
    for key in KEYS[:50]:
        complete = rendezvous.rank(key, NAMES)
        assert sorted(complete) == NAMES
        assert ranking.rank(key, 3) == complete[:3]
        assert ranking.first(key) == complete[0]


def test_keys_are_spread_evenly():
    counts = dict.fromkeys(NAMES, 0)
    for key in KEYS:
        counts[rendezvous.first(key, NAMES)] += 1
    assert all(150 <= count <= 250 for count in counts.values())


def test_plain_and_vectorised_rankings_are_equal():
    names = [f'engine-{number}' for number in range(100)]
    large = rendezvous.Ranking(names)
    small = rendezvous.Ranking(names)
    small.vector_scores = None
    assert large.vector_scores is not None
    for key in KEYS[:100]:
        assert large.rank(key, 100) == small.rank(key, 100)
        assert large.rank(key, 3) == small.rank(key, 3)
        assert large.first(key) == small.first(key)


def test_a_fingerprint_depends_on_owner_target_and_body():
    fingerprints = {
        rendezvous.hash_request(owner, target, body)
        for owner in ('a', 'b')
        for target in (b'/x', b'/y')
        for body in (b'', b'z')
    }
    assert len(fingerprints) == 8
