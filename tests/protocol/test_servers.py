import asyncio
import json

import pytest

from arbutusvale import errors
from arbutusvale.protocol import engine
from arbutusvale.protocol import plain_service
from arbutusvale.protocol import ports
from arbutusvale.protocol import streaming_client
from arbutusvale.standins import engine as engine_standin
from arbutusvale.standins import raw_server
from arbutusvale.standins import service as service_standin
from tests import helpers_standins as helpers

LOCAL_ADDRESS = '127.0.0.1:0'


def make_engine_standin(**settings):
    return engine_standin.EngineStandin(LOCAL_ADDRESS, **settings)


def test_engine_reports_cached_tokens_and_cache_events():
    async def check():
        standin = make_engine_standin()
        async with helpers.run_standins(standin) as client:
            server = engine.HttpEngine(standin.address, client)
            head, body = await helpers.read_response(
                server, helpers.make_chat_request('hello there')
            )
            document = json.loads(body)
            assert head.status == 200
            text = document['choices'][0]['message']['content']
            assert text.startswith('echo[hello there]')
            _, body = await helpers.read_response(
                server, helpers.make_chat_request('hello there you')
            )
            usage = json.loads(body)['usage']
            assert usage['prompt_tokens_details'] == {'cached_tokens': 2}
            events = await server.read_cache_events(0, 0)
            assert events.events == [ports.CacheEvent(0, 'stored', 'c1')]
            assert (events.next_number, events.missed) == (1, False)

    asyncio.run(check())


def test_response_chunks_are_streamed():
    async def check():
        latencies = engine_standin.EngineLatencies(token_s=0.02)
        standin = make_engine_standin(latencies=latencies)
        async with helpers.run_standins(standin) as client:
            server = engine.HttpEngine(standin.address, client)
            request = helpers.make_chat_request('hi', stream=True)
            parts = [part async for part in server.run(request)]
            assert len(parts) > 5
            assert parts[-1].endswith(b'data: [DONE]\n\n')

    asyncio.run(check())


def test_closing_the_response_ends_the_run():
    async def check():
        latencies = engine_standin.EngineLatencies(token_s=0.01)
        standin = make_engine_standin(latencies=latencies)
        async with helpers.run_standins(standin) as client:
            server = engine.HttpEngine(standin.address, client)
            request = helpers.make_chat_request(
                'hi', stream=True, max_tokens=9999
            )
            answer = server.run(request)
            await anext(answer)
            await anext(answer)
            assert len(standin.active_runs) == 1
            await answer.aclose()
            await helpers.wait_until(lambda: not standin.active_runs)

    asyncio.run(check())


def test_cancel_ends_the_run():
    async def check():
        standin = make_engine_standin(
            latencies=engine_standin.EngineLatencies(token_s=0.01)
        )
        async with helpers.run_standins(standin) as client:
            server = engine.HttpEngine(standin.address, client)
            request = helpers.make_chat_request(
                'hi', stream=True, max_tokens=9999
            )
            answer = server.run(request)
            await anext(answer)
            await server.cancel('r1')
            with pytest.raises(errors.ServerResponseError):
                async for _ in answer:
                    pass

    asyncio.run(check())


@pytest.mark.parametrize(
    'faults',
    [{'cross_answers': 1}, {'down': True}, {'crash_marker': 'hi'}],
)
def test_faulty_engine_responses_raise_server_broken(faults):
    async def check():
        standin = make_engine_standin(**faults)
        async with helpers.run_standins(standin) as client:
            server = engine.HttpEngine(standin.address, client)
            with pytest.raises(errors.ServerResponseError):
                await helpers.read_response(
                    server, helpers.make_chat_request('hi')
                )

    asyncio.run(check())


def test_frozen_service_times_out():
    async def check():
        standin = service_standin.ServiceStandin(LOCAL_ADDRESS, freeze=True)
        async with helpers.run_standins(standin) as client:
            server = plain_service.HttpService(standin.address, client)
            request = helpers.make_booking_request('b', timeout=0.2)
            with pytest.raises(errors.ServerResponseError):
                await helpers.read_response(server, request)

    asyncio.run(check())


def test_closed_port_raises_server_unreachable():
    async def check():
        standin = make_engine_standin()
        async with helpers.run_standins(standin) as client:
            await standin.stop()
            server = engine.HttpEngine(standin.address, client)
            assert not await server.healthy()
            with pytest.raises(errors.ServerUnreachable):
                await helpers.read_response(
                    server, helpers.make_chat_request('hi')
                )

    asyncio.run(check())


