import asyncio
import contextlib
import json

import openai
import pytest

from arbutusvale.protocol import caller_api
from arbutusvale.protocol import messages
from arbutusvale.state import byte_budget
from arbutusvale.transport import admin_server
from arbutusvale.transport import bounded_http_server
from arbutusvale.transport import caller_api_server
from arbutusvale.transport import http_client as clients
from arbutusvale.transport import metrics
from tests import helpers_router

AUTH = {'Authorization': f'Bearer {helpers_router.API_KEY}'}
VMS = ('s-1', 's-2', 's-3')
CHAT = {'model': 'm-1', 'messages': [{'role': 'user', 'content': 'hi'}]}


@contextlib.asynccontextmanager
async def serve(links, budget=None, timeout_s=30, **organisation):
    dispatcher = helpers_router.make_dispatcher(
        links, helpers_router.make_bundle(**organisation)
    )
    server = caller_api_server.CallerServer(
        listen='127.0.0.1:0',
        dispatcher=dispatcher,
        budget=budget or byte_budget.ByteBudget(),
        max_connections=100,
    )
    server.start()
    async with asyncio.timeout(timeout_s):
        yield server
        await server.drain(5)


async def fetch(server, path, **options):
    options.setdefault('headers', AUTH)
    return await clients.make_client().fetch(
        f'http://127.0.0.1:{server.port}{path}', raise_error=False, **options
    )


def script_all_vms(links, script):
    for vm in VMS:
        links.scripts[vm] = script


def answer_completion(link, submit):
    body = {
        'id': 'x',
        'object': 'chat.completion',
        'created': 0,
        'model': 'm-1',
        'choices': [
            {
                'index': 0,
                'finish_reason': 'stop',
                'message': {'role': 'assistant', 'content': 'hello'},
            }
        ],
    }
    response = helpers_router.answer(submit.attempt, json.dumps(body).encode())
    response[1] = messages.Head(
        submit.attempt, 200, [['Content-Type', 'application/json']]
    )
    return response


def token_event(text):
    event = {
        'id': 'x',
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': 'm-1',
        'choices': [{'index': 0, 'delta': {'content': text}}],
    }
    return f'data: {json.dumps(event)}\n\n'.encode()


def answer_stream(link, submit):
    response = helpers_router.answer(
        submit.attempt,
        token_event('hel'),
        token_event('lo'),
        b'data: [DONE]\n\n',
    )
    response[1] = messages.Head(
        submit.attempt, 200, [['Content-Type', 'text/event-stream']]
    )
    return response


def test_openai_client_receives_complete_and_streamed_responses():
    async def scenario():
        links = helpers_router.FakeLinks()
        async with serve(links) as server:
            client = openai.AsyncOpenAI(
                api_key=helpers_router.API_KEY,
                base_url=f'http://127.0.0.1:{server.port}/v1',
                max_retries=0,
            )
            script_all_vms(links, answer_completion)
            response = await client.chat.completions.create(**CHAT)
            assert response.choices[0].message.content == 'hello'
            script_all_vms(links, answer_stream)
            chunks = await client.chat.completions.create(**CHAT, stream=True)
            parts = [c.choices[0].delta.content async for c in chunks]
            assert parts == ['hel', 'lo']
            models = await client.models.list()
            assert [model.id for model in models.data] == ['m-1']
            with pytest.raises(openai.NotFoundError) as raised:
                await client.chat.completions.create(
                    model='none', messages=CHAT['messages']
                )
            assert raised.value.body['code'] == 'unknown_service'
            await client.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('path', 'options', 'status'),
    [
        ('/v1/models', {'headers': {}}, 401),
        ('/none', {}, 404),
        ('/services/none/x', {}, 404),
        ('/services/secret/x', {}, 403),
        ('/v1/chat/completions', {'method': 'POST', 'body': '{'}, 400),
        (
            '/services/booking/x',
            {'method': 'POST', 'body': bytes(5 * 1024 * 1024)},
            413,
        ),
        ('/v1/models', {'method': 'DELETE'}, 405),
    ],
)
def test_all_errors_have_the_same_format(path, options, status):
    async def scenario():
        async with serve(helpers_router.FakeLinks()) as server:
            answer = await fetch(server, path, **options)
            error = json.loads(answer.body)['error']
            assert answer.code == status
            assert answer.headers[caller_api.OUTCOME] == 'not-run'
            assert error['request_id'] == answer.headers[caller_api.REQUEST_ID]
            assert set(error) == {
                'code',
                'message',
                'type',
                'request_id',
                'outcome',
            }

    asyncio.run(scenario())


