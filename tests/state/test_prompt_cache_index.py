"""Cache places are remembered, bounded and forgotten with their engine."""

from arbutusvale.state import prompt_cache_index
from tests import helpers_edge


def test_only_a_new_place_is_news():
    prompts = prompt_cache_index.PromptCacheIndex(helpers_edge.Clock())
    assert prompts.record('p', 'a')
    assert not prompts.record('p', 'a')
    assert prompts.record('p', 'b')
    assert set(prompts.find_engines('p')) == {'a', 'b'}
    prompts.remove_engine('a')
    assert set(prompts.find_engines('p')) == {'b'}


def test_the_least_recently_used_prompt_yields():
    prompts = prompt_cache_index.PromptCacheIndex(helpers_edge.Clock())
    for number in range(prompt_cache_index.MAX_PROMPTS):
        prompts.record(str(number), 'a')
    prompts.record('0', 'a')
    prompts.record('one more', 'a')
    assert prompts.find_engines('0')
    assert not prompts.find_engines('1')