def test_order_with_old_fencing_number_is_refused_if_checked():
    async def check(checks_fencing):
        standin = make_engine_standin(checks_fencing=checks_fencing)
        async with helpers.run_standins(standin) as client:
            server = engine.HttpEngine(standin.address, client)
            assert await server.send_order(
                ports.EngineOrder('load_model', 'm', '2', '', 5)
            )
            old_order = ports.EngineOrder('load_model', 'm', '1', '', 4)
            assert await server.send_order(old_order) is not checks_fencing
            load = await server.read_load()
            assert load.version == ('2' if checks_fencing else '1')

    asyncio.run(check(True))
    asyncio.run(check(False))


def test_exported_cache_is_imported_by_another_engine():
    async def check():
        first_standin, second_standin = (
            make_engine_standin(),
            make_engine_standin(cache_entries=1),
        )
        async with helpers.run_standins(
            first_standin, second_standin
        ) as client:
            first = engine.HttpEngine(first_standin.address, client)
            second = engine.HttpEngine(second_standin.address, client)
            await helpers.read_response(
                first, helpers.make_chat_request('a b c')
            )
            data = await first.export_cache('c1')
            assert await first.export_cache('unknown') == b''
            assert await second.import_cache('c1', data)
            assert not await second.import_cache('c2', data)
            assert second_standin.cache.tokens_by_chat['c1'] == 3

    asyncio.run(check())


def test_missed_cache_events_are_reported():
    async def check():
        standin = make_engine_standin(event_drop_share=0.5, seed=3)
        async with helpers.run_standins(standin) as client:
            server = engine.HttpEngine(standin.address, client)
            for number in range(20):
                standin.cache_prefix(f'c{number}', 1)
            assert (await server.read_cache_events(0, 0)).missed

    asyncio.run(check())


def test_booking_with_lost_response_counts_as_run():
    async def check():
        standin = service_standin.ServiceStandin(LOCAL_ADDRESS)
        async with helpers.run_standins(standin) as client:
            server = plain_service.HttpService(standin.address, client)
            head, body = await helpers.read_response(
                server, helpers.make_booking_request('b')
            )
            assert (head.status, json.loads(body)['run']) == (201, 1)
            await helpers.set_faults(
                client, standin, drop_answers_after_effect=1
            )
            with pytest.raises(errors.ServerResponseError):
                await helpers.read_response(
                    server, helpers.make_booking_request('b')
                )
            stats = await helpers.read_stats(client, standin)
            assert stats['bookings'] == {'b': 2}

    asyncio.run(check())


def test_hop_by_hop_headers_are_dropped():
    pairs = [['Connection', 'close, X-Own'], ['x-own', '1'], ['Accept', 'a']]
    assert streaming_client.drop_hop_by_hop(pairs) == [['Accept', 'a']]


MALFORMED_RESPONSES = [
    b'',
    b'nonsense\r\n\r\n',
    b'HTTP/1.1 abc OK\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nabc',
    b'HTTP/1.1 200 OK\r\nContent-Length: 3, 4\r\n\r\nabcd',
    b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: odd\r\n\r\nabc',
    b'HTTP/1.1 204 No\r\nContent-Length: 3\r\n\r\nabc',
    b'HTTP/1.1 100 Go\r\n\r\n' * 50,
    b'HTTP/1.1 200 OK\r\nX: ' + b'y' * 100_000 + b'\r\n\r\n',
    b'HTTP/1.1 200 OK\r\n\xff\xfe: \x00\r\nno colon\r\n\r\n',
]


def read_from_raw_server(answer, end_connection):
    """Read the body of an answer whose server then ends the connection."""

    async def send_answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await writer.drain()
        # The client reads what was sent before the connection ends.
        await asyncio.sleep(0.05)
        end_connection(writer)

    async def read():
        server = await asyncio.start_server(send_answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        parts = streaming_client.stream_response(
            f'127.0.0.1:{port}', 'GET', '/', [], b'', 30.0
        )
        try:
            async with asyncio.timeout(5):
                return [part async for part in parts][1:]
        finally:
            server.close()

    return asyncio.run(read())


@pytest.mark.parametrize('answer', MALFORMED_RESPONSES)
def test_malformed_response_raises_server_broken_at_once(answer):
    with pytest.raises(errors.ServerResponseError):
        read_from_raw_server(answer, lambda writer: writer.close())


def test_unframed_response_ends_with_its_connection():
    answer = b'HTTP/1.1 200 OK\r\n\r\nabc'
    assert read_from_raw_server(answer, lambda writer: writer.close()) == [
        b'abc'
    ]


# A reset was taken for the end of the answer.
def test_unframed_response_that_is_reset_is_incomplete():
    answer = b'HTTP/1.1 200 OK\r\n\r\nabc'
    with pytest.raises(errors.ServerResponseError):
        read_from_raw_server(answer, raw_server.reset_connection)


def test_framed_response_is_complete_though_reset_afterwards():
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc'
    assert read_from_raw_server(answer, raw_server.reset_connection) == [
        b'abc'
    ]
