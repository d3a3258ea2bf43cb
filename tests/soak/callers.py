"""Callers that send requests continuously and record every response."""

import dataclasses
import http.client
import random
import threading
import time

API_KEY = 'key-1'
REVOKED_KEY = 'key-2'
MEAN_PAUSE_S = 0.02
SOCKET_TIMEOUT_S = 4.0
RESUMABLE_PATH = '/stream/talk'
MAX_RESUMPTIONS = 3
# The first pause before a broken stream is taken up; each next is twice as
# long, as routers that were all killed take a second to start.
RESUMPTION_PAUSE_S = 0.2


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request sent and its response; ``status`` 0 if it is incomplete.

    ``body`` is what arrived.  ``resumed`` is the attempt whose stream this
    one goes on with, after the events that it has; both have one ``prompt``.
    """

    id: str
    method: str
    path: str
    sent_body: bytes
    key: str
    started_at: float
    status: int = 0
    body: bytes = b''
    ended_at: float = 0.0
    resumed: 'Attempt | None' = None
    prompt: str = ''

    def list_events(self):
        """List the whole events that the caller has, of all tries."""
        before = self.resumed.list_events() if self.resumed else []
        if not self.path.startswith('/stream/') or self.status > 200:
            return before
        return before + self.body.split(b'\n\n')[:-1]


class Caller(threading.Thread):
    """A thread that sends requests in sequence on a persistent connection.

    The connection is used until it fails or the router closes it, also
    while the router shuts down.  While ``busy`` is set, there is no pause
    between requests.
    """

    def __init__(self, number, seed, hosts, port):
        super().__init__(daemon=True)
        self.number = number
        self.rng = random.Random(f'{seed}/{number}')
        self.hosts = hosts
        self.port = port
        self.attempts = []
        self.stopping = threading.Event()
        self.busy = threading.Event()
        self.connection = None

    def run(self):
        while not self.stopping.is_set():
            self.send_attempt()
            if not self.busy.is_set():
                time.sleep(self.rng.uniform(0, 2 * MEAN_PAUSE_S))
        self.close_connection()

    def send_attempt(self):
        """Send one random request and record it with its outcome."""
        path, method, body = self.rng.choice(
            (
                ('/chat/read', 'GET', b''),
                ('/once/book', 'POST', b'x' * self.rng.randint(0, 900)),
                ('/stream/talk', 'POST', b'prompt'),
                ('/stream/once/talk', 'POST', b'prompt'),
            )
        )
        key = API_KEY if self.rng.random() < 0.8 else REVOKED_KEY
        attempt = self.make_attempt(
            method=method, path=path, sent_body=body, key=key
        )
        self.receive_attempt(attempt)
        for number in range(MAX_RESUMPTIONS):
            if not attempt.list_events() or attempt.path != RESUMABLE_PATH:
                return
            if attempt.status == 200 or self.stopping.is_set():
                return
            time.sleep(RESUMPTION_PAUSE_S * 2**number)
            attempt = self.make_attempt(
                method=method,
                path=path,
                sent_body=body,
                key=key,
                resumed=attempt,
            )
            self.receive_attempt(attempt)

    def make_attempt(self, **fields):
        """Make and record the next attempt."""
        attempt = Attempt(
            id=f'c{self.number}-{len(self.attempts)}',
            started_at=time.monotonic(),
            **fields,
        )
        self.attempts.append(attempt)
        return attempt

    def receive_attempt(self, attempt):
        """Send an attempt and record its outcome."""
        try:
            self.send_and_receive(attempt)
        except (OSError, http.client.HTTPException):
            attempt.status = 0
            self.close_connection()
        attempt.ended_at = time.monotonic()

    def send_and_receive(self, attempt):
        """Send the request, connecting first if needed; read the response."""
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                self.rng.choice(self.hosts),
                self.port,
                timeout=SOCKET_TIMEOUT_S,
            )
        part = self.rng.randrange(6)
        attempt.prompt = f'a:100,p{part}:500,{attempt.id}:9'
        headers = {}
        if attempt.resumed:
            attempt.prompt = attempt.resumed.prompt
            headers = format_resumption(attempt.resumed)
        self.connection.request(
            attempt.method,
            attempt.path,
            attempt.sent_body or None,
            {
                'Host': 'fleet.example',
                'X-Arbutusvale-Attempt-Id': attempt.id,
                'X-Arbutusvale-Deadline-Ms': '3000',
                'X-Arbutusvale-Prompt-Prefix': attempt.prompt,
                'Authorization': f'Bearer {attempt.key}',
                **headers,
            },
        )
        response = self.connection.getresponse()
        if response.status == 200 and attempt.path == RESUMABLE_PATH:
            # Keeps what arrived of a stream that is broken off.
            while data := response.read1():
                attempt.body += data
        else:
            attempt.body = response.read()
        attempt.status = response.status
        if response.headers.get('Connection', '').lower() == 'close':
            self.close_connection()

    def close_connection(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def format_resumption(attempt):
    """Return the headers that take up an incomplete stream."""
    first = attempt
    while first.resumed and first.resumed.list_events():
        first = first.resumed
    last_event = attempt.list_events()[-1]
    number = last_event.split(b'\n')[0].removeprefix(b'id: ').decode()
    return {'Last-Event-Id': number, 'Resumes': first.id}
