"""Load patterns of prompts, played by whole routers in virtual time."""

import asyncio

from arbutusvale.transport import http_connection
from tests import helpers_log
from tests.coordination import prompt_pool

# News between routers wait for others for 0.05 s, and take a hop.
NEWS_DELAY_S = 0.1
PART_TOKENS = 10_000


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
