"""A soak run: routers, store and engines behind fault proxies, callers."""

import asyncio
import contextlib
import http.client
import itertools
import random
import signal
import time

from arbutusvale.standins import fault_proxy
from tests import edge_fleet
from tests import helpers_edge
from tests.soak import callers
from tests.soak import checks
from tests.soak import fault_schedule

# Callers continue for this time after all faults ended.
RECOVERY_PERIOD_S = 2.0
ENGINE_FAULT_KINDS = (
    'error', 'shed', 'reset', 'hang', 'truncate', 'extra', 'foreign',
    'unsigned', 'garbage', 'slow', 'stream-cut', 'stream-end-early',
    'unframed-cut', 'unframed-reset', 'unframed-empty', 'pause=0.4',
    'pause=soon', 'endless-header', 'endless-trailer', 'endless-garbage',
)  # fmt: skip
ROUTES = [
    helpers_edge.make_route(),
    helpers_edge.make_route(
        'once', '/once/', RouteType='non_idempotent', MaxAttempts=1
    ),
    helpers_edge.make_route(
        'stream',
        '/stream/',
        RouteType='streaming',
        StreamResume=True,
        TimeoutMs=3000,
    ),
    helpers_edge.make_route(
        'talk',
        '/stream/once/',
        RouteType='streaming',
        MaxAttempts=1,
        TimeoutMs=3000,
    ),
]
# The answers of this engine end with their connection, some of them early.
UNFRAMED_ENGINE = 'e1'
UNFRAMED_FAULT_WEIGHTS = {
    'unframed': 30, 'unframed-cut': 1, 'unframed-reset': 1,
}  # fmt: skip
MAX_UNFRAMED_ANSWERS = 5000
# Requests with one crashing part, at intervals; engines restart in between.
CRASHING_REQUESTS = 12
CRASHING_INTERVAL_S = 0.3
# Some callers of a crashing request leave before its engine crashes.
PATIENCES_S = (2.0, 0.05, 2.0)
REQUEST_CRASH_DELAY_S = 0.1
CRASH_DOWN_S = 1.2
ENGINE_LIMIT = 5.0
# What engines tell of their speed, the last two by mistake; one is slow.
TOLD_SLOWDOWNS = ('100', '250', '0', '1000000')
SLOWDOWN_PERCENT = '600'
SLOW_SERVICE_TIME_S = 0.15
SOFTWARE_VERSIONS = ('v1', 'v2')
# The data centre of the last engine.
EVACUATED = 'south'
ORGANISATIONS = [{'Name': 'acme', 'ApiKeys': ['key-1', 'key-2']}]


