"""Call routers without rest and record what each attempt was answered."""

import dataclasses
import http.client
import random
import threading
import time

KEY = 'key-1'
REVOKED_KEY = 'key-2'
PAUSE_S = 0.02
TIMEOUT_S = 4.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """Record one attempt; ``status`` 0 means that no answer was whole."""

    id: str
    path: str
    key: str
    began_at: float
    status: int = 0
    body: bytes = b''
    ended_at: float = 0.0


class Caller(threading.Thread):
    """Send one request after the other, on a connection that is kept.

    The connection is used until the router closes it or is gone, also while
    the router stops.
    """

    def __init__(self, number, seed, hosts, port):
        super().__init__(daemon=True)
        self.number = number
        self.generator = random.Random(f'{seed}/{number}')
        self.hosts = hosts
        self.port = port
        self.attempts = []
        self.stopping = threading.Event()
        self.busy = threading.Event()
        self.connection = None

    def run(self):
        while not self.stopping.is_set():
            self.ask()
            if not self.busy.is_set():
                time.sleep(self.generator.uniform(0, 2 * PAUSE_S))
        self.drop()

    def ask(self):
        path, method, body = self.generator.choice(
            (
                ('/chat/read', 'GET', None),
                ('/once/book', 'POST', b'x' * self.generator.randint(0, 900)),
                ('/stream/talk', 'POST', b'prompt'),
            )
        )
        key = KEY if self.generator.random() < 0.8 else REVOKED_KEY
        attempt = Attempt(
            f'c{self.number}-{len(self.attempts)}', path, key, time.monotonic()
        )
        self.attempts.append(attempt)
        try:
            self.exchange(attempt, method, body)
        except (OSError, http.client.HTTPException):
            attempt.status = 0
            self.drop()
        attempt.ended_at = time.monotonic()

    def exchange(self, attempt, method, body):
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                self.generator.choice(self.hosts), self.port, timeout=TIMEOUT_S
            )
        part = self.generator.randrange(6)
        self.connection.request(
            method,
            attempt.path,
            body,
            {
                'Host': 'fleet.example',
                'X-Arbutusvale-Attempt-Id': attempt.id,
                'X-Arbutusvale-Deadline-Ms': '3000',
                'X-Arbutusvale-Prompt-Prefix': f'a:100,p{part}:500,o:9',
                'Authorization': f'Bearer {attempt.key}',
            },
        )
        answer = self.connection.getresponse()
        attempt.body = answer.read()
        attempt.status = answer.status
        if answer.headers.get('Connection', '').lower() == 'close':
            self.drop()

    def drop(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None
