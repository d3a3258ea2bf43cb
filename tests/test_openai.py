"""The caller API works with the ``openai`` client library."""

import openai
import pytest

from tests import deployment

pytestmark = pytest.mark.process
MESSAGES = [{'role': 'user', 'content': 'oil change due'}]
MODEL = 'lembrete-1'


def make_client(fleet, key=deployment.API_KEY):
    url = f'{fleet.routers["entry-1"].url}/v1'
    return openai.OpenAI(api_key=key, base_url=url, max_retries=0)


def test_openai_client_gets_whole_and_streamed_chat_completions(
    start_deployment,
):
    fleet = start_deployment(engines=1, services=0, routers=1)
    client = make_client(fleet)
    completion = client.chat.completions.create(model=MODEL, messages=MESSAGES)
    text = completion.choices[0].message.content
    assert text.startswith('echo[oil change due]')

    chunks = client.chat.completions.create(
        model=MODEL, messages=MESSAGES, stream=True
    )
    contents = [chunk.choices[0].delta.content for chunk in chunks]
    assert len(contents) > 1
    assert ''.join(contents) == text
    assert [model.id for model in client.models.list()] == [MODEL]

    with pytest.raises(openai.AuthenticationError) as caught:
        make_client(fleet, 'wrong').models.list()
    assert caught.value.body['outcome'] == 'not-run'
