"""Admission while a pool is short of room."""

import asyncio
import copy
import types

import pytest

from arbutusvale.coordination import edge_admission
from arbutusvale.coordination import edge_admission_policy
from arbutusvale.coordination import edge_call
from arbutusvale.coordination import room_policy
from arbutusvale.protocol import proxying
from arbutusvale.state import organisation_usage
from arbutusvale.state import pool_room
from tests import helpers_log
from tests.coordination import room_replay

POOL = room_policy.PoolState(
    requests=100, slots=100, engines=10, memory_tokens=1000
)


def make_share(**changes):
    fields = {'part': 0.2, 'requests': 18, 'tokens': 1500}
    return room_policy.Share(**(fields | changes))


def make_request(**changes):
    fields = {
        'tokens': 100,
        'new_tokens': 100,
        'wanted_before': pool_room.WantedRoom(),
        'work': 1.0,
        'starved': False,
    }
    return room_policy.RoomRequest(**(fields | changes))


def test_a_router_keeps_to_its_part_of_the_slots():
    find = room_policy.find_obstacle
    assert not find(POOL, make_share(), make_request())
    assert find(POOL, make_share(requests=22), make_request()) == 'slots'
    # While the others leave slots free, it may use more; else less.
    quiet = room_policy.PoolState(76, 100, 10, 1000)
    assert not find(quiet, make_share(requests=22), make_request())
    queued = room_policy.PoolState(120, 100, 10, 1000)
    assert find(queued, make_share(requests=13), make_request()) == 'slots'
    idle = room_policy.PoolState(20, 100, 10, 1000)
    assert not find(idle, make_share(requests=14), make_request())


def test_less_urgent_requests_leave_slots_to_urgent_ones():
    find = room_policy.find_obstacle
    assert not find(POOL, make_share(), make_request())
    wanted = pool_room.WantedRoom(slots=16.0)
    less_urgent = make_request(wanted_before=wanted)
    assert find(POOL, make_share(), less_urgent) == 'urgency'
    assert not find(POOL, make_share(requests=11), less_urgent)
    # One that is soon over needn't leave as many slots free.
    short = make_request(wanted_before=wanted, work=0.1)
    assert not find(POOL, make_share(requests=15), short)
    assert find(POOL, make_share(requests=15), less_urgent) == 'urgency'
    starved = make_request(wanted_before=wanted, starved=True)
    assert not find(POOL, make_share(), starved)


def test_a_long_prompt_is_refused_when_the_memory_is_used():
    find = room_policy.find_obstacle
    share = make_share(tokens=1750)
    assert find(POOL, share, make_request()) == 'memory'
    assert not find(POOL, share, make_request(new_tokens=50))
    assert find(POOL, make_share(), make_request(tokens=1001)) == 'too-large'
    # Long urgent requests find memory that shorter ones have left to them.
    wanted = pool_room.WantedRoom(4.0, 1200.0, 360_000.0)
    urgent = make_request(new_tokens=300)
    assert not find(POOL, make_share(), urgent)
    less_urgent = make_request(new_tokens=50, wanted_before=wanted)
    assert find(POOL, make_share(), less_urgent) == 'memory'


def play(seed, routers):
    """Return what is served, and the answers in aim at best."""
    arrivals = room_replay.draw_arrivals(seed, routers)
    best = copy.deepcopy(arrivals)
    room_replay.play_seeing_everything(best, seed)
    _, best_in_aim, _ = room_replay.summarise(best)
    room_replay.Replay(seed, routers).play(arrivals)
    return arrivals, best_in_aim


# Untouched, the most urgent kind was served worst (0.42 of its worth).  The
# bounds are those of issue 30: 0.85 of the best, 0.05 between kinds.
@pytest.mark.parametrize('routers', [5, 26])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_pool_short_of_room_serves_in_time_by_urgency(seed, routers):
    arrivals, best_in_aim = play(seed, routers)
    shares, in_aim, _ = room_replay.summarise(arrivals)
    assert in_aim >= 0.85 * best_in_aim
    assert shares['chat'] >= shares['tag'] - 0.05
    assert shares['tag'] >= shares['draft'] - 0.05
    # The users' gate: no kind may be served less than a quarter as often.
    assert shares['draft'] >= 0.25 * in_aim / sum(
        arrival.at >= room_replay.CALM_S for arrival in arrivals
    )


