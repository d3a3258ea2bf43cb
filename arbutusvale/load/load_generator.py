"""Load generator: sends a workload to routers and checks the answers."""

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
SAMPLE_INTERVAL_S = 0.05
RESEND_DELAY_S = 0.01


class LoadGenerator:
    """Run of one workload; requests go to the routers in turn."""

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
        self.not_run_bookings: set[str] = set()
        self.started_at = 0.0

    async def run(self) -> workload_stats.WorkloadStats:
        """Send the whole workload and return its statistics."""
        self.started_at = asyncio.get_running_loop().time()
        sampler = asyncio.create_task(self.sample_loads())
        try:
            async with asyncio.TaskGroup() as tasks:
                for chat in self.workload.chats:
                    tasks.create_task(self.run_chat(chat))
                for booking in self.workload.bookings:
                    tasks.create_task(self.run_booking(booking))
                for read in self.workload.reads:
                    tasks.create_task(self.run_read(read))
                tasks.create_task(self.run_churn())
        finally:
            sampler.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sampler
        return self.stats

    async def wait_until(self, offset_s: float) -> None:
        """Wait until ``offset_s`` seconds after the start of the run."""
        due_at = self.started_at + offset_s
        await asyncio.sleep(max(0, due_at - asyncio.get_running_loop().time()))

    async def sample_loads(self) -> None:
        """Sample the loads of the engines until cancelled."""
        while True:
            loads = await self.fleet.read_loads()
            self.stats.load_skew.add_sample(list(loads.values()))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def run_churn(self) -> None:
        """Drain and start engines at their due times."""
        for event in self.workload.churn:
            await self.wait_until(event.due_s)
            match event:
                case workloads.Leave():
                    await self.fleet.drain_engine()
                case workloads.Join():
                    await self.fleet.start_engine()

    async def run_chat(self, chat: workloads.Chat) -> None:
        """Send the turns of a chat; drop a failed one from its history."""
        history: list[dict] = []
        for turn in chat.turns:
            await self.wait_until(turn.due_s)
            history.append({'role': 'user', 'content': turn.text})
            reply = await self.send_turn(chat, history)
            if reply.answered:
                history.append({'role': 'assistant', 'content': reply.text})
            else:
                history.pop()

    async def send_turn(
        self, chat: workloads.Chat, history: list[dict]
    ) -> router_client.ChatReply:
        """Send the last message of ``history`` and record the answer."""
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
        self.record_turn(reply, returning, bool(holders))
        return reply

    def record_turn(
        self,
        reply: router_client.ChatReply,
        returning: bool,
        cached_anywhere: bool,
    ) -> None:
        """Count the answer to one turn.

        ``returning`` is set for turns after a chat's first answered one;
        ``cached_anywhere`` if an engine in the pool cached the chat.
        """
        totals = self.stats
        totals.turns += 1
        totals.outcomes[_describe_reply(reply.raw)] += 1
        ended_normally = reply.raw.status == 200 and not reply.raw.problem
        totals.truncated += ended_normally and not reply.complete
        if not reply.answered:
            return
        totals.answered += 1
        totals.tokens += reply.tokens
        totals.misdelivered += not reply.echoes_message
        totals.first_token_latency.observe(reply.raw.first_byte_s)
        if returning:
            totals.returning += 1
            totals.reused += reply.cached_tokens > 0
            totals.reusable += cached_anywhere or reply.cached_tokens > 0

    async def run_booking(self, booking: workloads.Booking) -> None:
        """Send a booking, and a duplicate shortly after if it is resent."""
        await self.wait_until(booking.due_s)
        self.stats.bookings += 1
        attempts = [self.send_booking(booking, 0)]
        if booking.resent:
            self.stats.resends += 1
            attempts.append(self.send_booking(booking, RESEND_DELAY_S))
        replies = await asyncio.gather(*attempts)
        if any(reply.status == 201 for reply in replies):
            self.stats.booked += 1
        elif all(
            reply.outcome == messages.Outcome.NOT_RUN for reply in replies
        ):
            self.not_run_bookings.add(booking.name)

    async def send_booking(
        self, booking: workloads.Booking, delay_s: float
    ) -> router_client.Reply:
        """Send one copy of a booking after a delay and check the answer."""
        await asyncio.sleep(delay_s)
        token = f'token-{booking.name}'
        reply = await router_client.post_booking(
            next(self.routers),
            booking.account.api_key,
            self.target.service,
            booking.name,
            token,
            CALL_TIMEOUT_S,
        )
        self.stats.outcomes[_describe_reply(reply)] += 1
        if reply.status == 201:
            answer = json.loads(reply.body)
            self.stats.misdelivered += answer.get('token') != token
        return reply

    async def run_read(self, read: workloads.Read) -> None:
        """Send an idempotent request and check the answer."""
        await self.wait_until(read.due_s)
        self.stats.reads += 1
        reply = await router_client.send_read(
            next(self.routers),
            read.account.api_key,
            self.target.service,
            read.path,
            CALL_TIMEOUT_S,
        )
        self.stats.outcomes[_describe_reply(reply)] += 1
        if reply.status != 200 or reply.problem:
            return
        self.stats.reads_answered += 1
        self.stats.read_latency.observe(reply.total_s)
        name = json.loads(reply.body).get('name')
        self.stats.misdelivered += name != read.path.rpartition('/')[2]

    def record_booking_runs(self, runs: dict[str, int]) -> None:
        """Count violations in the number of runs of each booking.

        ``runs`` are the services' own counts.  A booking must not run twice,
        and not at all if each copy was answered with ``not-run``.
        """
        for name, run_count in runs.items():
            self.stats.duplicate_bookings += run_count > 1
            self.stats.false_not_run += (
                name in self.not_run_bookings and run_count > 0
            )


def _describe_reply(reply: router_client.Reply) -> str:
    """Return status and outcome as one label for the report."""
    label = f'{reply.status} {reply.outcome or "-"}'
    if reply.problem:
        logging.debug('event=call-failed cause="%s"', reply.problem)
        label += ' broken-off'
    return label