def test_rate_limit_error_has_retry_after_in_whole_seconds():
    async def scenario():
        links = helpers_router.FakeLinks()
        async with serve(links, rate=0.5, burst=1) as server:
            await fetch(server, '/services/booking/x')
            answer = await fetch(server, '/services/booking/x')
            assert answer.code == 429
            assert answer.headers[caller_api.RETRY_AFTER] == '2'

    asyncio.run(scenario())


@pytest.mark.parametrize('kind', ['text/event-stream', 'text/plain'])
def test_failed_response_never_looks_complete(kind):
    def answer_then_fail(link, submit):
        size = 512 * 1024
        response = helpers_router.answer(submit.attempt, bytes(size), b'rest')
        response[1] = messages.Head(
            submit.attempt, 200, [['Content-Type', kind]]
        )
        response[-1] = messages.Failed(submit.attempt, 'unknown', 'crash', 0.0)
        return response

    async def scenario():
        links = helpers_router.FakeLinks()
        script_all_vms(links, answer_then_fail)
        async with serve(links) as server:
            body = json.dumps({**CHAT, 'stream': True})
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            writer.write(
                f'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
                f'Authorization: {AUTH["Authorization"]}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
            )
            received = await reader.read(-1)
            writer.close()
            assert received.startswith(b'HTTP/1.1 200 ')
            assert b'Transfer-Encoding: chunked' in received
            assert b'\r\n0\r\n\r\n' not in received
            assert (b'event: error' in received) == (kind != 'text/plain')

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('method', 'cancels'), [('GET', True), ('POST', False)]
)
def test_only_idempotent_requests_are_cancelled_on_disconnect(method, cancels):
    async def scenario():
        links = helpers_router.FakeLinks()
        submitted = asyncio.Event()
        accepted = []

        def accept_only(link, submit):
            accepted.append((link, submit))
            submitted.set()
            return [messages.Accepted(submit.attempt, 1, 1.0)]

        script_all_vms(links, accept_only)
        async with serve(links) as server:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            writer.write(
                f'{method} /services/booking/x HTTP/1.1\r\nHost: x\r\n'
                f'Content-Length: 0\r\n'
                f'Authorization: {AUTH["Authorization"]}\r\n\r\n'.encode()
            )
            await submitted.wait()
            writer.close()
            if not cancels:
                link, submit = accepted[0]
                response = helpers_router.answer(submit.attempt, b'x')
                links.deliver(link, response)
            await server.dispatcher.idle.wait()
            cancelled = [
                m for _, m in links.sent if isinstance(m, messages.Cancel)
            ]
            assert bool(cancelled) == cancels

    asyncio.run(scenario())


def test_drain_waits_for_requests_in_flight():
    async def scenario():
        links = helpers_router.FakeLinks()
        accepted = asyncio.Queue()

        def accept_only(link, submit):
            accepted.put_nowait((link, submit))
            return [messages.Accepted(submit.attempt, 1, 1.0)]

        script_all_vms(links, accept_only)
        async with serve(links) as server:
            fetch_task = asyncio.create_task(
                fetch(server, '/services/booking/x')
            )
            link, submit = await accepted.get()
            drain_task = asyncio.create_task(server.drain(10))
            await asyncio.sleep(0)
            assert server.dispatcher.draining
            links.deliver(link, helpers_router.answer(submit.attempt, b'x'))
            answer = await fetch_task
            assert (answer.code, answer.body) == (200, b'x')
            assert answer.headers['Connection'] == 'close'
            assert await drain_task == 0
            with pytest.raises(ConnectionRefusedError):
                await fetch(server, '/services/booking/x')

    asyncio.run(scenario())


