"""Seeded random fault schedules against bookings with idempotency keys."""

import itertools
import time

import hypothesis
from hypothesis import strategies
import pytest

from tests import deployment
from tests import helpers_bookings

pytestmark = [pytest.mark.process, pytest.mark.timeout(420)]

EXAMPLES = 16
MAX_STEPS = 20
REQUEST_TIMEOUT_S = 6
SERVICE_DELAY_S = 0.3
SETTLE_S = 0.5
SERVER_NUMBERS = ('1', '2', '3')
ROUTERS = ('entry-1', 'entry-2')
KEYS = ('a', 'b')


class ScheduleHarness(helpers_bookings.BookingHarness):
    """Runs schedules on one deployment and ends all faults after each."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self.round_numbers = itertools.count(1)
        self.round = 0
        self.headers = {'Request-Timeout': str(REQUEST_TIMEOUT_S)}
        self.set_service_faults(
            delay_s=SERVICE_DELAY_S, answer_delay_s=SERVICE_DELAY_S
        )

    def play(self, steps) -> None:
        """Run a schedule, end its faults, re-send every key and check."""
        self.round = next(self.round_numbers)
        self.sent_bookings.clear()
        self.send_futures.clear()
        for step in steps:
            self.apply_step(step)
        self.end_faults()
        self.wait_for_answers()
        for router, key in itertools.product(ROUTERS, KEYS):
            self.apply_step(('send', router, key))
        self.wait_for_answers()
        time.sleep(SETTLE_S)
        self.check_outcomes()

    def apply_step(self, step) -> None:
        match step:
            case ('send', router, key):
                self.send(router, f'bay-{self.round}-{key}')
            case ('wait', seconds):
                time.sleep(seconds)
            case ('log', fault):
                self.fleet.set_platform_faults(**fault)
            case ('sidecar', action, number):
                self.control_process(self.get_server(number).sidecar, action)
            case ('router', action, name):
                self.control_process(self.fleet.routers[name].program, action)
            case ('links', fault, number):
                control = self.get_server(number).link_proxy_control
                self.fleet.set_faults(control, **fault)
            case ('server', fault, number):
                control = self.get_server(number).server_proxy_control
                self.fleet.set_faults(control, **fault)
            case ('log-link', fault, number):
                control = self.fleet.log_proxy_controls[f'service-{number}']
                self.fleet.set_faults(control, **fault)

    def get_server(self, number: str) -> deployment.ServerWithSidecar:
        return self.fleet.backends[f'service-{number}']

    @staticmethod
    def control_process(program, action: str) -> None:
        """Apply an action; one that does not fit the process state is skipped.

        Only a running process is killed, suspended or resumed, and only one
        that is not running is started.
        """
        match action:
            case 'start' if not program.is_running():
                program.start()
            case 'kill' if program.is_running():
                program.kill()
            case 'suspend' if program.is_running():
                program.suspend()
            case 'resume' if program.is_running():
                program.resume()

    def end_faults(self) -> None:
        """End all faults and wait until every process is ready."""
        self.fleet.set_platform_faults(
            outage=False, slow_s=0.0, drop_append_answers=0
        )
        programs = [each.sidecar for each in self.fleet.backends.values()]
        programs += [each.program for each in self.fleet.routers.values()]
        for program in programs:
            self.control_process(program, 'resume')
            self.control_process(program, 'start')
        self.fleet.wait_until_ready()


def step_strategy(kind, *choices):
    return strategies.tuples(
        strategies.just(kind), *map(strategies.sampled_from, choices)
    )


CONNECTION_FAULTS = (
    {'freeze': 'both'},
    {'cut': True},
    {'freeze': 'to_client'},
)
LOG_FAULTS = (
    {'outage': True},
    {'outage': False},
    {'slow_s': 1.5},
    {'slow_s': 0.0},
    {'drop_append_answers': 1},
)
SEND = step_strategy('send', ROUTERS, KEYS)
STEP = strategies.one_of(
    SEND,
    SEND,
    SEND,
    step_strategy('wait', (0.05, 0.2, 0.5, 1.0)),
    step_strategy('wait', (0.05, 0.2, 0.5, 1.0)),
    step_strategy('log', LOG_FAULTS),
    step_strategy(
        'sidecar', ('kill', 'suspend', 'resume', 'start'), SERVER_NUMBERS
    ),
    step_strategy('router', ('kill', 'suspend', 'resume', 'start'), ROUTERS),
    step_strategy('links', CONNECTION_FAULTS, SERVER_NUMBERS),
    step_strategy('server', CONNECTION_FAULTS, SERVER_NUMBERS),
    step_strategy('log-link', CONNECTION_FAULTS, SERVER_NUMBERS),
)


@pytest.fixture(scope='module')
def player(tmp_path_factory):
    options = deployment.DeploymentConfig(
        **helpers_bookings.DEPLOYMENT_OPTIONS, server_proxies=True
    )
    fleet = deployment.Deployment(tmp_path_factory.mktemp('fleet'), options)
    try:
        made = ScheduleHarness(fleet.start())
        yield made
        made.close()
    finally:
        fleet.close()


@hypothesis.settings(
    derandomize=True,
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    strategies.lists(STEP, min_size=MAX_STEPS // 2, max_size=MAX_STEPS)
)
def test_random_faults_never_run_a_key_twice_or_tell_an_untruth(player, steps):
    hypothesis.note(f'round {player.round + 1}')
    player.play(steps)
