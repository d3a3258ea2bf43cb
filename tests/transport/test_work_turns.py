"""Connections with much to parse share the turns of the event loop."""

import asyncio

from arbutusvale.transport import work_turns

MAX_STEPS = 4


def test_turn_of_the_event_loop_does_a_bounded_number_of_steps():
    turns_of_loop = []

    async def run():
        turns = work_turns.WorkTurns(MAX_STEPS)
        left = {name: 9 for name in 'abc'}
        steps = []

        def work(name):
            while left[name]:
                if not turns.take_step():
                    turns.defer(lambda: work(name))
                    return
                left[name] -= 1
                steps.append(name)

        for name in left:
            work(name)
        while any(left.values()):
            turns_of_loop.append(len(steps))
            await asyncio.sleep(0)
        return steps

    steps = asyncio.run(run())
    assert len(steps) == 27
    turns = zip(turns_of_loop, turns_of_loop[1:], strict=False)
    assert all(after - before <= MAX_STEPS for before, after in turns)
    # None waits until another one has ended.
    assert set(steps[: 4 * MAX_STEPS]) == set('abc')


def test_failed_step_does_not_stop_the_others():
    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda *error: None)
        turns = work_turns.WorkTurns(MAX_STEPS)
        done = asyncio.Event()
        turns.defer(lambda: 1 / 0)
        turns.defer(done.set)
        await asyncio.wait_for(done.wait(), 5)

    asyncio.run(run())
