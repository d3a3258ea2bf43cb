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
