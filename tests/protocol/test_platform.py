import asyncio

import pytest

from arbutusvale import errors
from arbutusvale.protocol import platform
from arbutusvale.standins import platform as platform_standin
from tests import helpers_standins as helpers

LOCAL = '127.0.0.1:0'


def test_log_appends_and_reads_back():
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL)
        async with helpers.run_standins(standin) as client:
            log = platform.HttpLogService(standin.address, client)
            reading = asyncio.create_task(log.read('s', 0, 5.0))
            assert await log.append('s', b'one') == 0
            page = await reading
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
        ({'drop_append_answers': 1}, errors.LogAnswerLost, 1),
    ],
)
def test_append_failures_are_told_apart(faults, kind, appended):
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL)
        async with helpers.run_standins(standin) as client:
            await helpers.set_faults(client, standin, **faults)
            log = platform.HttpLogService(standin.address, client)
            with pytest.raises(errors.LogUnavailable) as caught:
                await log.append('s', b'one')
            assert caught.type is kind
            assert standin.streams['s'].next_offset == appended

    asyncio.run(check())


def test_append_to_a_closed_port_is_unavailable():
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL)
        async with helpers.run_standins(standin) as client:
            await standin.stop()
            log = platform.HttpLogService(standin.address, client)
            with pytest.raises(errors.LogUnavailable) as caught:
                await log.append('s', b'one')
            assert caught.type is errors.LogUnavailable

    asyncio.run(check())


def test_expired_offset_names_the_oldest():
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL)
        async with helpers.run_standins(standin) as client:
            log = platform.HttpLogService(standin.address, client)
            await log.append('s', b'one')
            await helpers.set_faults(client, standin, retention_s=-1.0)
            with pytest.raises(errors.LogExpired) as caught:
                await log.read('s', 0, 0)
            assert caught.value.oldest == 1

    asyncio.run(check())


def test_vm_list_lags():
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL)
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


def test_weight_store_limits_its_rate():
    async def check():
        standin = platform_standin.PlatformStandin(
            LOCAL, weights_interval_s=60.0
        )
        async with helpers.run_standins(standin) as client:
            store = platform.HttpWeightStore(standin.address, client)
            assert await store.request_weights('m', '1') == 0.0
            assert 0 < await store.request_weights('m', '1') <= 60.0
            assert standin.weights_granted == 1

    asyncio.run(check())


def test_traffic_is_counted_by_what_was_called():
    async def check():
        standin = platform_standin.PlatformStandin(LOCAL)
        async with helpers.run_standins(standin) as client:
            await client.fetch(
                f'http://{standin.address}/vms/a',
                method='PUT',
                body='{"role": "sidecar", "state": "live"}',
            )
            traffic = platform.PlatformTraffic()
            vms = platform.HttpVmList(standin.address, client, traffic)
            await vms.read()
            whole = traffic.received['vms']
            await vms.read()
            unchanged = traffic.received['vms'] - whole
            assert 0 < unchanged < whole
            assert set(traffic.sent) == {'vms'}

    asyncio.run(check())
