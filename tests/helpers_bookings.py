"""Harness that sends bookings under faults and checks their outcomes."""

import base64
import concurrent.futures
import dataclasses
import time

from arbutusvale.protocol import claim_record
from tests import deployment
from tests import processes

DEPLOYMENT_OPTIONS = {
    'engines': 0,
    'services': 3,
    'routers': 2,
    'link_proxies': True,
    'log_proxies': ('service-1', 'service-2', 'service-3'),
}
BOOKING = 'bay-7'
LOG_DELAY_S = 0.5  # one way, on each sidecar's proxy to the log
CALL_TIMEOUT_S = 20.0
MAX_CALLERS = 32
POLL_RESPONSE_S = 0.5  # for an open long poll to deliver a new record
EMPTY_CLAIM_RECORD = claim_record.encode(
    claim_record.ClaimRecord('none', 1, [])
)
UNANSWERED = 'unanswered'


@dataclasses.dataclass
class SentBooking:
    """A booking request and the outcome that its caller received.

    ``outcome`` is that of the response header, or ``UNANSWERED``;
    ``ran_before_send`` says that the booking had run before this request.
    """

    booking: str
    token: str
    answer: processes.Answer | None
    outcome: str
    seconds: float
    ran_before_send: bool


class BookingHarness:
    """A deployment of booking services with callers, faults and checks.

    ``holder`` is the server whose sidecar holds the claim on ``BOOKING`` and
    that ran it; ``killed_server_runs`` keeps the run counts that killed
    servers lost.
    """

    def __init__(self, fleet: deployment.Deployment):
        self.fleet = fleet
        self.claim_window_s = 3600.0
        self.headers: dict[str, str] = {}
        self.executor = concurrent.futures.ThreadPoolExecutor(MAX_CALLERS)
        self.send_futures: list[concurrent.futures.Future] = []
        self.sent_bookings: list[SentBooking] = []
        self.killed_server_runs: dict[str, int] = {}
        self.holder: deployment.ServerWithSidecar | None = None
        self.suspended: deployment.ServerWithSidecar | None = None

    def close(self) -> None:
        """Cancel queued requests without waiting for those in flight."""
        self.executor.shutdown(wait=False, cancel_futures=True)

    # Sending

    def send(
        self, router: str, booking: str = BOOKING, token: str = ''
    ) -> None:
        """Send a booking in the background; its name determines its key."""
        future = self.executor.submit(
            self._send_and_wait,
            router,
            booking,
            token or f'token-of-{booking}',
        )
        self.send_futures.append(future)

    def _send_and_wait(
        self, router: str, booking: str, token: str
    ) -> SentBooking:
        """Send a booking and record the outcome that its caller received."""
        ran_before_send = self.count_runs(booking) > 0
        began = time.monotonic()
        try:
            answer = self.fleet.post_booking(
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
        sent = SentBooking(
            booking, token, answer, outcome, seconds, ran_before_send
        )
        self.sent_bookings.append(sent)
        return sent

    def wait_for_last(self) -> SentBooking:
        """Return the request that was sent last, once it has its answer."""
        return self.send_futures[-1].result(CALL_TIMEOUT_S * 2)

    def wait_for_answers(self) -> None:
        """Wait until every caller has its answer."""
        for future in self.send_futures:
            future.result(CALL_TIMEOUT_S * 2)

    # Checking

    def count_runs(self, booking: str = BOOKING) -> int:
        """Return how often a booking ran, from the services' own counts."""
        running_server_runs = self.fleet.count_booking_runs().get(booking, 0)
        return running_server_runs + self.killed_server_runs.get(booking, 0)

    def check_outcomes(self) -> None:
        """Check every outcome so far against the services' run counts."""
        for booking in {sent.booking for sent in self.sent_bookings}:
            runs = self.count_runs(booking)
            assert runs <= 1, (booking, runs)
            sends = [
                sent for sent in self.sent_bookings if sent.booking == booking
            ]
            if all(sent.outcome == 'not-run' for sent in sends):
                assert runs == 0, (
                    booking,
                    'ran though every outcome was not-run',
                )
            for sent in sends:
                if sent.ran_before_send:
                    assert sent.outcome != 'not-run', sent
                if sent.outcome == 'answered':
                    assert runs == 1, booking
                    assert sent.answer.json()['token'] == sent.token

    def wait_for_run(self) -> None:
        """Wait until the booking has run."""
        processes.wait_until(lambda: self.count_runs(), what='the booking ran')

    def wait_for_holder(self) -> deployment.ServerWithSidecar:
        """Return the server that ran the booking, once it has run."""

        def find_running_holder() -> deployment.ServerWithSidecar | None:
            for backend in self.fleet.backends.values():
                if not backend.server.is_running():
                    continue
                if backend.read_stats()['bookings'].get(BOOKING):
                    return backend
            return None

        if self.holder is None:
            self.holder = processes.wait_until(
                find_running_holder,
                what='a running server that ran the booking',
            )
        return self.holder

    def read_status(self, backend: deployment.ServerWithSidecar) -> dict:
        """Read a sidecar's status."""
        return processes.send_request(
            'GET', f'http://{backend.admin}/status'
        ).json()

    # Faults

    def set_service_faults(self, **faults) -> None:
        """Set the same faults on all booking services."""
        for backend in self.fleet.backends.values():
            self.fleet.set_faults(backend.server_address, **faults)

    def wait_for_claim_window(self, seconds: float) -> None:
        """Wait until every sidecar uses the log's new retention.

        Sidecars learn it from the response to a read, so a record is
        appended to wake their long polls.
        """
        self.claim_window_s = seconds
        self.append_claim_record(EMPTY_CLAIM_RECORD)
        for backend in self.fleet.backends.values():
            processes.wait_until(
                lambda g=backend: (
                    self.read_status(g)['claim_window_s'] == seconds
                ),
                what='every sidecar uses the new retention',
            )

    def append_claim_record(self, record: bytes) -> None:
        """Append a record to the claim stream."""
        url = f'http://{self.fleet.platform_address}/log/claims-0'
        assert processes.send_request('POST', url, record).status == 200

    def kill_server(self, backend: deployment.ServerWithSidecar) -> None:
        """Kill a server, keeping its run counts."""
        for booking, runs in backend.read_stats()['bookings'].items():
            self.killed_server_runs[booking] = (
                self.killed_server_runs.get(booking, 0) + runs
            )
        backend.server.kill()

    def restart_server(self, backend: deployment.ServerWithSidecar) -> None:
        """Start a killed server and wait until its sidecar is ready."""
        backend.server.start()
        deployment.wait_for_http(f'http://{backend.server_address}/stats')
        deployment.wait_for_ready(backend.admin, backend.sidecar)

    def restart_sidecar(self, backend: deployment.ServerWithSidecar) -> None:
        """Start a killed sidecar and wait until it is ready."""
        backend.sidecar.start()
        deployment.wait_for_ready(backend.admin, backend.sidecar)

    def suspend_between_claim_and_run(self, router: str) -> None:
        """Suspend a sidecar whose claim is in the log but not yet read back.

        A sidecar runs a booking only after it has read its own claim.  The
        log is slowed for the sidecars, so that there is time to suspend it
        in between.
        """
        before = self.read_newest_claims()
        for control in self.fleet.log_proxy_controls.values():
            self.fleet.set_faults(control, delay_s=LOG_DELAY_S)
        self.send(router)
        processes.wait_until(
            lambda: self.read_newest_claims() not in (before, b''),
            what='a claim in the log',
        )
        record = self.read_newest_claims()
        self.suspended = next(
            backend
            for backend in self.fleet.backends.values()
            if backend.name.encode() in record
        )
        self.suspended.sidecar.suspend()
        for control in self.fleet.log_proxy_controls.values():
            self.fleet.set_faults(control, delay_s=0.0)

    def read_newest_claims(self) -> bytes:
        """Return the newest retained claim record, or empty bytes."""
        url = f'http://{self.fleet.platform_address}/log/claims-0?wait=0&from='
        answer = processes.send_request('GET', f'{url}0')
        if answer.status == 410:
            answer = processes.send_request(
                'GET', f'{url}{answer.json()["oldest"]}'
            )
        records = answer.json().get('records')
        return base64.b64decode(records[-1]['data']) if records else b''

    def suspend_through_claim_window(self) -> None:
        """Suspend a sidecar until claims that it missed have expired.

        The first record answers the long poll that is open already; the
        sidecar misses the second, which expires before it is resumed.
        """
        self.suspended = self.fleet.backends['service-1']
        self.suspended.sidecar.suspend()
        self.append_claim_record(EMPTY_CLAIM_RECORD)
        time.sleep(POLL_RESPONSE_S)
        self.append_claim_record(EMPTY_CLAIM_RECORD)
        time.sleep(self.claim_window_s + 1)
        self.append_claim_record(EMPTY_CLAIM_RECORD)
        self.suspended.sidecar.resume()
