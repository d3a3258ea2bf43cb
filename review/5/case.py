"""One unreadable entry in the list of engines, then an engine that drains."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import harness  # noqa: E402

DRAIN_S = 2.0
# How long the engine serves after its report has been accepted.
LINGER_S = 8.0
INTERVAL_S = 0.1
START_S = 15.0


async def check(fleet):
    """Return whether the rule held."""
    await fleet.publish(
        [harness.make_route('plain', 'idempotent', TimeoutMs=1500)],
        [harness.make_service('modelo')],
    )
    for name in ('i-01', 'i-02'):
        await fleet.add_engine(name)
    for _ in range(2):
        await fleet.add_router()
    for router in fleet.routers:
        await router.wait_until_ready()
    entry = fleet.engines['i-01'].entry() | {'Address': '127.0.0.1:9'}
    if fleet.disruption:
        # A number is where one belongs, but no double can hold it.
        entry['Slots'] = 10**400
    else:
        entry['Slots'] = 'many'
    await fleet.store.append(
        harness.SERVERS_TOPIC, 'i-99', json.dumps(entry).encode()
    )
    fleet.record.write('another writer has written servers/i-99')
    await asyncio.sleep(4.0)
    leaving = fleet.engines['i-01']
    leaving.state = 'draining'
    await leaving.register()
    acknowledged_at = fleet.record.now()
    fleet.record.write('the store has accepted that i-01 is draining')
    tasks = []
    sent_at = {}
    while fleet.record.now() < acknowledged_at + LINGER_S:
        for router in fleet.routers:
            attempt = fleet.next_attempt()
            sent_at[attempt] = fleet.record.now()
            tasks.append(
                asyncio.create_task(
                    harness.send(
                        fleet.record,
                        router.address,
                        '/plain/x',
                        attempt,
                        1.5,
                        method='GET',
                    )
                )
            )
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*tasks)
    late = [
        attempt
        for arrived_at, attempt in leaving.arrivals
        if arrived_at > acknowledged_at + DRAIN_S
        and sent_at[attempt] > acknowledged_at + DRAIN_S
    ]
    fleet.record.write(
        f'{len(late)} of {len(answers)} requests reached i-01 later than'
        f' DrainMs after its draining was accepted: {late}'
    )
    # For the record only: do the routers come back after a kill of all?
    for router in fleet.routers:
        await router.end()
    fleet.record.write('all routers are killed, and start again')
    for router in fleet.routers:
        await router.start()
    try:
        for router in fleet.routers:
            await router.wait_until_ready(START_S)
    except harness.CouldNotRunError:
        fleet.record.write(f'a router is not ready {START_S} s later')
    else:
        fleet.record.write('all routers are ready')
    return not late


harness.run(check, pathlib.Path(__file__).parent)
