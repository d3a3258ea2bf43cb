"""Callers that read streamed answers from real routers."""

import hashlib
import http.client
import json
import threading
import time

from tests import deployment
from tests import processes


class StreamCaller:
    """Caller that reads one streamed chat answer in its own thread.

    ``is_complete`` says that the end marker arrived and that the tokens
    before it were the expected ones.
    """

    def __init__(self, fleet, turns, router='entry-1', max_tokens=20):
        digest = hashlib.sha256('\n'.join(turns).encode()).hexdigest()[:12]
        middle_tokens = [f' {number}' for number in range(max_tokens - 2)]
        self.expected_tokens = [
            f'echo[{turns[-1]}]',
            *middle_tokens,
            f' end[{digest}]',
        ]
        self.host = fleet.routers[router].address
        body = {
            'model': 'lembrete-1',
            'stream': True,
            'max_tokens': max_tokens,
            'messages': [{'role': 'user', 'content': text} for text in turns],
        }
        self.body = json.dumps(body)
        self.status = 0
        self.tokens = []
        self.error = None
        self.is_complete = False
        self.started_at = time.monotonic()
        self.token_times = []
        self.ended_at = 0.0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        try:
            self._read_stream()
        except (OSError, http.client.HTTPException) as error:
            self.error = error
        self.ended_at = time.monotonic()

    def _read_stream(self):
        connection = http.client.HTTPConnection(self.host, timeout=30)
        headers = {
            'Authorization': f'Bearer {deployment.API_KEY}',
            'Content-Type': 'application/json',
        }
        connection.request('POST', '/v1/chat/completions', self.body, headers)
        answer = connection.getresponse()
        self.status = answer.status
        for line in iter(answer.readline, b''):
            self._parse_line(line.strip())
        answer.close()
        connection.close()

    def _parse_line(self, line):
        if line == b'data: [DONE]':
            self.is_complete = self.tokens == self.expected_tokens
        elif line.startswith(b'data: {"id"'):
            event = json.loads(line[len(b'data: ') :])
            for choice in event['choices']:
                self.tokens.append(choice['delta'].get('content', ''))
                self.token_times.append(time.monotonic())

    def wait_for_tokens(self, count):
        processes.wait_until(
            lambda: len(self.tokens) >= count or self.ended_at,
            what=f'{count} tokens',
        )
        assert not self.ended_at, (self.status, self.error)

    def join(self, timeout_s=30.0):
        self.thread.join(timeout_s)
        assert self.ended_at, f'the stream has not ended after {timeout_s} s'

    def longest_gap_s(self):
        """Return the longest time without a token."""
        instants = [self.started_at, *self.token_times, self.ended_at]
        return max(
            later - earlier
            for earlier, later in zip(instants, instants[1:], strict=False)
        )
