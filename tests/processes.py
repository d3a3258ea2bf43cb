"""Processes of the fleet for tests: ports, start, signals, HTTP requests."""

import contextlib
import dataclasses
import json
import os
import pathlib
import resource
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
    """A block of TCP ports reserved for one test process.

    The block's first port stays bound while this object lives, so that
    concurrent test runs choose other blocks. All ports lie below the
    kernel's ephemeral range.
    """

    def __init__(self):
        preferred_port = FIRST_PORT + (os.getpid() * PORTS_PER_BLOCK) % (
            LAST_PORT - FIRST_PORT
        )
        candidates = [
            *range(
                preferred_port - preferred_port % PORTS_PER_BLOCK,
                LAST_PORT,
                PORTS_PER_BLOCK,
            ),
            *range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK),
        ]
        for first in candidates:
            guard_socket = socket.socket()
            try:
                guard_socket.bind(('127.0.0.1', first))
            except OSError:
                guard_socket.close()
                continue
            self.guard_socket = guard_socket
            self.next_port = first + 1
            self.end_port = first + PORTS_PER_BLOCK
            return
        raise RuntimeError(
            'all blocks of ports are in use: end other test runs'
        )

    def next_free_port(self) -> int:
        """Return the next port of the block that can be bound."""
        while self.next_port < self.end_port:
            port = self.next_port
            self.next_port += 1
            with contextlib.closing(socket.socket()) as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                with contextlib.suppress(OSError):
                    probe.bind(('127.0.0.1', port))
                    return port
        raise RuntimeError('no free port left: raise PORTS_PER_BLOCK')

    def new_address(self) -> str:
        """Return an unused ``host:port`` on the loopback interface."""
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
                f'timed out after {timeout_s} s: {what or condition}'
            )
        time.sleep(POLL_INTERVAL_S)


@dataclasses.dataclass
class Answer:
    """An HTTP response; header names are in lower case."""

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
    """Send one HTTP request and return the response, whatever its status."""
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, headers=headers or {}, method=method
    )
    if data is not None:
        request.add_header('Content-Type', 'application/json')
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return _read(response.status, response)
    except urllib.error.HTTPError as error:
        return _read(error.code, error)


def _read(status: int, response) -> Answer:
    """Read the headers and the body of a response."""
    headers = {name.lower(): value for name, value in response.headers.items()}
    return Answer(status, headers, response.read())


def try_request(method: str, url: str, **options) -> Answer | None:
    """Send a request; return None when the connection fails."""
    with contextlib.suppress(OSError):
        return send_request(method, url, **options)
    return None


class Program:
    """One process of the fleet; its output goes to a log file."""

    def __init__(self, name: str, arguments: list[str], folder: pathlib.Path):
        self.name = name
        self.arguments = arguments
        self.log_path = folder / f'{name}.log'
        self.process: subprocess.Popen | None = None
        # Limit of open descriptors, None for that of the tests.
        self.descriptors: int | None = None

    def start(self) -> None:
        """Start the process and append its output to the log file."""
        with self.log_path.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'arbutusvale', *self.arguments],
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
        if self.descriptors is not None:
            limits = (self.descriptors, self.descriptors)
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def suspend(self) -> None:
        """Stop the process with SIGSTOP; its sockets stay open."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> int:
        """Send SIGTERM and return the exit code."""
        self.send_signal(signal.SIGTERM)
        return self.process.wait(timeout=STOP_TIMEOUT_S)

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def close(self) -> None:
        """Kill the process if it still runs, even when suspended."""
        if self.is_running():
            self.kill()

    def read_output(self) -> str:
        """Return the output that the process has written so far."""
        return self.log_path.read_text(errors='replace')


def run_operator(arguments: list[str], timeout_s: float = 60.0):
    """Run an operator command to its end and capture its output."""
    return subprocess.run(
        [sys.executable, '-m', 'arbutusvale', 'operator', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=timeout_s,
        check=False,
    )
