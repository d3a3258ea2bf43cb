"""Use the fleet through a public client library."""

import openai
import pytest

from tests import deployment

pytestmark = pytest.mark.process
TURNS = [{'role': 'user', 'content': 'oil change due'}]
MODEL = 'lembrete-1'


def make_client(built, key=deployment.API_KEY):
    url = f'{built.routers["entry-1"].url}/v1'
    return openai.OpenAI(api_key=key, base_url=url, max_retries=0)


def test_the_openai_package_chats_with_and_without_streaming(start_deployment):
    built = start_deployment(engines=1, services=0, routers=1)
    client = make_client(built)
    whole = client.chat.completions.create(model=MODEL, messages=TURNS)
    text = whole.choices[0].message.content
    assert text.startswith('echo[oil change due]')

    chunks = client.chat.completions.create(
        model=MODEL, messages=TURNS, stream=True
    )
    parts = [chunk.choices[0].delta.content for chunk in chunks]
    assert len(parts) > 1
    assert ''.join(parts) == text
    assert [model.id for model in client.models.list()] == [MODEL]

    with pytest.raises(openai.AuthenticationError) as caught:
        make_client(built, 'wrong').models.list()
    assert caught.value.body['outcome'] == 'not-run'
