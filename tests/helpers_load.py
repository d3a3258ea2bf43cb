"""Call real routers from many threads and check the load bound."""

import bisect
import concurrent.futures
import dataclasses
import itertools
import math
import threading
import time

from arbutusvale.standins import load_bound_check
from tests import deployment

REPORT_S = 0.05
LEARN_S = 3.0
MOST_THREADS = 160


@dataclasses.dataclass(frozen=True)
class Reply:
    """Hold what one call came to; times in seconds."""

    key: str
    sent_at: float
    took_s: float
    status: int
    outcome: str
    code: str
    retry_after: str
    served_by: str
    own: bool
    cached_tokens: int

    @property
    def answered(self) -> bool:
        return self.status == 200 and self.own


class Callers:
    """Send chats from threads and collect the replies."""

    def __init__(self, built):
        self.built = built
        self.replies: list[Reply] = []
        self.stopping = threading.Event()
        self.numbers = itertools.count()
        self.threads = concurrent.futures.ThreadPoolExecutor(MOST_THREADS)
        self.running: list[concurrent.futures.Future] = []

    def chat(
        self, text, key=deployment.API_KEY, turns=(), chat_id=''
    ) -> Reply:
        """Send one chat turn and keep its reply."""
        routers = sorted(self.built.routers)
        router = routers[next(self.numbers) % len(routers)]
        sent_at = time.monotonic()
        headers = {'Chat-Id': chat_id} if chat_id else None
        answer = self.built.send_chat([*turns, text], router, key, headers)
        took_s = time.monotonic() - sent_at
        own, cached, code = False, 0, ''
        if answer.status == 200:
            document = answer.json()
            content = document['choices'][0]['message']['content']
            own = f'echo[{text}]' in content
            details = document['usage']['prompt_tokens_details']
            cached = details['cached_tokens']
        else:
            code = answer.json()['error']['code']
        reply = Reply(
            key,
            sent_at,
            took_s,
            answer.status,
            answer.header('Arbutusvale-Outcome'),
            code,
            answer.header('Retry-After'),
            answer.header('Arbutusvale-Served-By'),
            own,
            cached,
        )
        self.replies.append(reply)
        return reply

    def burst(self, count, key=deployment.API_KEY) -> list[Reply]:
        """Send chats all at once and wait for their replies."""
        sent = [
            self.threads.submit(self.chat, f'burst {number}', key)
            for number in range(count)
        ]
        return [future.result() for future in sent]

    def keep_calling(self, workers, key=deployment.API_KEY) -> None:
        """Let workers call one after another until stopped."""
        for worker in range(workers):
            future = self.threads.submit(self._work, worker, key)
            self.running.append(future)

    def _work(self, worker, key) -> None:
        """Call until stopped, each time in another chat."""
        for number in itertools.count():
            if self.stopping.is_set():
                return
            reply = self.chat(f'{key} {worker} {number}', key)
            if not reply.answered:
                time.sleep(0.05)

    def stop(self) -> list[Reply]:
        """End the workers, also their calls in flight."""
        self.stopping.set()
        for future in self.running:
            future.result()
        self.threads.shutdown()
        return self.replies


class BoundCheck:
    """Check each rise of an engine's own count against the bound.

    Engines have no common instant and lists are learned late, so the mean
    is the highest within ``REPORT_S``, over the servers in the pool now or
    ``LEARN_S`` ago.  ``spans`` says when engines were in the pool.
    """

    def __init__(self, histories, bound, spans):
        self.bound = bound
        self.spans = spans
        self.changes = {
            name: [(moment, int(load)) for moment, load in history]
            for name, history in histories.items()
        }

    def list_breaches(self) -> list[str]:
        """Describe each request that was taken above the bound."""
        breaches = []
        for name, changes in self.changes.items():
            pairs = zip(changes, changes[1:], strict=False)
            for (_, before), (moment, load) in pairs:
                allowed = self._allowed(moment)
                if load > before and load > allowed:
                    breaches.append(
                        f'{name} took {load} of {allowed} at {moment:.3f}'
                    )
        return breaches

    def count_taken(self) -> int:
        """Count the requests that all engines took."""
        return sum(
            later[1] > sooner[1]
            for changes in self.changes.values()
            for sooner, later in zip(changes, changes[1:], strict=False)
        )

    def _allowed(self, moment) -> int:
        """Return the highest load that any allowed view permits."""
        return max(
            load_bound_check.allowed_load(
                self.bound,
                sum(self._highest(name, moment) for name in members),
                len(members),
            )
            for members in (
                self._list_members(moment),
                self._list_members(moment - LEARN_S),
            )
            if members
        )

    def _list_members(self, moment) -> list[str]:
        """List the engines in the pool at a moment."""
        always = (-math.inf, math.inf)
        return [
            name
            for name in self.changes
            if self.spans.get(name, always)[0]
            <= moment
            <= self.spans.get(name, always)[1]
        ]

    def _highest(self, name, moment) -> int:
        """Return an engine's highest load around a moment."""
        changes = self.changes[name]
        first = bisect.bisect_right(changes, (moment - REPORT_S, math.inf))
        last = bisect.bisect_right(changes, (moment + REPORT_S, math.inf))
        near = changes[max(0, first - 1) : last]
        return max((load for _, load in near), default=0)
