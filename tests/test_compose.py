import asyncio

from arbutusvale import compose
from arbutusvale import settings


class EmptyVmList:
    """A VM list without VMs."""

    async def read(self):
        return []


def test_router_drops_outstanding_counts_of_vms_that_leave_the_list():
    async def run():
        router = compose.Router(
            settings.RouterSettings(
                vm='entry-1',
                data_centre='poa-1',
                listen='127.0.0.1:0',
                admin='127.0.0.1:0',
                platform='127.0.0.1:0',
                fleet_key='fleet-key-of-the-tests',
            )
        )
        placement = router.dispatcher.context.placement
        placement.record_outstanding('engine-1', 3)
        router.fleet.vms = {'engine-1': None}
        router.membership.vm_list = EmptyVmList()
        await router.membership.refresh()
        router.http_client.close()
        assert placement.outstanding == {}

    asyncio.run(run())
