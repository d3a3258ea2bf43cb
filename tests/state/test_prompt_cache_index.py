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


def test_prompt_that_is_being_read_is_not_cached_yet():
    index = prompt_cache_index.PromptCacheIndex(helpers_edge.Clock())
    assert index.start_reading('p', 'a')
    assert not index.start_reading('p', 'a')
    assert not index.find_engines('p')
    assert set(index.find_readers('p')) == {'a'}
    assert index.record('p', 'a')
    assert set(index.find_engines('p')) == {'a'}
    assert not index.find_readers('p')
    assert not index.start_reading('p', 'a')


def test_reading_without_further_news_counts_as_cached_in_the_end():
    clock = helpers_edge.Clock()
    index = prompt_cache_index.PromptCacheIndex(clock)
    index.start_reading('p', 'a')
    clock.now += prompt_cache_index.MAX_READING_S
    assert set(index.find_engines('p')) == {'a'}


def test_only_a_reading_can_be_abandoned():
    index = prompt_cache_index.PromptCacheIndex(helpers_edge.Clock())
    index.start_reading('p', 'a')
    index.record('p', 'b')
    index.abandon_reading('p', 'a')
    index.abandon_reading('p', 'b')
    assert not index.find_readers('p')
    assert set(index.find_engines('p')) == {'b'}