# Their connections were closed without an answer.
@pytest.mark.parametrize('kind', [None, 'text/event-stream', 'text/plain'])
def test_requests_at_the_end_of_a_drain_are_told_so(kind):
    async def scenario():
        links = helpers_router.FakeLinks()

        def answer_in_part(link, submit):
            accepted = [messages.Accepted(submit.attempt, 1, 1.0)]
            if kind is None:
                return accepted
            response = helpers_router.answer(submit.attempt, bytes(1 << 19))
            response[1] = messages.Head(
                submit.attempt, 200, [['Content-Type', kind]]
            )
            return response[:-1]

        script_all_vms(links, answer_in_part)
        async with serve(links) as server:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            writer.write(
                f'POST /services/booking/x HTTP/1.1\r\nHost: x\r\n'
                f'Authorization: {AUTH["Authorization"]}\r\n'
                f'Content-Length: 0\r\n\r\n'.encode()
            )
            await asyncio.sleep(0.1)
            drain_task = asyncio.create_task(server.drain(0.5))
            received = await reader.read(-1)
            assert await drain_task == 1
            writer.close()
        assert received.count(b'HTTP/1.1 ') == 1
        assert b'\r\n0\r\n\r\n' not in received
        if kind is None:
            assert received.startswith(b'HTTP/1.1 502 ')
        if kind != 'text/plain':
            assert b'router_stopped' in received
            assert b'"unknown"' in received

    asyncio.run(scenario())


# It was sent to a sidecar, and its connection closed without an answer.
def test_request_behind_a_stream_is_answered_at_a_drain():
    async def scenario():
        links = helpers_router.FakeLinks()
        begun = asyncio.Queue()

        def begin(link, submit):
            response = helpers_router.answer(submit.attempt, bytes(1 << 19))
            begun.put_nowait((link, response[-1]))
            return response[:-1]

        script_all_vms(links, begin)
        async with serve(links) as server:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            request = (
                f'POST /services/booking/x HTTP/1.1\r\nHost: x\r\n'
                f'Authorization: {AUTH["Authorization"]}\r\n'
                f'Content-Length: 0\r\n\r\n'.encode()
            )
            writer.write(request)
            stream = await reader.read(4096)
            assert b'Connection: close' not in stream
            writer.write(request)
            await asyncio.sleep(0.1)
            drain_task = asyncio.create_task(server.drain(5))
            await asyncio.sleep(0.1)
            links.scripts.clear()
            link, end = await begun.get()
            links.deliver(link, [end])
            rest = await reader.read(-1)
            await drain_task
            writer.close()
        assert b'\r\n0\r\n\r\n' in rest
        assert rest.count(b'HTTP/1.1 ') == 1

    asyncio.run(scenario())


def test_admin_server_serves_health_status_and_metrics():
    async def scenario():
        links = helpers_router.FakeLinks()
        async with serve(links) as server:
            await fetch(server, '/services/booking/x')
            readiness = admin_server.Readiness(False, 'no bundle')
            admin = admin_server.AdminServer(
                listen='127.0.0.1:0',
                get_readiness=lambda: readiness,
                get_status=lambda: readiness,
                collectors=[metrics.RouterCollector(server.dispatcher)],
            )
            admin.start()
            assert (await fetch(admin, '/health/live')).code == 200
            ready = await fetch(admin, '/health/ready')
            assert (ready.code, json.loads(ready.body)['reason']) == (
                503,
                'no bundle',
            )
            page = (await fetch(admin, '/metrics')).body.decode()
            assert 'arbutusvale_requests_total{outcome="answered"} 1.0' in page
            assert 'quantile="0.95",service="booking"' in page
            status = json.loads((await fetch(admin, '/status')).body)
            assert status['ready'] is False
            await admin.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize('sent', ['with the first', 'after its head'])
