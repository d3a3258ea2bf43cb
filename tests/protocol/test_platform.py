import asyncio

import pytest

from arbutusvale import errors
from arbutusvale.protocol import platform
from arbutusvale.standins import platform as platform_standin
from tests import helpers_standins as helpers

LOCAL_ADDRESS = '127.0.0.1:0'


def test_log_read_returns_appended_records():
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL_ADDRESS)
        async with helpers.run_standins(standin) as client:
            log = platform.HttpLogService(standin.address, client)
            pending_read = asyncio.create_task(log.read('s', 0, 5.0))
            assert await log.append('s', b'one') == 0
            page = await pending_read
            assert [record.data for record in page.records] == [b'one']
            assert await log.append('s', b'\xff') == 1
            page = await log.read('s', 1, 0)
            assert (page.records[0].data, page.head) == (b'\xff', 2)
            assert (await log.read('s', 2, 0.01)).records == []

    asyncio.run(check())


@pytest.mark.parametrize(
    ('faults', 'kind', 'appended'),
    [
        ({'outage': True}, errors.LogUnavailable, 0),
        ({'appends_per_s': 0}, errors.LogUnavailable, 0),
        ({'drop_append_answers': 1}, errors.AppendOutcomeUnknown, 1),
    ],
)
def test_append_error_says_whether_the_record_may_be_in_the_log(
    faults, kind, appended
):
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL_ADDRESS)
        async with helpers.run_standins(standin) as client:
            await helpers.set_faults(client, standin, **faults)
            log = platform.HttpLogService(standin.address, client)
            with pytest.raises(errors.LogUnavailable) as caught:
                await log.append('s', b'one')
            assert caught.type is kind
            assert standin.streams['s'].next_offset == appended

    asyncio.run(check())


def test_append_to_closed_port_raises_log_unavailable():
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL_ADDRESS)
        async with helpers.run_standins(standin) as client:
            await standin.stop()
            log = platform.HttpLogService(standin.address, client)
            with pytest.raises(errors.LogUnavailable) as caught:
                await log.append('s', b'one')
            assert caught.type is errors.LogUnavailable

    asyncio.run(check())


def test_expired_read_error_has_the_oldest_retained_offset():
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL_ADDRESS)
        async with helpers.run_standins(standin) as client:
            log = platform.HttpLogService(standin.address, client)
            await log.append('s', b'one')
            await helpers.set_faults(client, standin, retention_s=-1.0)
            with pytest.raises(errors.OffsetExpired) as caught:
                await log.read('s', 0, 0)
            assert caught.value.oldest == 1

    asyncio.run(check())


def test_vm_list_uses_etag_and_shows_lag_and_outage():
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL_ADDRESS)
        async with helpers.run_standins(standin) as client:
            vms = platform.HttpVmList(standin.address, client)
            await client.fetch(
                f'http://{standin.address}/vms/a',
                method='PUT',
                body='{"role": "sidecar", "state": "live"}',
            )
            assert [vm.name for vm in await vms.read()] == ['a']
            assert [vm.name for vm in await vms.read()] == ['a']
            assert vms.etag
            await helpers.set_faults(client, standin, vm_lag_s=60.0)
            assert await vms.read() == []
            await helpers.set_faults(client, standin, vm_outage=True)
            with pytest.raises(errors.LogUnavailable):
                await vms.read()

    asyncio.run(check())


def test_second_weight_request_within_the_interval_must_wait():
    async def check():
        standin = platform_standin.PlatformStandin(
            LOCAL_ADDRESS, weights_interval_s=60.0
        )
        async with helpers.run_standins(standin) as client:
            store = platform.HttpWeightStore(standin.address, client)
            assert await store.request_weights('m', '1') == 0.0
            assert 0 < await store.request_weights('m', '1') <= 60.0
            assert standin.weights_granted == 1

    asyncio.run(check())


def test_traffic_is_counted_per_endpoint():
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL_ADDRESS)
        async with helpers.run_standins(standin) as client:
            await client.fetch(
                f'http://{standin.address}/vms/a',
                method='PUT',
                body='{"role": "sidecar", "state": "live"}',
            )
            traffic = platform.PlatformTraffic()
            vms = platform.HttpVmList(standin.address, client, traffic)
            await vms.read()
            full_bytes = traffic.received['vms']
            await vms.read()
            not_modified_bytes = traffic.received['vms'] - full_bytes
            assert 0 < not_modified_bytes < full_bytes
            assert set(traffic.sent) == {'vms'}

    asyncio.run(check())
