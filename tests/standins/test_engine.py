import asyncio
import json

import pytest

from arbutusvale import errors
from arbutusvale.protocol import engine
from arbutusvale.protocol import plain_service
from arbutusvale.standins import engine as engine_standin
from arbutusvale.standins import engine_state
from arbutusvale.standins import service as service_standin
from tests import helpers_standins as helpers

LOCAL = '127.0.0.1:0'


def test_waiting_requests_run_by_priority_then_arrival():
    async def check():
        slots = engine_state.PrioritySemaphore(1)
        await slots.acquire(0)
        order = []

        async def work(name, priority):
            await slots.acquire(priority)
            order.append(name)
            slots.release()

        tasks = [
            asyncio.create_task(work(name, priority))
            for name, priority in (('low', 0), ('late', 0), ('high', 5))
        ]
        await asyncio.sleep(0)
        slots.release()
        await asyncio.gather(*tasks)
        assert order == ['high', 'low', 'late']
        assert slots.running == 0

    asyncio.run(check())


def test_a_waiter_cancelled_after_admission_releases_its_slot():
    async def check():
        slots = engine_state.PrioritySemaphore(1)
        await slots.acquire(0)
        waiting = asyncio.create_task(slots.acquire(0))
        await asyncio.sleep(0)
        slots.release()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert slots.running == 0

    asyncio.run(check())


def test_the_least_recently_used_chat_is_evicted():
    cache = engine_state.PrefixCache(2)
    assert cache.store('a', 1) == []
    assert cache.store('b', 1) == []
    assert cache.get_tokens('a') == 1
    assert cache.store('c', 1) == ['b']


def test_cache_events_stay_hidden_until_the_lag_has_passed():
    standin = engine_standin.EngineStandin(LOCAL, cache_entries=1)
    standin.cache_prefix('a', 1)
    standin.cache_prefix('b', 1)
    kinds = [event.kind for event in standin.cache_events.list_visible(0, 0.0)]
    assert kinds == ['stored', 'stored', 'evicted']
    assert standin.cache_events.list_visible(0, 60.0) == []


def test_no_more_requests_than_slots_run_at_once():
    async def check():
        latencies = engine_standin.EngineLatencies(token_s=0.005)
        standin = engine_standin.EngineStandin(
            LOCAL, slots=2, latencies=latencies
        )
        async with helpers.run_standins(standin) as client:
            server = engine.HttpEngine(standin.address, client)
            runs = [
                asyncio.create_task(
                    helpers.read_response(
                        server, helpers.make_chat_request('hi', f'r{number}')
                    )
                )
                for number in range(5)
            ]
            await helpers.wait_until(lambda: len(standin.active_runs) == 5)
            assert standin.slots.running == 2
            await asyncio.gather(*runs)
            assert standin.peak_outstanding == 5
            assert standin.slots.running == 0

    asyncio.run(check())


def test_a_crashed_engine_restarts_with_an_empty_cache():
    async def check():
        standin = engine_standin.EngineStandin(
            LOCAL, crash_marker='crash', restart_s=0.05
        )
        async with helpers.run_standins(standin) as client:
            server = engine.HttpEngine(standin.address, client)
            await helpers.read_response(
                server, helpers.make_chat_request('hi')
            )
            with pytest.raises(errors.ServerResponseError):
                await helpers.read_response(
                    server, helpers.make_chat_request('crash')
                )
            assert standin.crashes == 1
            await helpers.wait_until(lambda: standin.server is not None)
            assert await server.healthy()
            _, body = await helpers.read_response(
                server, helpers.make_chat_request('hi')
            )
            details = json.loads(body)['usage']['prompt_tokens_details']
            assert details == {'cached_tokens': 0}

    asyncio.run(check())


def test_a_crashed_service_restarts_with_its_bookings():
    async def check():
        standin = service_standin.ServiceStandin(
            LOCAL, crash_marker='crash', restart_s=0.05
        )
        async with helpers.run_standins(standin) as client:
            server = plain_service.HttpService(standin.address, client)
            await helpers.read_response(
                server, helpers.make_booking_request('b')
            )
            with pytest.raises(errors.ServerResponseError):
                request = helpers.make_booking_request('crash')
                await helpers.read_response(server, request)
            await helpers.wait_until(lambda: standin.server is not None)
            shown = await helpers.read_stats(client, standin)
            assert shown['bookings'] == {'b': 1}
            assert shown['crashes'] == 1

    asyncio.run(check())
