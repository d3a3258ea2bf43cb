"""The client of the store, tested against a stand-in."""

import asyncio

import pytest

from arbutusvale import errors
from arbutusvale.platform import store
from arbutusvale.protocol import edge_settings
from arbutusvale.standins import edge_store

TOPIC = 'keyed.servers'


async def open_standin_and_topic():
    standin = edge_store.StoreStandin()
    port = await standin.server.open()
    address = edge_settings.Address('127.0.0.1', port)
    return standin, store.StoreTopic(address, TOPIC)


def run(scenario):
    async def run_and_close():
        standin, topic = await open_standin_and_topic()
        try:
            await scenario(standin, topic)
        finally:
            topic.disconnect()
            await standin.server.close()

    asyncio.run(run_and_close())


def test_newest_records_are_read_page_by_page():
    async def scenario(standin, topic):
        standin.page_size = 3
        for number in range(8):
            await standin.append(TOPIC, f'k{number}', b'v%d' % number)
        await standin.append(TOPIC, 'k3', b'')
        page = await topic.read_newest()
        assert [record.key for record in page.records] == [
            'k0', 'k1', 'k2', 'k4', 'k5', 'k6', 'k7',
        ]  # fmt: skip
        assert page.next_offset == 9

    run(scenario)


def test_a_long_poll_returns_a_new_record_or_a_removal():
    async def scenario(standin, topic):
        await standin.append(TOPIC, 'a', b'1')
        waiting = asyncio.create_task(topic.read_from(1, 5.0))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        await standin.append(TOPIC, 'a', b'')
        page = await waiting
        assert page.records[0].value is None
        assert page.next_offset == 2
        empty = await topic.read_from(2, 0.05)
        assert (empty.records, empty.next_offset) == ([], 2)

    run(scenario)


def test_truncated_or_rewound_history_raises_history_gone():
    async def scenario(standin, topic):
        for _ in range(5):
            await standin.append(TOPIC, 'a', b'1')
        await standin.compact(TOPIC)
        with pytest.raises(errors.StoreHistoryGone):
            await topic.read_from(2, 0.1)
        await standin.rewind(TOPIC, 3)
        standin.first_offsets.clear()
        with pytest.raises(errors.StoreHistoryGone):
            await topic.read_from(5, 0.0)

    run(scenario)


@pytest.mark.parametrize('fault', ['busy', 'reset', 'silent'])
def test_a_store_that_does_not_respond_raises_in_time(fault, monkeypatch):
    monkeypatch.setattr(store, '_RESPONSE_TIMEOUT_S', 0.1)
    monkeypatch.setattr(store, '_CONNECT_TIMEOUT_S', 0.1)

    async def scenario(standin, topic):
        standin.fault = fault
        with pytest.raises(errors.StoreUnavailable):
            await asyncio.wait_for(topic.read_from(0, 0.1), 2)
        standin.fault = None
        await standin.append(TOPIC, 'a', b'1')
        assert (await topic.read_newest()).records

    run(scenario)


def test_a_closed_store_raises_store_unavailable():
    async def scenario(standin, topic):
        await standin.server.close()
        with pytest.raises(errors.StoreUnavailable):
            await topic.read_newest()

    run(scenario)


# Hints of peers were put off for as long as a listener made no call.
def test_nothing_is_being_received_after_an_answer():
    async def scenario(standin, topic):
        await standin.append(TOPIC, 'a', b'1')
        assert (await topic.read_newest()).next_offset == 1
        assert topic.connection is not None
        assert not topic.is_receiving()

    run(scenario)