class SoakRun:
    """One run of a seed; :meth:`close` stops all processes and threads."""

    def __init__(
        self,
        folder,
        seed,
        seconds,
        router_count=3,
        engine_count=4,
        caller_count=8,
    ):
        self.seed = seed
        self.seconds = seconds
        self.fleet = edge_fleet.EdgeFleet(folder)
        self.engine_proxies = {}
        # Each item is an engine and the time at which its drain began.
        self.drained = []
        self.all_engines = []
        self.revoked_at = None
        self.disturbances = []
        # Those in which routers may have lost the store, or start anew.
        self.contact_losses = []
        self.recovered_at = 0.0
        self.faults_ended_at = 0.0
        self.injected_faults = []
        self.crashing_parts = []
        self.crashing_requests = []
        # Each item is an engine and the time at which it named a limit.
        self.limited = []
        self.engine_limit = ENGINE_LIMIT
        self.evacuated_at = None
        self.tasks = set()
        self.paused = []
        self.store_proxy = self.open_proxy(self.fleet.store.server.port)
        self.fleet.store_port = self.store_proxy.port
        self.fleet.publish_config(routes=ROUTES, Tenants=ORGANISATIONS)
        for number in range(engine_count):
            is_last = number == engine_count - 1
            self.add_engine(f'e{number}', EVACUATED if is_last else 'north')
        for number in range(router_count):
            self.fleet.add_router(number + 1, wait=False)
        for router in self.fleet.routers:
            router.wait_until_ready()
        hosts = [router.host for router in self.fleet.routers]
        self.callers = [
            callers.Caller(number, seed, hosts, self.fleet.caller_port)
            for number in range(caller_count)
        ]

    def open_proxy(self, port):
        proxy = fault_proxy.FaultProxy('127.0.0.1:0', f'127.0.0.1:{port}')
        self.fleet.event_loop.run(proxy.start())
        return proxy

    def add_engine(self, name, data_centre):
        """Start an engine and list it with the address of its proxy."""
        version = SOFTWARE_VERSIONS[len(self.all_engines) % 2]
        engine = self.fleet.add_engine(name, State='draining', Version=version)
        engine.stream_prefix = '/stream/'
        engine.software_version = version
        if name == UNFRAMED_ENGINE:
            engine.default_fault = 'unframed'
            engine.faults = random.Random(self.seed).choices(
                list(UNFRAMED_FAULT_WEIGHTS),
                list(UNFRAMED_FAULT_WEIGHTS.values()),
                k=MAX_UNFRAMED_ANSWERS,
            )
        self.all_engines.append(engine)
        engine.before_crash = self.refuse_connections
        engine.on_crash = self.start_restart
        self.engine_proxies[name] = self.open_proxy(engine.server.port)
        self.fleet.register_engine(
            name,
            self.engine_proxies[name].port,
            Version=version,
            Zone=data_centre,
        )

    async def refuse_connections(self, name):
        """Let an engine that crashes refuse connections.

        Those of the engine without framing are closed without a reset.
        """
        proxy = self.engine_proxies[name]
        await proxy.set_refusing(True)
        if name != UNFRAMED_ENGINE:
            proxy.reset_connections()

    def start_restart(self, name):
        """Start a crashed engine again after a while."""

        async def restart():
            await asyncio.sleep(CRASH_DOWN_S)
            await self.fleet.engines[name].restart()
            await self.engine_proxies[name].set_refusing(False)

        task = asyncio.get_running_loop().create_task(restart())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def run_and_check(self):
        """Inject the scheduled faults; return the violated guarantees."""
        started_at = time.monotonic()
        for caller in self.callers:
            caller.start()
        for fault in fault_schedule.draw_faults(self.seed, self.seconds):
            time.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
            self.inject(fault)
        time.sleep(max(0.0, started_at + self.seconds - time.monotonic()))
        self.end_faults()
        time.sleep(RECOVERY_PERIOD_S)
        for caller in self.callers:
            caller.stopping.set()
        for caller in self.callers:
            caller.join(callers.SOCKET_TIMEOUT_S * 2)
        return list(checks.find_violations(self))

    def inject(self, fault):
        """Inject one fault and record how long its effects last."""
        self.injected_faults.append(fault)
        name = fault.kind.replace('-', '_')
        started_at = time.monotonic()
        disturbed_s = getattr(self, f'inject_{name}')(fault)
        if disturbed_s:
            ended_at = time.monotonic() + disturbed_s
            self.disturbances.append((started_at, ended_at))
            if 'router' in fault.kind or 'store' in fault.kind:
                self.contact_losses.append((started_at, ended_at))

    def end_faults(self):
        """End all faults and wait until every router is ready."""
        self.fleet.store.fault = None
        for proxy in (self.store_proxy, *self.engine_proxies.values()):
            proxy.faults.delay_s = 0.0
        for engine in self.all_engines:
            engine.faults = []
            engine.limit = ''
            engine.slowdown = ''
            engine.service_time_s = 0.0
        self.faults_ended_at = time.monotonic()
        if self.evacuated_at is not None:
            self.append_evacuation(b'')
        for router in self.fleet.routers:
            if router.process.poll() is not None:
                router.start()
            router.send_signal(signal.SIGCONT)
            router.wait_until_ready()
        # Routers detect frozen connections within this time.
        time.sleep(checks.CONTACT_TIMEOUT_S)
        self.recovered_at = time.monotonic()

    def is_undisturbed(self, start, end):
        """Return whether no recorded disturbance overlaps the interval."""
        return not any(
            started_at <= end and ended_at >= start
            for started_at, ended_at in self.disturbances
        )

    def is_in_touch(self, moment):
        """Return whether all routers followed the store before a moment."""
        return not any(
            started_at <= moment <= ended_at + checks.CONTACT_TIMEOUT_S
            for started_at, ended_at in self.contact_losses
        )

    def list_timed_executions(self, engine):
        """List an engine's executions with the start time of their attempt."""
        start_by_attempt = {
            attempt.id: attempt.started_at
            for caller in self.callers
            for attempt in caller.attempts
        }
        return [
            (execution, start_by_attempt[execution.attempt_id])
            for execution in engine.received
            if execution.executed and execution.attempt_id in start_by_attempt
        ]

    # Each inject_* method for a fault kind returns for how many seconds its
    # effects may last after the method; None means 0.

    def pick_router(self, fault):
        routers = self.fleet.routers
        return routers[fault.target_index % len(routers)]

    def pick_engine(self, fault):
        return self.all_engines[fault.target_index % len(self.all_engines)]

    def call_in_loop(self, function, *args):
        """Call a plain function in the event loop of the stand-ins."""

        async def call_function():
            function(*args)

        self.fleet.event_loop.run(call_function())

    def inject_kill_router(self, fault):
        router = self.pick_router(fault)
        router.kill()
        router.start()
        return 3.0

    def inject_kill_all_routers(self, fault):
        """Let all routers lose what they know of streams."""
        for router in self.fleet.routers:
            router.kill()
        for router in self.fleet.routers:
            router.start()
        return 3.0

    def inject_pause_router(self, fault):
        router = self.pick_router(fault)
        if router.process.poll() is None:
            router.send_signal(signal.SIGSTOP)
            time.sleep(fault.duration_s)
            router.send_signal(signal.SIGCONT)
        return 1.0

    def inject_terminate_router(self, fault):
        router = self.pick_router(fault)
        if router.process.poll() is None:
            router.send_signal(signal.SIGTERM)
            with contextlib.suppress(Exception):
                router.process.wait(9)
            exit_status = router.process.poll()
            # SIGTERM kills a process that has not installed its handler yet;
            # it has not accepted any request by then (seeds 1002, 1033, 1054).
            if exit_status not in (None, 0) and router.has_started():
                raise AssertionError(
                    f'SIGTERM ended router with {exit_status}'
                )
        router.kill()
        router.start()
        return 3.0

    def inject_reload_router(self, fault):
        router = self.pick_router(fault)
        if router.process.poll() is None:
            router.send_signal(signal.SIGHUP)

    def inject_reset_engine_connections(self, fault):
        self.call_in_loop(
            self.engine_proxies[self.pick_engine(fault).name].reset_connections
        )
        return 0.5

    def inject_freeze_engine_connections(self, fault):
        self.call_in_loop(
            self.engine_proxies[
                self.pick_engine(fault).name
            ].freeze_connections
        )
        return 3.0

    def inject_freeze_engine_responses(self, fault):
        proxy = self.engine_proxies[self.pick_engine(fault).name]
        self.call_in_loop(
            proxy.freeze_connections, fault_proxy.Direction.TO_CLIENT
        )
        return 3.0

    def inject_delay_engine(self, fault):
        proxy = self.engine_proxies[self.pick_engine(fault).name]
        proxy.faults.delay_s = 0.2
        return self.seconds

    def inject_store_busy(self, fault):
        return self.inject_store_fault('busy', fault)

    def inject_store_silent(self, fault):
        return self.inject_store_fault('silent', fault)

    def inject_store_reset(self, fault):
        return self.inject_store_fault('reset', fault)

    def inject_store_fault(self, kind, fault):
        self.fleet.store.fault = kind
        time.sleep(fault.duration_s)
        self.fleet.store.fault = None
        return 3.0

    def inject_freeze_store_connections(self, fault):
        self.call_in_loop(self.store_proxy.freeze_connections)
        return 3.0

    def inject_compact_store(self, fault):
        for topic in (edge_fleet.CONFIG_TOPIC, edge_fleet.SERVERS_TOPIC):
            self.fleet.event_loop.run(self.fleet.store.compact(topic))

    def inject_restore_store(self, fault):
        """Let the store lose records, which are written again later."""
        self.fleet.store.fault = 'silent'
        time.sleep(0.1)
        counts = {
            topic: fault.target_index % divisor
            for topic, divisor in (
                (edge_fleet.CONFIG_TOPIC, 2),
                (edge_fleet.SERVERS_TOPIC, 3),
            )
        }
        lost = self.fleet.event_loop.run(self.fleet.store.restore(counts))
        self.fleet.store.fault = None
        time.sleep(min(0.5, fault.duration_s))
        for topic, key, value in lost:
            self.fleet.append(topic, key, value)
        return 3.0

    def inject_engine_fault(self, fault):
        kind = ENGINE_FAULT_KINDS[fault.target_index % len(ENGINE_FAULT_KINDS)]
        for engine in self.all_engines[:2]:
            engine.faults[:0] = [kind] * 3
        return 0.0

    def inject_drain_engine(self, fault):
        engine = self.pick_engine(fault)
        if len(self.fleet.engines) - len(self.drained) <= 2:
            return
        port = self.engine_proxies[engine.name].port
        self.fleet.register_engine(
            engine.name,
            port,
            State='draining',
            Version=engine.software_version,
        )
        self.drained.append((engine, time.monotonic()))

    def inject_leave_engine(self, fault):
        """Let an engine say in its answers alone that it leaves."""
        engine = self.pick_engine(fault)
        if len(self.fleet.engines) - len(self.drained) <= 2:
            return
        engine.leaving = '1'
        self.drained.append((engine, time.monotonic()))

    def inject_crash_engine(self, fault):
        engine = self.pick_engine(fault)
        proxy = self.engine_proxies[engine.name]
        self.call_in_loop(proxy.reset_connections)
        self.fleet.event_loop.run(proxy.set_refusing(True))
        time.sleep(fault.duration_s)
        self.fleet.event_loop.run(proxy.set_refusing(False))
        return 1.0

    def inject_crashing_part(self, fault):
        """Send different requests with a part that crashes engines."""
        part = f'bad{len(self.crashing_parts)}'
        self.crashing_parts.append(part)
        for engine in self.all_engines:
            engine.crashing_parts.add(part)
        for number in range(CRASHING_REQUESTS):
            router = self.fleet.routers[number % len(self.fleet.routers)]
            with contextlib.suppress(OSError, http.client.HTTPException):
                router.send_request(
                    '/chat/read',
                    'POST',
                    b'%d' % number,
                    timeout=2,
                    X_Arbutusvale_Attempt_Id=f'crash-{part}-{number}',
                    X_Arbutusvale_Prompt_Prefix=f'a:100,{part}:9,o{number}:9',
                )
            time.sleep(CRASHING_INTERVAL_S)
        return CRASH_DOWN_S + 1.0

    def inject_crashing_request(self, fault):
        """Send a request that crashes engines again and again."""
        name = f'request{len(self.crashing_requests)}'
        self.crashing_requests.append(name)
        for engine in self.all_engines:
            engine.crashing_bodies.add(name.encode())
            engine.crash_delay_s = REQUEST_CRASH_DELAY_S
        for number in range(CRASHING_REQUESTS):
            router = self.fleet.routers[number % len(self.fleet.routers)]
            with contextlib.suppress(OSError, http.client.HTTPException):
                router.send_request(
                    '/chat/read',
                    'POST',
                    name.encode(),
                    timeout=PATIENCES_S[number % len(PATIENCES_S)],
                    X_Arbutusvale_Attempt_Id=f'crash-{name}-{number}',
                )
            time.sleep(CRASHING_INTERVAL_S)
        return CRASH_DOWN_S + 1.0

    def count_crash_causes(self, name):
        """Count the requests with a part, or its repeats, that crashed one."""
        return sum(
            cause.attempt_id.startswith(f'crash-{name}-')
            for engine in self.all_engines
            for cause in engine.crash_causes
        )

    def inject_limit_engine(self, fault):
        engine = self.pick_engine(fault)
        if not engine.limit:
            engine.limit = str(ENGINE_LIMIT)
            self.limited.append((engine, time.monotonic()))

    def inject_evacuate(self, fault):
        """Evacuate a data centre until all faults have ended."""
        self.append_evacuation(b'{}')
        self.evacuated_at = time.monotonic()

    def append_evacuation(self, value):
        self.fleet.append(
            edge_fleet.CONFIG_TOPIC, f'evacuate/{EVACUATED}', value
        )

    def inject_uneven_engines(self, fault):
        """Slow an engine that tells it, and have others tell nonsense."""
        for engine, slowdown in zip(
            self.all_engines, itertools.cycle(TOLD_SLOWDOWNS), strict=False
        ):
            engine.slowdown = slowdown
        slow = self.pick_engine(fault)
        slow.slowdown = SLOWDOWN_PERCENT
        slow.service_time_s = SLOW_SERVICE_TIME_S

    def inject_configure(self, fault):
        organisations = ORGANISATIONS
        if self.revoked_at is not None:
            organisations = [{'Name': 'acme', 'ApiKeys': ['key-1']}]
        self.fleet.publish_config(routes=ROUTES, Tenants=organisations)

    def inject_revoke_key(self, fault):
        organisations = [{'Name': 'acme', 'ApiKeys': ['key-1']}]
        self.fleet.publish_config(routes=ROUTES, Tenants=organisations)
        if self.revoked_at is None:
            self.revoked_at = time.monotonic()

    def inject_burst(self, fault):
        for caller in self.callers:
            caller.busy.set()
        time.sleep(fault.duration_s)
        for caller in self.callers:
            caller.busy.clear()

    def close(self):
        for caller in self.callers:
            caller.stopping.set()
        for proxy in (self.store_proxy, *self.engine_proxies.values()):
            self.fleet.event_loop.run(proxy.stop())
        self.fleet.close()