def test_request_behind_a_stream_is_answered_at_a_stop(sent):
    submits = []

    def begin_stream(link, submit):
        replies = answer_stream(link, submit)
        submits.append((link, replies[3:]))
        return replies if len(submits) > 1 else replies[:3]

    async def scenario():
        links = helpers_router.FakeLinks()
        script_all_vms(links, begin_stream)
        body = json.dumps(CHAT | {'stream': True}).encode()
        request = (
            f'POST {caller_api.CHAT_PATH} HTTP/1.1\r\nHost: a\r\n'
            f'Authorization: {AUTH["Authorization"]}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body
        async with serve(links) as server:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            writer.write(request * (2 if sent == 'with the first' else 1))
            await reader.readuntil(b'hel')
            if sent == 'after its head':
                writer.write(request)
                await writer.drain()
            stopping = asyncio.create_task(server.drain(5))
            await asyncio.sleep(0.05)
            link, rest_of_stream = submits[0]
            for reply in rest_of_stream:
                await links.handler.receive(link, reply)
            rest = await reader.read()
            writer.close()
            assert rest.count(b'HTTP/1.1 200 OK') == 1
            assert rest.count(b'[DONE]') == 2
            assert await stopping == 0

    asyncio.run(scenario())


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():  # noqa: ASYNC110 - reads plain state
            await asyncio.sleep(0.01)


def chunked_head(path=caller_api.CHAT_PATH):
    return (
        f'POST {path} HTTP/1.1\r\nHost: a\r\n'
        f'Authorization: {AUTH["Authorization"]}\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


@pytest.mark.timeout(400)
def test_body_at_the_limit_in_chunks_of_one_byte_is_served():
    budget = byte_budget.ByteBudget()
    bodies = []

    def keep_body(link, submit):
        bodies.append(submit.body)
        return helpers_router.answer_with_name(link, submit)

    async def scenario():
        links = helpers_router.FakeLinks()
        script_all_vms(links, keep_body)
        async with serve(links, budget, timeout_s=300) as server:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            writer.write(chunked_head('/services/booking/x'))
            size = 4 * 1024 * 1024
            for _ in range(size // 65536):
                writer.write(b'1\r\na\r\n' * 65536)
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200')
            assert bodies == [b'a' * size]
            assert budget.peak_bytes >= size
            writer.close()
            await writer.wait_closed()
        assert budget.held_bytes == 0

    asyncio.run(scenario())


def test_spent_budget_refuses_the_heaviest_incomplete_request_as_not_run():
    budget = byte_budget.ByteBudget(1_000_000)

    async def scenario():
        links = helpers_router.FakeLinks()
        async with serve(links, budget) as server:
            connections = []
            for size in (300_000, 500_000):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', server.port
                )
                writer.write(chunked_head() + b'%x\r\n' % 600_000)
                writer.write(bytes(size))
                await writer.drain()
                connections.append((reader, writer))
            await wait_until(lambda: budget.held_bytes >= 800_000)
            answer = await fetch(
                server,
                '/services/booking/x',
                method='POST',
                body=bytes(200_000),
            )
            assert answer.code == 200
            refusal = await connections[1][0].read()
            head, _, body = refusal.partition(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 503')
            assert f'{caller_api.RETRY_AFTER}: 1'.encode() in head
            assert f'{caller_api.OUTCOME}: not-run'.encode() in head
            assert json.loads(body)['error']['code'] == 'memory_spent'
            submits = [m for _, m in links.sent if type(m) is messages.Submit]
            assert len(submits) == 1
            for _, writer in connections:
                writer.close()
            await wait_until(lambda: not budget.held_bytes)

    asyncio.run(scenario())


def test_body_of_a_running_request_counts_after_its_caller_has_left():
    budget = byte_budget.ByteBudget()

    async def scenario():
        links = helpers_router.FakeLinks()
        script_all_vms(links, lambda link, submit: [])
        async with serve(links, budget) as server:
            _, writer = await asyncio.open_connection('127.0.0.1', server.port)
            body = b'%x\r\n%s\r\n0\r\n\r\n' % (100_000, bytes(100_000))
            head = chunked_head('/services/booking/x')
            key = f'{caller_api.IDEMPOTENCY_KEY}: k\r\n\r\n'
            idempotent = f'{caller_api.IDEMPOTENT}: false\r\n'
            head = head[:-2] + idempotent.encode() + key.encode()
            writer.write(head + body)
            await wait_until(lambda: links.sent)
            writer.close()
            await asyncio.sleep(0.1)
            assert len(server.running) == 1
            assert budget.held_bytes >= 100_000
            await server.drain(0.5)
            assert not budget.held_bytes

    asyncio.run(scenario())


@pytest.mark.parametrize('turns', range(8))
def test_request_that_is_refused_around_its_end_does_not_run(
    monkeypatch, turns
):
    hold = bounded_http_server.ConnectionTable.hold

    def refuse_after(connection, turns):
        if turns:
            loop = asyncio.get_running_loop()
            loop.call_soon(refuse_after, connection, turns - 1)
        elif connection.refuse is not None:
            connection.refuse()

    def hold_and_refuse(table, stream, size):
        if size == len(b'body'):
            refuse_after(table.held[stream], turns + 1)
        return hold(table, stream, size)

    monkeypatch.setattr(
        bounded_http_server.ConnectionTable, 'hold', hold_and_refuse
    )

    async def scenario():
        links = helpers_router.FakeLinks()
        async with serve(links) as server:
            started = []
            start_call = server.dispatcher.start_call

            def record_call(request):
                started.append(request)
                return start_call(request)

            server.dispatcher.start_call = record_call
            answer = await fetch(
                server, '/services/booking/x', method='POST', body=b'body'
            )
            await server.drain(5)
            assert answer.code == (200 if started else 503)
            refused = answer.headers[caller_api.OUTCOME] == 'not-run'
            assert refused == (not started)

    asyncio.run(scenario())


def test_bodies_in_tiny_chunks_share_the_turns_of_the_event_loop(monkeypatch):
    # Thirty such bodies left no ordinary caller an answer.
    chunks_read = 0
    read_bytes = bounded_http_server.FairStream.read_bytes

    def count_chunk(stream, size, partial=False):
        nonlocal chunks_read
        chunks_read += partial
        return read_bytes(stream, size, partial)

    monkeypatch.setattr(
        bounded_http_server.FairStream, 'read_bytes', count_chunk
    )
    crowd, chunks = 10, 2000

    async def scenario():
        links = helpers_router.FakeLinks()
        async with serve(links) as server:
            writers = []
            for _ in range(crowd):
                _, writer = await asyncio.open_connection(
                    '127.0.0.1', server.port
                )
                writer.write(
                    b'POST /services/booking/x HTTP/1.1\r\nHost: a\r\n'
                    b'Transfer-Encoding: chunked\r\n\r\n'
                    + b'1\r\na\r\n'
                    * chunks
                )
                writers.append(writer)
            # The first chunks of each connection are free.
            free = crowd * bounded_http_server.CHUNKS_PER_STEP
            read_by_turn = []
            while chunks_read < crowd * chunks:
                read_by_turn.append(chunks_read)
                await asyncio.sleep(0)
            for writer in writers:
                writer.close()
            turns = zip(read_by_turn, read_by_turn[1:], strict=False)
            bound = 2 * (
                bounded_http_server.MAX_STEPS
                * bounded_http_server.CHUNKS_PER_STEP
            )
            assert all(
                after - before <= bound
                for before, after in turns
                if before >= free
            )

    asyncio.run(scenario())


# Its caller can't detect a truncated body, so that it is kept until its end.
def test_answer_to_a_http_1_0_caller_stays_within_the_budget():
    limit = 10_000_000
    chunks = 400 * [bytes(100_000)]

    def answer_without_end(link, submit):
        return helpers_router.answer(submit.attempt, *chunks)[:-1]

    async def scenario():
        budget = byte_budget.ByteBudget(limit)
        links = helpers_router.FakeLinks()
        async with serve(links, budget) as server:
            script_all_vms(links, answer_without_end)
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', server.port
            )
            writer.write(
                b'POST /v1/chat/completions HTTP/1.0\r\n'
                b'Authorization: Bearer %b\r\nContent-Length: %d\r\n\r\n%b'
                % (
                    helpers_router.API_KEY.encode(),
                    len(json.dumps(CHAT)),
                    json.dumps(CHAT).encode(),
                )
            )
            await asyncio.sleep(2)
            held = sum(
                len(piece)
                for handler in server.running
                for piece in handler._write_buffer
            )
            answer = await reader.read(4096)
            for handler in list(server.running):
                handler.task.cancel()
            writer.close()
            await wait_until(lambda: not server.running)
        assert budget.held_bytes == 0
        return held, answer

    held, answer = asyncio.run(scenario())
    assert held <= limit
    assert answer.split(b' ')[1] == b'502'
    assert b'answer_too_large' in answer
