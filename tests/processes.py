"""Start real processes of the fleet for tests and end them again."""

import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
PORTS_PER_BLOCK = 200
FIRST_PORT = 10000
LAST_PORT = 32000


class PortBlock:
    """Hand out ports of a block that no other test run uses.

    The block's first port stays bound as a guard while this object lives;
    all ports lie below the range from which the kernel picks its own.
    """

    def __init__(self):
        start = FIRST_PORT + (os.getpid() * PORTS_PER_BLOCK) % (
            LAST_PORT - FIRST_PORT
        )
        candidates = [
            *range(
                start - start % PORTS_PER_BLOCK, LAST_PORT, PORTS_PER_BLOCK
            ),
            *range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK),
        ]
        for first in candidates:
            guard = socket.socket()
            try:
                guard.bind(('127.0.0.1', first))
            except OSError:
                guard.close()
                continue
            self.guard_socket = guard
            self.next_port = first + 1
            self.end = first + PORTS_PER_BLOCK
            return
        raise RuntimeError('no free block of ports')

    def next_free_port(self) -> int:
        """Return the next port of the block that can be bound."""
        while self.next_port < self.end:
            port = self.next_port
            self.next_port += 1
            with contextlib.closing(socket.socket()) as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                with contextlib.suppress(OSError):
                    probe.bind(('127.0.0.1', port))
                    return port
        raise RuntimeError('the block of ports is used up')

    def new_address(self) -> str:
        """Return a fresh ``host:port`` on the loopback interface."""
        return f'127.0.0.1:{self.next_free_port()}'


def wait_until(condition, timeout_s: float = START_TIMEOUT_S, what: str = ''):
    """Poll ``condition`` until it is truthy and return its value."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(
                f'not within {timeout_s} s: {what or condition}'
            )
        time.sleep(POLL_INTERVAL_S)


@dataclasses.dataclass
class Answer:
    """Hold one HTTP answer."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)

    def header(self, name: str) -> str:
        return self.headers.get(name.lower(), '')


def send_request(
    method: str,
    url: str,
    body=None,
    headers: dict | None = None,
    timeout_s: float = 30.0,
) -> Answer:
    """Send one HTTP request and read its whole answer."""
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, headers=headers or {}, method=method
    )
    if data is not None:
        request.add_header('Content-Type', 'application/json')
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as reply:
            return _read(reply.status, reply)
    except urllib.error.HTTPError as error:
        return _read(error.code, error)


def _read(status: int, reply) -> Answer:
    """Read an answer's headers, in lower case, and its body."""
    headers = {name.lower(): value for name, value in reply.headers.items()}
    return Answer(status, headers, reply.read())


def try_request(method: str, url: str, **options) -> Answer | None:
    """Send a request; None when the server cannot be reached."""
    with contextlib.suppress(OSError):
        return send_request(method, url, **options)
    return None


class Program:
    """Run one process of the fleet, its output in a log file."""

    def __init__(self, name: str, arguments: list[str], folder: pathlib.Path):
        self.name = name
        self.arguments = arguments
        self.log_path = folder / f'{name}.log'
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        with self.log_path.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'arbutusvale', *self.arguments],
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.process.kill()
        self.process.wait()

    def suspend(self) -> None:
        """Stop the process in its tracks; its sockets stay open."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> int:
        """Ask the process to end; returns its exit code."""
        self.send_signal(signal.SIGTERM)
        return self.process.wait(timeout=STOP_TIMEOUT_S)

    def is_running(self) -> bool:
        """Tell whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def close(self) -> None:
        """End the process, also a frozen one."""
        if self.is_running():
            self.kill()

    def read_output(self) -> str:
        """Return what the process wrote so far."""
        return self.log_path.read_text(errors='replace')


def run_operator(arguments: list[str], timeout_s: float = 60.0):
    """Run the operator's command line to its end."""
    return subprocess.run(
        [sys.executable, '-m', 'arbutusvale', 'operator', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=timeout_s,
        check=False,
    )
