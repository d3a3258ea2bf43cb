"""Play seeded random schedules of faults against keyed bookings."""

import itertools
import time

import hypothesis
from hypothesis import strategies
import pytest

from tests import deployment
from tests import helpers_bookings

pytestmark = [pytest.mark.process, pytest.mark.timeout(420)]

EXAMPLES = 16
MOST_STEPS = 20
REQUEST_TIMEOUT_S = 6
SERVICE_DELAY_S = 0.3
SETTLE_S = 0.5
NUMBERS = ('1', '2', '3')
ROUTERS = ('entry-1', 'entry-2')
KEYS = ('a', 'b')


class Player(helpers_bookings.Bench):
    """Play schedules on one deployment, healed between them."""

    def __init__(self, built):
        super().__init__(built)
        self.rounds = itertools.count(1)
        self.round = 0
        self.headers = {'Request-Timeout': str(REQUEST_TIMEOUT_S)}
        self.set_services(
            delay_s=SERVICE_DELAY_S, answer_delay_s=SERVICE_DELAY_S
        )

    def play(self, steps) -> None:
        """Play one schedule, heal, re-send every key and check."""
        self.round = next(self.rounds)
        self.sends.clear()
        self.futures.clear()
        for step in steps:
            self.act(step)
        self.heal()
        self.wait_for_answers()
        for router, key in itertools.product(ROUTERS, KEYS):
            self.act(('send', router, key))
        self.wait_for_answers()
        time.sleep(SETTLE_S)
        self.check_truth()

    def act(self, step) -> None:
        match step:
            case ('send', router, key):
                self.send(router, f'bay-{self.round}-{key}')
            case ('wait', seconds):
                time.sleep(seconds)
            case ('log', fault):
                self.built.set_platform_faults(**fault)
            case ('sidecar', action, number):
                self.steer(self.find(number).sidecar, action)
            case ('router', action, name):
                self.steer(self.built.routers[name].program, action)
            case ('links', fault, number):
                control = self.find(number).link_proxy_control
                self.built.set_faults(control, **fault)
            case ('server', fault, number):
                control = self.find(number).server_proxy_control
                self.built.set_faults(control, **fault)
            case ('log-link', fault, number):
                control = self.built.log_proxy_controls[f'service-{number}']
                self.built.set_faults(control, **fault)

    def find(self, number: str) -> deployment.ServerWithSidecar:
        return self.built.backends[f'service-{number}']

    @staticmethod
    def steer(program, action: str) -> None:
        """Kill, freeze, thaw or start a process, where that applies."""
        match action:
            case 'start' if not program.is_running():
                program.start()
            case 'kill' if program.is_running():
                program.kill()
            case 'freeze' if program.is_running():
                program.suspend()
            case 'thaw' if program.is_running():
                program.resume()

    def heal(self) -> None:
        """End all faults and wait until every process is ready."""
        self.built.set_platform_faults(
            outage=False, slow_s=0.0, drop_append_answers=0
        )
        programs = [each.sidecar for each in self.built.backends.values()]
        programs += [each.program for each in self.built.routers.values()]
        for program in programs:
            self.steer(program, 'thaw')
            self.steer(program, 'start')
        self.built.wait_until_ready()


def steps_of(kind, *parts):
    return strategies.tuples(
        strategies.just(kind), *map(strategies.sampled_from, parts)
    )


BREAKS = ({'freeze': 'both'}, {'cut': True}, {'freeze': 'to_client'})
LOG_FAULTS = (
    {'outage': True},
    {'outage': False},
    {'slow_s': 1.5},
    {'slow_s': 0.0},
    {'drop_append_answers': 1},
)
SEND = steps_of('send', ROUTERS, KEYS)
STEP = strategies.one_of(
    SEND,
    SEND,
    SEND,
    steps_of('wait', (0.05, 0.2, 0.5, 1.0)),
    steps_of('wait', (0.05, 0.2, 0.5, 1.0)),
    steps_of('log', LOG_FAULTS),
    steps_of('sidecar', ('kill', 'freeze', 'thaw', 'start'), NUMBERS),
    steps_of('router', ('kill', 'freeze', 'thaw', 'start'), ROUTERS),
    steps_of('links', BREAKS, NUMBERS),
    steps_of('server', BREAKS, NUMBERS),
    steps_of('log-link', BREAKS, NUMBERS),
)


@pytest.fixture(scope='module')
def player(tmp_path_factory):
    shape = deployment.DeploymentConfig(
        **helpers_bookings.SHAPE, server_proxies=True
    )
    built = deployment.Deployment(tmp_path_factory.mktemp('fleet'), shape)
    try:
        made = Player(built.start())
        yield made
        made.close()
    finally:
        built.close()


@hypothesis.settings(
    derandomize=True,
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    strategies.lists(STEP, min_size=MOST_STEPS // 2, max_size=MOST_STEPS)
)
def test_random_faults_never_run_a_key_twice_or_tell_an_untruth(player, steps):
    hypothesis.note(f'round {player.round + 1}')
    player.play(steps)
