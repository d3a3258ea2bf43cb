"""Routers that start while a part of the store is down."""

import pytest

from tests import edge_fleet

pytestmark = pytest.mark.process


# All routers were killed while the operators' topic could not be read.
def test_routers_that_all_start_without_the_operators_topic_serve(fleet):
    fleet.publish_config()
    fleet.add_engine('e1')
    routers = [fleet.add_router(number) for number in (1, 2)]
    routers[0].wait_for_log('event=config-copied ')
    fleet.store.faulty_topics = {edge_fleet.CONFIG_TOPIC}
    fleet.store.fault = 'busy'
    for router in routers:
        router.kill()
    for router in routers:
        router.start().wait_until_ready()
        assert router.send_request('/chat/x')[0] == 200
        # What the copy lacks may have been added since.
        assert router.send_request('/new/x')[0] == 503
