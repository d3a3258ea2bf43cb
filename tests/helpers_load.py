"""Load generator for real routers, and a check of the load bound."""

import bisect
import concurrent.futures
import dataclasses
import itertools
import math
import threading
import time

from arbutusvale.standins import load_bound_check
from tests import deployment

LOAD_REPORT_DELAY_S = 0.05
MEMBERSHIP_DELAY_S = 3.0
MAX_THREADS = 160


@dataclasses.dataclass(frozen=True)
class Reply:
    """Result of one chat request; times in seconds.

    ``echoes_request`` says that the answer contains the request's own text.
    """

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
    """Callers that send chats from threads and collect the replies."""

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
        """Send one chat turn and record its reply."""
        routers = sorted(self.fleet.routers)
        router = routers[next(self.call_numbers) % len(routers)]
        sent_at = time.monotonic()
        headers = {'Chat-Id': chat_id} if chat_id else None
        answer = self.fleet.send_chat([*turns, text], router, key, headers)
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
        """Send chats concurrently and wait for their replies."""
        futures = [
            self.executor.submit(self.chat, f'burst {number}', key)
            for number in range(count)
        ]
        return [future.result() for future in futures]

    def start_workers(self, workers, key=deployment.API_KEY) -> None:
        """Start workers that send one chat after another until stopped."""
        for worker in range(workers):
            future = self.executor.submit(
                self._call_until_stopped, worker, key
            )
            self.worker_futures.append(future)

    def _call_until_stopped(self, worker, key) -> None:
        """Send chats until stopped, each with its own text."""
        for number in itertools.count():
            if self.stopping.is_set():
                return
            reply = self.chat(f'{key} {worker} {number}', key)
            if not reply.answered:
                time.sleep(0.05)

    def stop_workers(self) -> list[Reply]:
        """Stop the workers, wait for their requests and return all replies."""
        self.stopping.set()
        for future in self.worker_futures:
            future.result()
        self.executor.shutdown()
        return self.replies


class LoadBoundCheck:
    """Check of each rise of an engine's own request count against the bound.

    ``histories`` gives the (time, load) changes of each engine, and
    ``membership_spans`` the (joined, left) times of those that were not in
    the pool throughout.  Engines are not sampled at one instant, and load
    reports and VM lists arrive late, so a router may have computed the bound
    from other loads and members than those of the moment.  A request is
    therefore compared with the highest bound that follows from each engine's
    highest load within ``LOAD_REPORT_DELAY_S``, over the engines in the pool
    now or ``MEMBERSHIP_DELAY_S`` ago.
    """

    def __init__(self, histories, bound, membership_spans):
        self.bound = bound
        self.membership_spans = membership_spans
        self.load_changes = {
            name: [(moment, int(load)) for moment, load in history]
            for name, history in histories.items()
        }

    def list_breaches(self) -> list[str]:
        """Describe each request that was accepted above the bound."""
        breaches = []
        for name, load_changes in self.load_changes.items():
            pairs = zip(load_changes, load_changes[1:], strict=False)
            for (_, before), (moment, load) in pairs:
                allowed = self._max_allowed_load(moment)
                if load > before and load > allowed:
                    breaches.append(
                        f'{name}: load {load}, bound {allowed} at {moment:.3f}'
                    )
        return breaches

    def count_accepted(self) -> int:
        """Count the requests that all engines accepted."""
        return sum(
            later[1] > earlier[1]
            for load_changes in self.load_changes.values()
            for earlier, later in zip(
                load_changes, load_changes[1:], strict=False
            )
        )

    def _max_allowed_load(self, moment) -> int:
        """Return the highest bound that a router may have computed."""
        return max(
            load_bound_check.allowed_load(
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
        """List the engines that were in the pool at a moment."""
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
