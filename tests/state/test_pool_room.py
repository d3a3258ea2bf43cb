"""A router's part of a pool's room."""

import pytest

from arbutusvale.protocol import proxying
from arbutusvale.state import pool_room
from tests import helpers_edge


def make_metadata(*parts, output=0):
    return proxying.RequestMetadata(
        'id', 'host', '', None, None, '', 'm', parts, '', output
    )


def test_shared_parts_take_memory_once():
    room = pool_room.PoolRoom(helpers_edge.Clock())
    shared = proxying.PromptPart('s', 1000)
    first = make_metadata(shared, proxying.PromptPart('a', 10), output=5)
    second = make_metadata(shared, proxying.PromptPart('b', 20), output=5)
    room.take(first)
    assert room.count_new_tokens(second) == 25
    room.take(second)
    assert room.tokens == 1040
    room.release(first)
    assert room.tokens == 1025
    room.release(second)
    assert (room.tokens, room.in_flight) == (0, 0)


def test_parts_follow_the_demand_and_add_up():
    clock = helpers_edge.Clock()
    rooms = [pool_room.PoolRoom(clock) for _ in range(3)]
    for number, room in enumerate(rooms):
        for _ in range(10 * (number + 1)):
            room.record_arrival((0, 0), make_metadata())
    parts = []
    for room in rooms:
        for number, other in enumerate(rooms):
            if other is not room:
                room.peer_demand[f'r{number}'] = other.read_demand()
        parts.append(room.own_part(room.peer_demand))
    assert sum(parts) == pytest.approx(1.0)
    assert parts[2] == pytest.approx(3 * parts[0], rel=0.1)
    # Without news of it a peer counts like the others.
    assert rooms[0].own_part(['r1', 'r2', 'new']) < parts[0]
    assert rooms[1].own_part([]) == 1.0


def test_demand_of_callers_that_come_back_is_no_claim():
    room = pool_room.PoolRoom(helpers_edge.Clock())
    room.record_arrival(pool_room.LATE, make_metadata())
    assert room.read_demand() == 0.0
