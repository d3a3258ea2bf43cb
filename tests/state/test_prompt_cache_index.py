"""Cache locations: recording, eviction and removal of an engine."""

from arbutusvale.state import prompt_cache_index
from tests import helpers_edge


def test_recording_returns_whether_the_location_is_new():
    index = prompt_cache_index.PromptCacheIndex(helpers_edge.Clock())
    assert index.record('p', 'a')
    assert not index.record('p', 'a')
    assert index.record('p', 'b')
    assert set(index.find_engines('p')) == {'a', 'b'}
    index.remove_engine('a')
    assert set(index.find_engines('p')) == {'b'}


def test_the_least_recently_used_prompt_is_evicted():
    index = prompt_cache_index.PromptCacheIndex(helpers_edge.Clock())
    for number in range(prompt_cache_index.MAX_PROMPTS):
        index.record(str(number), 'a')
    index.record('0', 'a')
    index.record('one more', 'a')
    assert index.find_engines('0')
    assert not index.find_engines('1')
