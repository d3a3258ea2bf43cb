"""Supervision of background tasks: log an error and restart the task."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from arbutusvale.state import event_log

# Keeps a task that fails at once from using up the CPU.
RESTART_DELAY_S = 0.5


async def keep_running(
    run: Callable[[], Awaitable[object]], events: event_log.EventLog
) -> None:
    """Run a task until it returns; restart it after an error and a delay.

    A log follower that ended unnoticed would leave the router with stale
    lists for good.
    """
    while True:
        try:
            await run()
        except Exception as error:
            events.write(
                'task-failed',
                task=run.__qualname__,
                error=repr(error),
                at=find_raise_location(error),
            )
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return


def find_raise_location(error: Exception) -> str:
    """Return the file and line at which an error was raised."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return '-'
    return f'{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}'
