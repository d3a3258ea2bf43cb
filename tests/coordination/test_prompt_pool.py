"""Load patterns of prompts, played by whole routers in virtual time."""

import asyncio

from arbutusvale.transport import http_connection
from tests import helpers_log
from tests.coordination import prompt_pool

# News between routers wait for others for 0.05 s, and take a hop.
NEWS_DELAY_S = 0.1
PART_TOKENS = 10_000
# Read in 0.53 s, and in more than 0.8 of the objective.
LONG_TOKENS = 30_000
LONGER_TOKENS = 45_000
# Nothing that engines sent before counts any more.
SILENCE_S = 2.0


def play(monkeypatch, scenario, routers=8, engines=6, seed=1):
    """Play a scenario of a day; return the day."""

    async def run():
        day = prompt_pool.PromptDay(seed, routers, engines)
        monkeypatch.setattr(
            http_connection, 'open_connection', day.open_connection
        )
        await day.start()
        await scenario(day)
        await day.stop()
        return day

    return helpers_log.run_in_virtual_time(run())


def test_new_prompt_of_many_callers_is_read_once(monkeypatch):
    """A scheduler that sees all caches reads it once."""

    async def send_all(day):
        tasks = []
        for number in range(60):
            router = day.routers[number % len(day.routers)]
            parts = f'campaign:{PART_TOKENS}'
            tasks.append(asyncio.create_task(day.send_prompt(parts, router)))
            await asyncio.sleep(0.02)
        await asyncio.gather(*tasks)

    day = play(monkeypatch, send_all)
    readings = day.list_readings('campaign')
    first_at = readings[0].sent_at
    late = [
        each for each in readings if each.sent_at > first_at + NEWS_DELAY_S
    ]
    assert not late
    assert max(day.latencies) < prompt_pool.TARGET_LATENCY_S


# The router gave up the engine, and another one read the prompt anew.
def test_prompt_that_takes_long_to_read_is_read_once(monkeypatch):
    """As on an engine that sends nothing to this router meanwhile."""

    async def send_one_by_one(day):
        router = day.routers[0]
        for number in range(4):
            await day.send_prompt(f'long{number}:{LONG_TOKENS}', router)
        await asyncio.sleep(SILENCE_S)
        await day.send_prompt(f'longer:{LONGER_TOKENS}', router)

    day = play(monkeypatch, send_one_by_one, routers=1)
    assert len(day.list_readings('longer')) == 1
    read_s = LONGER_TOKENS / prompt_pool.TOKENS_PER_S
    assert max(day.latencies) < read_s + NEWS_DELAY_S
