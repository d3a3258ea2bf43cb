"""A task that fails is logged and restarted."""

import asyncio

from arbutusvale.coordination import supervisor
from tests import helpers_edge


def test_failed_task_is_logged_and_restarted(monkeypatch):
    monkeypatch.setattr(supervisor, 'RESTART_DELAY_S', 0.0)
    events = helpers_edge.Events()
    runs = []

    async def run():
        runs.append(1)
        if len(runs) < 3:
            raise RecursionError('too deep')

    asyncio.run(supervisor.keep_running(run, events))
    assert len(runs) == 3
    failures = events.named('task-failed')
    assert len(failures) == 2
    assert 'too deep' in failures[0]['error']
    assert 'test_supervisor.py' in failures[0]['at']


def test_cancelled_task_is_not_restarted():
    async def scenario():
        events = helpers_edge.Events()
        task = asyncio.create_task(
            supervisor.keep_running(asyncio.Event().wait, events)
        )
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task], timeout=5)
        assert task.cancelled()

    asyncio.run(scenario())
