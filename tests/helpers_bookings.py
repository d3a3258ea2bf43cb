"""Send bookings to a deployment under faults and check what was told."""

import base64
import concurrent.futures
import dataclasses
import time

from arbutusvale.protocol import claim_record
from tests import deployment
from tests import processes

SHAPE = {
    'engines': 0,
    'services': 3,
    'routers': 2,
    'link_proxies': True,
    'log_proxies': ('service-1', 'service-2', 'service-3'),
}
BOOKING = 'bay-7'
LOG_DELAY_S = 0.5
CALL_TIMEOUT_S = 20.0
MOST_CALLERS = 32
POLL_ANSWERED_S = 0.5
NO_CLAIMS = claim_record.encode(claim_record.ClaimRecord('none', 1, []))
UNANSWERED = 'unanswered'


@dataclasses.dataclass
class Sent:
    """Hold one send of a booking and what its caller was told.

    ``ran_before`` says that the booking had run before it was sent.
    """

    booking: str
    token: str
    answer: processes.Answer | None
    outcome: str
    seconds: float
    ran_before: bool


class Bench:
    """Drive one deployment of booking services."""

    def __init__(self, built: deployment.Deployment):
        self.built = built
        self.window_s = 3600.0
        self.headers: dict[str, str] = {}
        self.callers = concurrent.futures.ThreadPoolExecutor(MOST_CALLERS)
        self.futures: list[concurrent.futures.Future] = []
        self.sends: list[Sent] = []
        self.earlier: dict[str, int] = {}
        self.holder: deployment.ServerWithSidecar | None = None
        self.stopped: deployment.ServerWithSidecar | None = None

    def close(self) -> None:
        """End what still runs, so that no caller waits for long."""
        self.callers.shutdown(wait=False, cancel_futures=True)

    # Sending

    def send(
        self, router: str, booking: str = BOOKING, token: str = ''
    ) -> None:
        """Send a booking in the background; its key is its name."""
        future = self.callers.submit(
            self._send, router, booking, token or f'token-of-{booking}'
        )
        self.futures.append(future)

    def _send(self, router: str, booking: str, token: str) -> Sent:
        """Send a booking and read what its caller is told."""
        ran_before = self.count(booking) > 0
        began = time.monotonic()
        try:
            answer = self.built.post_booking(
                booking,
                router,
                idempotency_key=f'key-of-{booking}',
                token=token,
                headers=self.headers,
                timeout_s=CALL_TIMEOUT_S,
            )
            outcome = answer.header('Arbutusvale-Outcome')
        except OSError:
            answer, outcome = None, UNANSWERED
        seconds = time.monotonic() - began
        sent = Sent(booking, token, answer, outcome, seconds, ran_before)
        self.sends.append(sent)
        return sent

    def last(self) -> Sent:
        """Return the send that was begun last, when it has its answer."""
        return self.futures[-1].result(CALL_TIMEOUT_S * 2)

    def wait_for_answers(self) -> None:
        """Wait until every caller has got its answer."""
        for future in self.futures:
            future.result(CALL_TIMEOUT_S * 2)

    # Checking

    def count(self, booking: str = BOOKING) -> int:
        """Return how often a booking ran, by the services' own counts."""
        counted = self.built.count_booking_runs().get(booking, 0)
        return counted + self.earlier.get(booking, 0)

    def check_truth(self) -> None:
        """Check every answer so far against the services' counts."""
        for booking in {sent.booking for sent in self.sends}:
            runs = self.count(booking)
            assert runs <= 1, (booking, runs)
            told = [sent for sent in self.sends if sent.booking == booking]
            if all(sent.outcome == 'not-run' for sent in told):
                assert runs == 0, (booking, 'told not-run')
            for sent in told:
                if sent.ran_before:
                    assert sent.outcome != 'not-run', sent
                if sent.outcome == 'answered':
                    assert runs == 1, booking
                    assert sent.answer.json()['token'] == sent.token

    def wait_for_run(self) -> None:
        """Wait until the booking has run."""
        processes.wait_until(lambda: self.count(), what='the booking ran')

    def find_holder(self) -> deployment.ServerWithSidecar:
        """Return the server that ran the booking, waiting for it."""

        def search() -> deployment.ServerWithSidecar | None:
            for backend in self.built.backends.values():
                if not backend.server.is_running():
                    continue
                if backend.read_stats()['bookings'].get(BOOKING):
                    return backend
            return None

        if self.holder is None:
            self.holder = processes.wait_until(search, what='a holder')
        return self.holder

    def read_status(self, backend: deployment.ServerWithSidecar) -> dict:
        """Read a sidecar's status."""
        return processes.send_request(
            'GET', f'http://{backend.admin}/status'
        ).json()

    # Faults

    def set_services(self, **faults) -> None:
        """Set faults of all booking services."""
        for backend in self.built.backends.values():
            self.built.set_faults(backend.server_address, **faults)

    def wait_for_window(self, seconds: float) -> None:
        """Wait until every sidecar knows the log's retention."""
        self.window_s = seconds
        self.append_claims(NO_CLAIMS)
        for backend in self.built.backends.values():
            processes.wait_until(
                lambda g=backend: (
                    self.read_status(g)['claim_window_s'] == seconds
                ),
                what='the new retention is known',
            )

    def append_claims(self, record: bytes) -> None:
        """Append a record to the stream of claims."""
        url = f'http://{self.built.platform_address}/log/claims-0'
        assert processes.send_request('POST', url, record).status == 200

    def kill_server(self, backend: deployment.ServerWithSidecar) -> None:
        """Kill a server, keeping its counts."""
        for booking, runs in backend.read_stats()['bookings'].items():
            self.earlier[booking] = self.earlier.get(booking, 0) + runs
        backend.server.kill()

    def restart_server(self, backend: deployment.ServerWithSidecar) -> None:
        """Start a killed server and wait until its sidecar uses it."""
        backend.server.start()
        deployment.wait_for_http(f'http://{backend.server_address}/stats')
        deployment.wait_for_ready(backend.admin, backend.sidecar)

    def restart_sidecar(self, backend: deployment.ServerWithSidecar) -> None:
        """Start a killed sidecar and wait until it is ready."""
        backend.sidecar.start()
        deployment.wait_for_ready(backend.admin, backend.sidecar)

    def stop_between_claim_and_run(self, router: str) -> None:
        """Stop a sidecar whose claim is in the log but not read back."""
        before = self.read_claims()
        for control in self.built.log_proxy_controls.values():
            self.built.set_faults(control, delay_s=LOG_DELAY_S)
        self.send(router)
        processes.wait_until(
            lambda: self.read_claims() not in (before, b''),
            what='a claim in the log',
        )
        record = self.read_claims()
        self.stopped = next(
            backend
            for backend in self.built.backends.values()
            if backend.name.encode() in record
        )
        self.stopped.sidecar.suspend()
        for control in self.built.log_proxy_controls.values():
            self.built.set_faults(control, delay_s=0.0)

    def read_claims(self) -> bytes:
        """Return the newest retained record of claims; empty for none."""
        url = f'http://{self.built.platform_address}/log/claims-0?wait=0&from='
        answer = processes.send_request('GET', f'{url}0')
        if answer.status == 410:
            answer = processes.send_request(
                'GET', f'{url}{answer.json()["oldest"]}'
            )
        records = answer.json().get('records')
        return base64.b64decode(records[-1]['data']) if records else b''

    def stop_through_a_window(self) -> None:
        """Stop a sidecar, let claims come and expire, and wake it."""
        self.stopped = self.built.backends['service-1']
        self.stopped.sidecar.suspend()
        self.append_claims(NO_CLAIMS)
        time.sleep(POLL_ANSWERED_S)
        self.append_claims(NO_CLAIMS)
        time.sleep(self.window_s + 1)
        self.append_claims(NO_CLAIMS)
        self.stopped.sidecar.resume()
