"""Helpers for tests that run stand-ins of the platform and of servers."""

import asyncio
import contextlib
import json

from tornado import simple_httpclient

from arbutusvale.protocol import ports


@contextlib.asynccontextmanager
async def run_standins(*standins):
    """Start stand-ins, yield an HTTP client, and stop them at the end."""
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True, max_clients=1000
    )
    try:
        for standin in standins:
            await standin.start()
        yield client
    finally:
        for standin in standins:
            await standin.stop()
        client.close()


async def set_faults(client, standin, **faults):
    answer = await client.fetch(
        f'http://{standin.address}/faults',
        method='POST',
        body=json.dumps(faults),
    )
    return json.loads(answer.body)


async def read_stats(client, standin):
    answer = await client.fetch(f'http://{standin.address}/stats')
    return json.loads(answer.body)


async def wait_until(condition, seconds=5.0):
    """Wait until the condition is true; raises TimeoutError."""
    async with asyncio.timeout(seconds):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


def make_chat_request(text, request_id='r1', chat='c1', **fields):
    body = {'model': 'm', 'messages': [{'role': 'user', 'content': text}]}
    return ports.ServerRequest(
        request_id=request_id,
        method='POST',
        path='/v1/chat/completions',
        headers=[['Content-Type', 'application/json']],
        body=json.dumps(body | fields).encode(),
        chat=chat,
        priority=0,
        timeout=5.0,
    )


def make_booking_request(booking, request_id='r1', timeout=5.0):
    return ports.ServerRequest(
        request_id=request_id,
        method='POST',
        path='/bookings',
        headers=[['Content-Type', 'application/json']],
        body=json.dumps({'booking': booking, 'token': 't'}).encode(),
        chat='',
        priority=0,
        timeout=timeout,
    )


async def read_response(server, request):
    """Run a request; returns the head and the complete body."""
    head, chunks = None, []
    async for part in server.run(request):
        if isinstance(part, ports.ServerResponseHead):
            head = part
        else:
            chunks.append(part)
    return head, b''.join(chunks)
