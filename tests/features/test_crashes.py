"""Prove that a crashing request fells at most two servers."""

import concurrent.futures
import itertools
import time

import pytest
import pytest_bdd
from pytest_bdd import parsers

from tests import deployment
from tests import processes

pytestmark = pytest.mark.process
pytest_bdd.scenarios('crashes.feature')

MARKER = 'crash-the-server'
AT_ONCE_S = 1.0
RESTART_S = 0.5
SLOW_FACTOR = 300.0
SLOW_BOOKING_S = 1.5
MOST_CALLERS = 32
ROUTERS = ('entry-1', 'entry-2')
given = pytest_bdd.given
when = pytest_bdd.when
then = pytest_bdd.then


class Bench:
    """Drive one deployment whose servers a marked body crashes."""

    def __init__(self, built):
        self.built = built
        self.callers = concurrent.futures.ThreadPoolExecutor(MOST_CALLERS)
        self.keys = itertools.count(1)
        self.crashing = []
        self.others = []
        for backend in built.backends.values():
            built.set_faults(
                backend.server_address,
                crash_marker=MARKER,
                restart_s=RESTART_S,
            )

    def close(self):
        self.callers.shutdown(wait=False, cancel_futures=True)

    def send(self, function, *arguments, **options):
        """Call in the background; returns a future of answer and seconds."""

        def timed():
            began = time.monotonic()
            answer = function(*arguments, **options)
            return answer, time.monotonic() - began

        return self.callers.submit(timed)

    def send_crashing_chat(self, router):
        sent = self.send(self.built.send_chat, [MARKER], router)
        self.crashing.append(sent)

    def send_crashing_booking(self, key):
        sent = self.send(self.built.post_booking, MARKER, idempotency_key=key)
        self.crashing.append(sent)

    def outcomes(self):
        """Return what the callers of crashing requests were told."""
        answers = [future.result()[0] for future in self.crashing]
        return [answer.header('Arbutusvale-Outcome') for answer in answers]

    def wait_for_servers(self):
        """Wait until every server answers and its sidecar knows it."""
        for backend in self.built.backends.values():
            deployment.wait_for_http(f'http://{backend.server_address}/stats')
        self.built.wait_until_ready()

    def count_active_chats(self):
        built = self.built.backends.values()
        return sum(
            backend.read_stats()['outstanding']
            for backend in built
            if backend.pool == deployment.CHAT_POOL
        )

    def count_crashes(self):
        self.wait_for_servers()
        built = self.built.backends.values()
        return sum(backend.read_stats()['crashes'] for backend in built)


@pytest.fixture
def bench(start_deployment):
    made = Bench(start_deployment(engines=4, services=4, routers=2))
    yield made
    made.close()


@given('four engines and four booking services that a marked body crashes')
def _(bench):
    assert bench.count_crashes() == 0


@when('the crashing chat is sent through entry-1')
def _(bench):
    bench.send_crashing_chat('entry-1')
    bench.crashing[-1].result()


@when(parsers.parse('the chat is sent {count:d} times, {gap_s:g} s apart'))
def _(bench, count, gap_s):
    bench.crashing.clear()
    for number in range(count):
        bench.send_crashing_chat(ROUTERS[number % 2])
        time.sleep(gap_s)


@when('the servers are back')
def _(bench):
    bench.wait_for_servers()


@when(parsers.parse('{count:d} chats are in flight'))
def _(bench, count):
    for backend in bench.built.backends.values():
        if backend.pool == deployment.CHAT_POOL:
            bench.built.set_faults(
                backend.server_address, slow_factor=SLOW_FACTOR
            )
    for number in range(count):
        text = f'text of chat {number}'
        router = ROUTERS[number % 2]
        sent = bench.send(bench.built.send_chat, [text], router)
        bench.others.append((text, sent))
    processes.wait_until(
        lambda: bench.count_active_chats() == count,
        what='all chats are in flight',
    )


@when(parsers.parse('{count:d} bookings are in flight'))
def _(bench, count):
    for backend in bench.built.backends.values():
        if backend.pool == deployment.PLAIN_POOL:
            bench.built.set_faults(
                backend.server_address, answer_delay_s=SLOW_BOOKING_S
            )
    for number in range(count):
        name = f'bay-{number}'
        sent = bench.send(bench.built.post_booking, name, idempotency_key=name)
        bench.others.append((name, sent))
    processes.wait_until(
        lambda: sum(bench.built.count_booking_runs().values()) == count,
        what='all bookings are in flight',
    )


@when('a crashing booking is sent with a key of its own')
def _(bench):
    bench.wait_for_servers()
    bench.send_crashing_booking(f'key-{next(bench.keys)}')


@when('it is sent again with the same key')
def _(bench):
    bench.send_crashing_booking('key-1')


@then(parsers.parse('its caller is told {outcome}'))
def _(bench, outcome):
    assert bench.outcomes()[-1] == outcome


@then('every caller of it is told quarantined at once')
def _(bench):
    assert set(bench.outcomes()) == {'quarantined'}
    assert max(sent.result()[1] for sent in bench.crashing) < AT_ONCE_S


@then('every caller of it is told a true outcome')
def _(bench):
    assert set(bench.outcomes()) <= {'quarantined', 'unknown', 'not-run'}


@then('two servers crashed')
def _(bench):
    assert bench.count_crashes() == 2


@then('every other chat is answered with its own text')
def _(bench):
    for text, sent in bench.others:
        answer = sent.result()[0]
        assert answer.status == 200, answer
        content = answer.json()['choices'][0]['message']['content']
        assert text in content


@then('each other booking is answered or told unknown and ran at most once')
def _(bench):
    outcomes = [
        sent.result()[0].header('Arbutusvale-Outcome')
        for _, sent in bench.others
    ]
    assert set(outcomes) == {'answered', 'unknown'}
    bench.wait_for_servers()
    runs = bench.built.count_booking_runs()
    assert all(runs.get(name, 0) <= 1 for name, _ in bench.others)
