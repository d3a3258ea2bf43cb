"""Call real routers from many threads and check the load bound."""

import bisect
import concurrent.futures
import dataclasses
import itertools
import math
import threading
import time

from arbutusvale.standins import boundcheck
from tests import deployment

LOAD_REPORT_DELAY_S = 0.05
MEMBERSHIP_DELAY_S = 3.0
MAX_THREADS = 160


@dataclasses.dataclass(frozen=True)
class Reply:
    """Hold what one call came to; times in seconds."""

    key: str
    sent_at: float
    duration_s: float
    status: int
    outcome: str
    code: str
    retry_after: str
    served_by: str
    echoes_request: bool
    cached_tokens: int

    @property
    def answered(self) -> bool:
        return self.status == 200 and self.echoes_request


class Callers:
    """Send chats from threads and collect the replies."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.replies: list[Reply] = []
        self.stopping = threading.Event()
        self.call_numbers = itertools.count()
        self.executor = concurrent.futures.ThreadPoolExecutor(MAX_THREADS)
        self.worker_futures: list[concurrent.futures.Future] = []

    def chat(
        self, text, key=deployment.API_KEY, turns=(), chat_id=''
    ) -> Reply:
        """Send one chat turn and keep its reply."""
        routers = sorted(self.fleet.routers)
        router = routers[next(self.call_numbers) % len(routers)]
        sent_at = time.monotonic()
        headers = {'Chat-Id': chat_id} if chat_id else None
        answer = self.fleet.chat([*turns, text], router, key, headers)
        duration_s = time.monotonic() - sent_at
        echoes_request, cached_tokens, code = False, 0, ''
        if answer.status == 200:
            document = answer.json()
            content = document['choices'][0]['message']['content']
            echoes_request = f'echo[{text}]' in content
            details = document['usage']['prompt_tokens_details']
            cached_tokens = details['cached_tokens']
        else:
            code = answer.json()['error']['code']
        reply = Reply(
            key,
            sent_at,
            duration_s,
            answer.status,
            answer.header('Arbutusvale-Outcome'),
            code,
            answer.header('Retry-After'),
            answer.header('Arbutusvale-Served-By'),
            echoes_request,
            cached_tokens,
        )
        self.replies.append(reply)
        return reply

    def send_burst(self, count, key=deployment.API_KEY) -> list[Reply]:
        """Send chats all at once and wait for their replies."""
        futures = [
            self.executor.submit(self.chat, f'burst {number}', key)
            for number in range(count)
        ]
        return [future.result() for future in futures]

    def start_workers(self, workers, key=deployment.API_KEY) -> None:
        """Let workers call one after another until stopped."""
        for worker in range(workers):
            future = self.executor.submit(
                self._call_until_stopped, worker, key
            )
            self.worker_futures.append(future)

    def _call_until_stopped(self, worker, key) -> None:
        """Call until stopped, each time in another chat."""
        for number in itertools.count():
            if self.stopping.is_set():
                return
            reply = self.chat(f'{key} {worker} {number}', key)
            if not reply.answered:
                time.sleep(0.05)

    def stop_workers(self) -> list[Reply]:
        """End the workers, also their calls in flight."""
        self.stopping.set()
        for future in self.worker_futures:
            future.result()
        self.executor.shutdown()
        return self.replies


class LoadBoundCheck:
    """Check each rise of an engine's own count against the bound.

    Engines have no common instant and lists are learned late, so the mean
    is the highest within ``REPORT_S``, over the servers in the pool now or
    ``LEARN_S`` ago.  ``spans`` says when engines were in the pool.
    """

    def __init__(self, histories, bound, membership_spans):
        self.bound = bound
        self.membership_spans = membership_spans
        self.load_changes = {
            name: [(moment, int(load)) for moment, load in history]
            for name, history in histories.items()
        }

    def list_breaches(self) -> list[str]:
        """Describe each request that was taken above the bound."""
        breaches = []
        for name, load_changes in self.load_changes.items():
            pairs = zip(load_changes, load_changes[1:], strict=False)
            for (_, before), (moment, load) in pairs:
                allowed = self._max_allowed_load(moment)
                if load > before and load > allowed:
                    breaches.append(
                        f'{name} took {load} of {allowed} at {moment:.3f}'
                    )
        return breaches

    def count_accepted(self) -> int:
        """Count the requests that all engines took."""
        return sum(
            later[1] > earlier[1]
            for load_changes in self.load_changes.values()
            for earlier, later in zip(
                load_changes, load_changes[1:], strict=False
            )
        )

    def _max_allowed_load(self, moment) -> int:
        """Return the highest load that any allowed view permits."""
        return max(
            boundcheck.allowed_load(
                self.bound,
                sum(self._highest_load(name, moment) for name in members),
                len(members),
            )
            for members in (
                self._list_members(moment),
                self._list_members(moment - MEMBERSHIP_DELAY_S),
            )
            if members
        )

    def _list_members(self, moment) -> list[str]:
        """List the engines in the pool at a moment."""
        always = (-math.inf, math.inf)
        return [
            name
            for name in self.load_changes
            if self.membership_spans.get(name, always)[0]
            <= moment
            <= self.membership_spans.get(name, always)[1]
        ]

    def _highest_load(self, name, moment) -> int:
        """Return an engine's highest load around a moment."""
        load_changes = self.load_changes[name]
        first = bisect.bisect_right(
            load_changes, (moment - LOAD_REPORT_DELAY_S, math.inf)
        )
        last = bisect.bisect_right(
            load_changes, (moment + LOAD_REPORT_DELAY_S, math.inf)
        )
        nearby_changes = load_changes[max(0, first - 1) : last]
        return max((load for _, load in nearby_changes), default=0)
