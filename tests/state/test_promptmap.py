"""Cache places are remembered, bounded and forgotten with their engine."""

from arbutusvale.state import promptmap
from tests import helpers_edge


def test_only_a_new_place_is_news():
    prompts = promptmap.PromptMap(helpers_edge.Clock())
    assert prompts.note('p', 'a')
    assert not prompts.note('p', 'a')
    assert prompts.note('p', 'b')
    assert set(prompts.holders('p')) == {'a', 'b'}
    prompts.forget_server('a')
    assert set(prompts.holders('p')) == {'b'}


def test_the_least_recently_used_prompt_yields():
    prompts = promptmap.PromptMap(helpers_edge.Clock())
    for number in range(promptmap.MAX_PROMPTS):
        prompts.note(str(number), 'a')
    prompts.note('0', 'a')
    prompts.note('one more', 'a')
    assert prompts.holders('0')
    assert not prompts.holders('1')
