"""Play a planned day against routers and score the answers."""

import asyncio
import contextlib
import itertools
import json

from absl import logging

from arbutusvale.load import router_client
from arbutusvale.load import target_fleet
from arbutusvale.load import workload_stats
from arbutusvale.load import workloads
from arbutusvale.protocol import messages

CHAT_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 10.0
SAMPLE_S = 0.05
RESEND_AFTER_S = 0.01


class LoadGenerator:
    """Play one day; callers reach the routers in turn."""

    def __init__(
        self,
        workload: workloads.Workload,
        target: target_fleet.Target,
        fleet: target_fleet.Fleet,
    ):
        self.workload = workload
        self.target = target
        self.fleet = fleet
        self.stats = workload_stats.WorkloadStats()
        self.routers = itertools.cycle(target.routers)
        self.not_run: set[str] = set()
        self.began = 0.0

    async def run(self) -> workload_stats.WorkloadStats:
        """Play the whole day and return its score."""
        self.began = asyncio.get_running_loop().time()
        sampling = asyncio.create_task(self.sample())
        try:
            async with asyncio.TaskGroup() as tasks:
                for chat in self.workload.chats:
                    tasks.create_task(self.play_chat(chat))
                for booking in self.workload.bookings:
                    tasks.create_task(self.play_booking(booking))
                for call in self.workload.reads:
                    tasks.create_task(self.play_read(call))
                tasks.create_task(self.play_churn())
        finally:
            sampling.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sampling
        return self.stats

    async def until(self, moment: float) -> None:
        """Wait until ``moment`` seconds after the start."""
        due = self.began + moment
        await asyncio.sleep(max(0, due - asyncio.get_running_loop().time()))

    async def sample(self) -> None:
        """Sample the engines' loads until cancelled."""
        while True:
            loads = await self.fleet.read_loads()
            self.stats.load_skew.add_sample(list(loads.values()))
            await asyncio.sleep(SAMPLE_S)

    async def play_churn(self) -> None:
        """Let engines leave and join as planned."""
        for event in self.workload.churn:
            await self.until(event.due_s)
            match event:
                case workloads.Leave():
                    await self.fleet.drain_engine()
                case workloads.Join():
                    await self.fleet.start_engine()

    async def play_chat(self, chat: workloads.Chat) -> None:
        """Play a chat's turns; a failed one is not said again."""
        history: list[dict] = []
        for turn in chat.turns:
            await self.until(turn.due_s)
            history.append({'role': 'user', 'content': turn.text})
            reply = await self.play_turn(chat, history)
            if reply.answered:
                history.append({'role': 'assistant', 'content': reply.text})
            else:
                history.pop()

    async def play_turn(
        self, chat: workloads.Chat, history: list[dict]
    ) -> router_client.ChatReply:
        """Send one turn and score its answer."""
        returning = len(history) > 1
        holders = []
        if returning:
            holders = await self.fleet.list_cache_holders(
                chat.account.organisation, chat.name
            )
        reply = await router_client.send_chat(
            next(self.routers),
            chat.account.api_key,
            chat.name,
            self.target.model,
            history,
            self.workload.parameters.answer_tokens,
            CHAT_TIMEOUT_S,
        )
        self.count_turn(reply, returning, bool(holders))
        return reply

    def count_turn(
        self, reply: router_client.ChatReply, returning: bool, possible: bool
    ) -> None:
        """Score one turn's answer."""
        counts = self.stats
        counts.turns += 1
        counts.outcomes[_describe(reply.reply)] += 1
        clean = reply.reply.status == 200 and not reply.reply.problem
        counts.truncated += clean and not reply.whole
        if not reply.answered:
            return
        counts.answered += 1
        counts.tokens += reply.tokens
        counts.misdelivered += not reply.own
        counts.first_token_latency.observe(reply.reply.first_s)
        if returning:
            counts.returning += 1
            counts.reused += reply.cached_tokens > 0
            counts.reusable += possible or reply.cached_tokens > 0

    async def play_booking(self, booking: workloads.Booking) -> None:
        """Send a booking, some of them twice at nearly the same time."""
        await self.until(booking.due_s)
        self.stats.bookings += 1
        sends = [self.send_booking(booking, 0)]
        if booking.resent:
            self.stats.resends += 1
            sends.append(self.send_booking(booking, RESEND_AFTER_S))
        replies = await asyncio.gather(*sends)
        if any(reply.status == 201 for reply in replies):
            self.stats.booked += 1
        elif all(
            reply.outcome == messages.Outcome.NOT_RUN for reply in replies
        ):
            self.not_run.add(booking.name)

    async def send_booking(
        self, booking: workloads.Booking, after: float
    ) -> router_client.Reply:
        """Send one copy of a booking and check its answer."""
        await asyncio.sleep(after)
        token = f'token-{booking.name}'
        reply = await router_client.post_booking(
            next(self.routers),
            booking.account.api_key,
            self.target.service,
            booking.name,
            token,
            CALL_TIMEOUT_S,
        )
        self.stats.outcomes[_describe(reply)] += 1
        if reply.status == 201:
            document = json.loads(reply.body)
            self.stats.misdelivered += document.get('token') != token
        return reply

    async def play_read(self, call: workloads.Read) -> None:
        """Send an idempotent call and check its answer."""
        await self.until(call.due_s)
        self.stats.reads += 1
        reply = await router_client.send_read(
            next(self.routers),
            call.account.api_key,
            self.target.service,
            call.path,
            CALL_TIMEOUT_S,
        )
        self.stats.outcomes[_describe(reply)] += 1
        if reply.status != 200 or reply.problem:
            return
        self.stats.reads_answered += 1
        self.stats.read_latency.observe(reply.total_s)
        name = json.loads(reply.body).get('name')
        self.stats.misdelivered += name != call.path.rpartition('/')[2]

    def record_booking_runs(self, runs: dict[str, int]) -> None:
        """Compare the services' own counts of each booking's runs."""
        for name, count in runs.items():
            self.stats.duplicate_bookings += count > 1
            self.stats.false_not_run += name in self.not_run and count > 0


def _describe(reply: router_client.Reply) -> str:
    """Name an answer by status and outcome, for the report."""
    text = f'{reply.status} {reply.outcome or "-"}'
    if reply.problem:
        logging.debug('event=call-failed cause="%s"', reply.problem)
        text += ' broken-off'
    return text