# Untouched, late answers were two thirds of those in aim; issue 30 wants them
# under a tenth of those given.
@pytest.mark.parametrize('routers', [5, 26])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_pool_short_of_room_gives_few_late_answers(seed, routers):
    arrivals, _ = play(seed, routers)
    _, in_aim, late = room_replay.summarise(arrivals)
    assert late < 0.1 * (in_aim + late)


# Too long prompts were sent on, evicted others and were read again.
def test_long_prompts_take_no_more_than_the_memory():
    arrivals = room_replay.draw_arrivals(1, 5)
    memory_tokens = 12_000
    replay = room_replay.Replay(1, 5, memory_tokens)
    most = 0

    def look(now):
        nonlocal most
        rooms = [each.context.rooms.get('chat') for each in replay.routers]
        most = max(most, sum(room.tokens for room in rooms))
        replay.slots.schedule(now + 0.05, look)

    replay.slots.schedule(room_replay.CALM_S + 1.0, look)
    replay.play(arrivals)
    assert 0 < most <= room_replay.ENGINES * memory_tokens


# An organisation's drafts hold their slots ten times as long as its tags.
def test_a_share_counts_work_and_not_requests():
    usage = organisation_usage.OrganisationUsage()
    for number in range(400):
        organisation = f'o{number % 4}'
        usage.record_arrival('chat', organisation, 1.0)
    for _ in range(4):
        usage.record_start('chat', 'drafts', 10.0)
        usage.record_arrival('chat', 'drafts', 10.0)
    for _ in range(10):
        usage.record_start('chat', 'tags', 0.2)
        usage.record_arrival('chat', 'tags', 0.2)
    factor = edge_admission_policy.FAIR_SHARE_FACTOR
    for organisation, exceeds in (('drafts', True), ('tags', False)):
        assert exceeds == (
            usage.count_in_flight('chat', organisation)
            > factor * 0.4 * usage.fair_share('chat', organisation)
        )


def test_one_engine_that_reports_nonsense_closes_no_pool():
    replay = room_replay.Replay(1, 1)
    context = replay.routers[0].context
    context.loads.record_reported_load('e0', 10**12)
    state = edge_admission.describe_pool(context, 'chat')
    share = room_policy.Share(part=1.0, requests=0, tokens=0)
    assert room_policy.utilisation(state, share) < 0.5


# They flooded the engines that were left.
def test_a_request_whose_engine_died_waits_for_room():
    async def run():
        replay = room_replay.Replay(1, 1)
        context = replay.routers[0].context
        loop = asyncio.get_running_loop()
        context.clock = context.rooms.clock = loop.time
        room = context.rooms.get('chat')
        room.clock = loop.time
        arrival = room_replay.Arrival(
            loop.time(), room_replay.KINDS[0], 9.0, 0
        )

        def make_request():
            request = replay.make_request(
                loop.time(), arrival, replay.routers[0]
            )
            request.caller_request = proxying.CallerRequest(
                b'POST', b'/chat/', [], b'', loop.time(), True
            )
            return request

        lost, *others = [make_request() for _ in range(300)]
        for request in (lost, *others):
            edge_admission.record_start(context, request)
        caller = types.SimpleNamespace(started=True)
        call = edge_call.EdgeCall(context, lost, caller)
        waiting = asyncio.create_task(call.wait_for_room())
        await asyncio.sleep(1.0)
        assert not waiting.done()
        assert not lost.holds_room
        assert lost.late
        for request in others:
            edge_admission.record_end(context, request)
        assert await waiting
        assert lost.holds_room
        assert room.in_flight == 1

    helpers_log.run_in_virtual_time(run())
