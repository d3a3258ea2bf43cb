"""Run one seed: routers, a store and engines behind proxies, callers."""

import contextlib
import signal
import time

from arbutusvale.standins import fault_proxy
from tests import edge_fleet
from tests import helpers_edge
from tests.soak import callers
from tests.soak import checks
from tests.soak import plan

RECOVERY_S = 2.0
ENGINE_FAULTS = (
    'error', 'shed', 'reset', 'hang', 'truncate', 'extra', 'foreign',
    'unsigned', 'garbage', 'slow',
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
]
TENANTS = [{'Name': 'acme', 'ApiKeys': ['key-1', 'key-2']}]


class Soak:
    """Hold one run; nothing outlives :meth:`close`."""

    def __init__(self, folder, seed, seconds, routers=3, engines=4, clients=8):
        self.seed = seed
        self.seconds = seconds
        self.fleet = edge_fleet.EdgeFleet(folder)
        self.proxies = {}
        self.drained = []
        self.all_engines = []
        self.revoked_at = None
        self.disturbed = []
        self.calm_at = 0.0
        self.events = []
        self.paused = []
        self.store_proxy = self.open_proxy(self.fleet.store.server.port)
        self.fleet.store_port = self.store_proxy.port
        self.fleet.publish_config(routes=ROUTES, Tenants=TENANTS)
        for number in range(engines):
            self.add_engine(f'e{number}')
        for number in range(routers):
            self.fleet.add_router(number + 1, wait=False)
        for router in self.fleet.routers:
            router.wait_until_ready()
        hosts = [router.host for router in self.fleet.routers]
        self.callers = [
            callers.Caller(number, seed, hosts, self.fleet.caller_port)
            for number in range(clients)
        ]

    def open_proxy(self, port):
        proxy = fault_proxy.FaultProxy('127.0.0.1:0', f'127.0.0.1:{port}')
        self.fleet.event_loop.run(proxy.start())
        return proxy

    def add_engine(self, name):
        engine = self.fleet.add_engine(name, State='draining')
        engine.stream_prefix = '/stream/'
        self.all_engines.append(engine)
        self.proxies[name] = self.open_proxy(engine.server.port)
        self.fleet.register_engine(name, self.proxies[name].port)

    def play(self):
        """Play the faults; return the broken promises."""
        began = time.monotonic()
        for caller in self.callers:
            caller.start()
        for fault in plan.draw(self.seed, self.seconds):
            time.sleep(max(0.0, began + fault.at_s - time.monotonic()))
            self.strike(fault)
        time.sleep(max(0.0, began + self.seconds - time.monotonic()))
        self.mend()
        time.sleep(RECOVERY_S)
        for caller in self.callers:
            caller.stopping.set()
        for caller in self.callers:
            caller.join(callers.TIMEOUT_S * 2)
        return list(checks.find_faults(self))

    def strike(self, fault):
        """Bring one fault about."""
        self.events.append(fault)
        name = fault.kind.replace('-', '_')
        until = getattr(self, f'strike_{name}')(fault)
        now = time.monotonic()
        self.disturbed.append((now, now + (until or 0.0)))

    def mend(self):
        """End all faults and wait until every router is ready."""
        self.fleet.store.fault = None
        for proxy in (self.store_proxy, *self.proxies.values()):
            proxy.faults.delay_s = 0.0
        for engine in self.all_engines:
            engine.faults = []
        for router in self.fleet.routers:
            if router.process.poll() is not None:
                router.start()
            router.send_signal(signal.SIGCONT)
            router.wait_until_ready()
        # Connections that were silenced are found within this time.
        time.sleep(checks.CONTACT_S)
        self.calm_at = time.monotonic()

    def is_calm(self, start, end):
        return not any(
            begun <= end and ended >= start for begun, ended in self.disturbed
        )

    def timed_runs(self, engine):
        """List runs with the time at which their attempt began."""
        began = {
            one.id: one.began_at
            for caller in self.callers
            for one in caller.attempts
        }
        return [
            (run, began[run.attempt_id])
            for run in engine.received
            if run.executed and run.attempt_id in began
        ]

    # Faults; each returns for how long it lasts, in seconds.

    def router(self, fault):
        routers = self.fleet.routers
        return routers[fault.target % len(routers)]

    def engine(self, fault):
        return self.all_engines[fault.target % len(self.all_engines)]

    def call(self, function, *arguments):
        async def run():
            function(*arguments)

        self.fleet.event_loop.run(run())

    def strike_kill(self, fault):
        router = self.router(fault)
        router.kill()
        router.start()
        return 3.0

    def strike_pause(self, fault):
        router = self.router(fault)
        if router.process.poll() is None:
            router.send_signal(signal.SIGSTOP)
            time.sleep(fault.for_s)
            router.send_signal(signal.SIGCONT)
        return 1.0

    def strike_terminate(self, fault):
        router = self.router(fault)
        if router.process.poll() is None:
            router.send_signal(signal.SIGTERM)
            with contextlib.suppress(Exception):
                router.process.wait(9)
            ended = router.process.poll()
            # A signal that comes before a new process can handle it ends it;
            # nothing was accepted by then (seeds 1002, 1033 and 1054).
            if ended not in (None, 0) and router.has_started():
                raise AssertionError(f'stop ended {ended}')
        router.kill()
        router.start()
        return 3.0

    def strike_reload(self, fault):
        router = self.router(fault)
        if router.process.poll() is None:
            router.send_signal(signal.SIGHUP)

    def strike_reset_engine(self, fault):
        self.call(self.proxies[self.engine(fault).name].close_connections)
        return 0.5

    def strike_silence_engine(self, fault):
        self.call(self.proxies[self.engine(fault).name].freeze_connections)
        return 3.0

    def strike_one_way_engine(self, fault):
        proxy = self.proxies[self.engine(fault).name]
        self.call(proxy.freeze_connections, fault_proxy.Direction.TO_CLIENT)
        return 3.0

    def strike_delay_engine(self, fault):
        proxy = self.proxies[self.engine(fault).name]
        proxy.faults.delay_s = 0.2
        return self.seconds

    def strike_store_busy(self, fault):
        return self.disturb_store('busy', fault)

    def strike_store_silent(self, fault):
        return self.disturb_store('silent', fault)

    def strike_store_reset(self, fault):
        return self.disturb_store('reset', fault)

    def disturb_store(self, kind, fault):
        self.fleet.store.fault = kind
        time.sleep(fault.for_s)
        self.fleet.store.fault = None
        return 3.0

    def strike_silence_store(self, fault):
        self.call(self.store_proxy.freeze_connections)
        return 3.0

    def strike_store_forgets(self, fault):
        for topic in (edge_fleet.CONFIG_TOPIC, edge_fleet.SERVERS_TOPIC):
            self.fleet.event_loop.run(self.fleet.store.compact(topic))

    def strike_engine_fault(self, fault):
        kind = ENGINE_FAULTS[fault.target % len(ENGINE_FAULTS)]
        for engine in self.all_engines[:2]:
            engine.faults.extend([kind] * 3)
        return 0.0

    def strike_engine_drains(self, fault):
        engine = self.engine(fault)
        if len(self.fleet.engines) - len(self.drained) <= 2:
            return
        port = self.proxies[engine.name].port
        self.fleet.register_engine(engine.name, port, State='draining')
        self.drained.append((engine, time.monotonic()))

    def strike_engine_crashes(self, fault):
        engine = self.engine(fault)
        proxy = self.proxies[engine.name]
        self.call(proxy.close_connections)
        self.fleet.event_loop.run(proxy.set_refusing(True))
        time.sleep(fault.for_s)
        self.fleet.event_loop.run(proxy.set_refusing(False))
        return 1.0

    def strike_configure(self, fault):
        tenants = TENANTS
        if self.revoked_at is not None:
            tenants = [{'Name': 'acme', 'ApiKeys': ['key-1']}]
        self.fleet.publish_config(routes=ROUTES, Tenants=tenants)

    def strike_revoke(self, fault):
        tenants = [{'Name': 'acme', 'ApiKeys': ['key-1']}]
        self.fleet.publish_config(routes=ROUTES, Tenants=tenants)
        if self.revoked_at is None:
            self.revoked_at = time.monotonic()

    def strike_burst(self, fault):
        for caller in self.callers:
            caller.busy.set()
        time.sleep(fault.for_s)
        for caller in self.callers:
            caller.busy.clear()

    def close(self):
        for caller in self.callers:
            caller.stopping.set()
        for proxy in (self.store_proxy, *self.proxies.values()):
            self.fleet.event_loop.run(proxy.stop())
        self.fleet.close()
