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
