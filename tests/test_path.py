"""End-to-end requests through processes of the whole fleet."""

import http.client
import json
import time

import pytest

pytestmark = pytest.mark.process

LIMIT_WINDOW_S = 4.0


def join_stream_text(body: bytes) -> str:
    """Join the text of a streamed chat response."""
    text = ''
    for line in body.decode().splitlines():
        if line.startswith('data: {'):
            delta = json.loads(line[len('data: ') :])['choices'][0]['delta']
            text += delta.get('content', '')
    return text


def test_chat_stream_and_booking_pass_from_caller_to_backend_server(
    start_deployment,
):
    deployment = start_deployment()
    plain = deployment.send_chat(['oil change due'])
    assert plain.status == 200
    assert plain.header('Arbutusvale-Outcome') == 'answered'
    content = plain.json()['choices'][0]['message']['content']
    assert 'oil change due' in content

    streamed = deployment.send_chat(
        ['tyres worn'], stream=True, router='entry-2'
    )
    assert streamed.status == 200
    assert 'tyres worn' in join_stream_text(streamed.body)
    assert streamed.body.rstrip().endswith(b'[DONE]')

    first = deployment.post_booking('bay-1', idempotency_key='k1')
    again = deployment.post_booking(
        'bay-1', idempotency_key='k1', router='entry-2'
    )
    assert first.status == again.status == 201
    assert first.body == again.body
    assert deployment.count_booking_runs() == {'bay-1': 1}


def test_returning_chat_reaches_the_engine_that_caches_its_prefix(
    start_deployment,
):
    deployment = start_deployment(engines=3)
    turns = ['first question']
    served = set()
    for router in ('entry-1', 'entry-2', 'entry-1'):
        answer = deployment.send_chat(turns, router, headers={'Chat-Id': 'c1'})
        assert answer.status == 200
        served.add(answer.header('Arbutusvale-Served-By'))
        text = answer.json()['choices'][0]['message']['content']
        turns += [text, 'and then?']
    assert len(served) == 1
    usage = answer.json()['usage']
    assert usage['prompt_tokens_details']['cached_tokens'] > 0


def test_unknown_api_key_is_rejected(start_deployment):
    answer = start_deployment(services=0, routers=1).send_chat(
        ['x'], key='wrong'
    )
    assert answer.status == 401
    assert answer.json()['error']['outcome'] == 'not-run'


def test_unframed_stream_reaches_its_caller_whole_or_never_looks_complete(
    start_deployment,
):
    deployment = start_deployment(engines=1, services=0, routers=1)
    engine = deployment.backends['engine-1']

    def set_fault(unframed):
        deployment.set_faults(engine.server_address, unframed=unframed)

    set_fault('whole')
    answer = deployment.send_chat(['oil'], stream=True)
    assert answer.body.endswith(b'data: [DONE]\n\n')
    for unframed in ('cut', 'reset'):
        set_fault(unframed)
        with pytest.raises(http.client.IncompleteRead) as caught:
            deployment.send_chat(['oil'], stream=True)
        assert b'[D' not in caught.value.partial
        assert b'event: error' in caught.value.partial


def test_server_that_names_a_rate_gets_no_more_from_all_routers(
    start_deployment,
):
    """Its one sidecar keeps the limit; what it refuses did not run."""
    deployment = start_deployment()
    [backend] = [
        backend
        for name, backend in deployment.backends.items()
        if name.startswith('service')
    ]
    deployment.set_faults(backend.server_address, rate_limit='1')
    deployment.post_booking('first')
    started_at = time.monotonic()
    statuses = []
    while time.monotonic() < started_at + LIMIT_WINDOW_S:
        for router in ('entry-1', 'entry-2'):
            answer = deployment.post_booking(
                f'bay-{len(statuses)}', router=router
            )
            statuses.append(answer.status)
    runs = sum(deployment.count_booking_runs().values()) - 1
    assert 1 <= runs <= 1.5 * LIMIT_WINDOW_S + 5
    assert statuses.count(201) == runs
    assert set(statuses) <= {201, 503}
