"""A simulated day of routers and of engines that some requests crash."""

import dataclasses
import random

from arbutusvale.coordination import crash_exchange
from arbutusvale.protocol import crash_report
from arbutusvale.state import crash_evidence
from tests import helpers_edge

STEP_S = 0.02
FLUSH_STEPS = 12
CRASH_DELAY_S = 0.1
# Requests have sent events for a second by then.
PROGRESS_S = 1.2
SOUND_PER_S = 40.0
SYSTEM_PARTS = ('system-a', 'system-b', 'system-c')
TOPIC_COUNT = 12


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request in flight; ``ends_at`` is that of its run or crash."""

    router: str
    suspects: tuple
    crashes: bool
    ends_at: float
    started_at: float
    retried: bool = False


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of sound requests and of those with crashing parts."""

    sound_sent: int = 0
    sound_refused: int = 0
    crash_times: list = dataclasses.field(default_factory=list)
    crashing_starts: list = dataclasses.field(default_factory=list)


class CrashDay:
    """Routers with their evidence, and engines that are up or down."""

    def __init__(self, seed, routers=5, engines=6, down_s=4.0):
        self.random = random.Random(seed)
        self.clock = helpers_edge.Clock(0.0)
        self.down_s = down_s
        self.running = {f'e{n}': [] for n in range(engines)}
        self.up_at = dict.fromkeys(self.running, 0.0)
        self.births = dict.fromkeys(self.running, 0)
        self.exchanges = {}
        self.cut_hosts = set()
        self.outcome = Outcome()
        self.request_count = 0
        for number in range(routers):
            self.start_router(f'10.0.0.{number}')

    def start_router(self, host):
        """Start a router anew, without evidence; it syncs with the others."""
        exchange = crash_exchange.CrashExchange(
            host,
            crash_evidence.CrashEvidence(self.clock),
            lambda: list(self.exchanges),
            self.clock,
        )
        self.exchanges[host] = exchange
        exchange.send = lambda to, data: self.deliver(host, to, data)
        for peer in list(self.exchanges):
            if peer != host:
                exchange.sync(peer)

    def deliver(self, sender, host, data):
        assert len(data) <= crash_report.MAX_BYTES
        if {sender, host} & self.cut_hosts and sender != host:
            return
        self.exchanges[host].receive(crash_report.decode(data))

    def heal(self, host):
        self.cut_hosts.discard(host)
        for peer in self.exchanges:
            if peer != host:
                self.exchanges[host].sync(peer)

    def run(self, seconds, crashing=(), crashing_per_s=1.0, organisation='o'):
        """Play some seconds; ``crashing`` are parts that crash engines."""
        end = self.clock.now + seconds
        step = 0
        while self.clock.now < end:
            self.clock.now += STEP_S
            step += 1
            self.end_runs()
            for _ in range(self.draw_count(SOUND_PER_S)):
                self.send_sound(organisation)
            for part in crashing:
                for _ in range(self.draw_count(crashing_per_s)):
                    self.send_crashing(part, organisation)
            if step % FLUSH_STEPS == 0:
                for exchange in self.exchanges.values():
                    exchange.flush()

    def draw_count(self, rate):
        whole, rest = divmod(rate * STEP_S, 1.0)
        return int(whole) + (self.random.random() < rest)

    def make_suspects(self, organisation, parts):
        self.request_count += 1
        fingerprint = b'%016d' % self.request_count
        return (
            crash_evidence.digest_request(fingerprint),
            *(
                crash_evidence.digest_part(organisation, 'm', part)
                for part in parts
            ),
        )

    def draw_parts(self):
        system = self.random.choice(SYSTEM_PARTS)
        topic = self.random.randrange(TOPIC_COUNT)
        return [system, f'{system}-topic-{topic}']

    def send_sound(self, organisation):
        self.outcome.sound_sent += 1
        suspects = self.make_suspects(organisation, self.draw_parts())
        lasts_s = self.random.uniform(0.3, 2.5)
        if not self.send(suspects, False, lasts_s):
            self.outcome.sound_refused += 1

    def send_crashing(self, part, organisation):
        parts = [*self.draw_parts(), part]
        suspects = self.make_suspects(organisation, parts)
        if self.send(suspects, True, CRASH_DELAY_S):
            self.outcome.crashing_starts.append(self.clock.now)

    def send(self, suspects, crashes, lasts_s, retried=False):
        """Return whether a request is let through; without engines it is."""
        host = self.random.choice(list(self.exchanges))
        if self.exchanges[host].evidence.find_culprit(suspects):
            return False
        up = [name for name, at in self.up_at.items() if at <= self.clock.now]
        if up:
            request = Request(
                host,
                suspects,
                crashes,
                self.clock.now + lasts_s,
                self.clock.now,
                retried,
            )
            self.running[self.random.choice(up)].append(request)
        return True

    def end_runs(self):
        for name, requests in self.running.items():
            self.record_progress(requests)
            ended = [r for r in requests if r.ends_at <= self.clock.now]
            if any(request.crashes for request in ended):
                self.crash(name)
                continue
            for request in ended:
                requests.remove(request)
                for digest in request.suspects:
                    exchange = self.exchanges[request.router]
                    exchange.report_completion(digest, self.clock.now)

    def record_progress(self, requests):
        latest = self.clock.now - PROGRESS_S
        for request in requests:
            if latest - STEP_S < request.started_at <= latest:
                evidence = self.exchanges[request.router].evidence
                for part in request.suspects[1:]:
                    evidence.record_progress(part)

    def crash(self, name):
        """Crash an engine; sound requests are sent once more elsewhere."""
        requests, self.running[name] = self.running[name], []
        self.up_at[name] = self.clock.now + self.down_s
        self.births[name] += 1
        self.outcome.crash_times.append(self.clock.now)
        crash_id = f'{name}/{self.births[name]}'
        for host, exchange in self.exchanges.items():
            suspects = {
                digest
                for request in requests
                if request.router == host
                for digest in request.suspects
            }
            if suspects:
                exchange.report_crash(crash_id, suspects, self.clock.now)
                exchange.flush()
        for request in requests:
            if not request.crashes and not request.retried:
                self.send(request.suspects, False, 0.5, retried=True)

    def count_late_starts(self, crashes=5, contact_s=3.0, not_before=0.0):
        """Count crashing requests let through later than the rule allows."""
        times = self.outcome.crash_times
        if len(times) < crashes:
            return 0
        limit = max(times[crashes - 1], not_before) + contact_s
        return sum(at > limit for at in self.outcome.crashing_starts)
