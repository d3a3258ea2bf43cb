"""Play a planned day against routers and score the answers."""

import asyncio
import contextlib
import itertools
import json

from absl import logging

from arbutusvale.load import caller
from arbutusvale.load import fleetview
from arbutusvale.load import plan
from arbutusvale.load import score
from arbutusvale.protocol import messages

CHAT_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 10.0
SAMPLE_S = 0.05
RESEND_AFTER_S = 0.01


class Player:
    """Play one day; callers reach the routers in turn."""

    def __init__(
        self,
        day: plan.Day,
        target: fleetview.Target,
        fleet: fleetview.Fleet,
    ):
        self.day = day
        self.target = target
        self.fleet = fleet
        self.score = score.Score()
        self.routers = itertools.cycle(target.routers)
        self.not_run: set[str] = set()
        self.began = 0.0

    async def play(self) -> score.Score:
        """Play the whole day and return its score."""
        self.began = asyncio.get_running_loop().time()
        sampling = asyncio.create_task(self.sample())
        try:
            async with asyncio.TaskGroup() as tasks:
                for chat in self.day.chats:
                    tasks.create_task(self.play_chat(chat))
                for booking in self.day.bookings:
                    tasks.create_task(self.play_booking(booking))
                for call in self.day.reads:
                    tasks.create_task(self.play_read(call))
                tasks.create_task(self.play_churn())
        finally:
            sampling.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sampling
        return self.score

    async def until(self, moment: float) -> None:
        """Wait until ``moment`` seconds after the start."""
        due = self.began + moment
        await asyncio.sleep(max(0, due - asyncio.get_running_loop().time()))

    async def sample(self) -> None:
        """Sample the engines' loads until cancelled."""
        while True:
            loads = await self.fleet.loads()
            self.score.skew.add(list(loads.values()))
            await asyncio.sleep(SAMPLE_S)

    async def play_churn(self) -> None:
        """Let engines leave and join as planned."""
        for event in self.day.churn:
            await self.until(event.time)
            match event:
                case plan.Leave():
                    await self.fleet.leave()
                case plan.Join():
                    await self.fleet.join()

    async def play_chat(self, chat: plan.Chat) -> None:
        """Play a chat's turns; a failed one is not said again."""
        history: list[dict] = []
        for turn in chat.turns:
            await self.until(turn.time)
            history.append({'role': 'user', 'content': turn.text})
            reply = await self.play_turn(chat, history)
            if reply.answered:
                history.append({'role': 'assistant', 'content': reply.text})
            else:
                history.pop()

    async def play_turn(
        self, chat: plan.Chat, history: list[dict]
    ) -> caller.ChatReply:
        """Send one turn and score its answer."""
        returning = len(history) > 1
        holders = []
        if returning:
            holders = await self.fleet.holders(
                chat.customer.organisation, chat.name
            )
        reply = await caller.chat(
            next(self.routers),
            chat.customer.api_key,
            chat.name,
            self.target.model,
            history,
            self.day.shape.answer_tokens,
            CHAT_TIMEOUT_S,
        )
        self.count_turn(reply, returning, bool(holders))
        return reply

    def count_turn(
        self, reply: caller.ChatReply, returning: bool, possible: bool
    ) -> None:
        """Score one turn's answer."""
        counts = self.score
        counts.turns += 1
        counts.outcomes[_describe(reply.reply)] += 1
        clean = reply.reply.status == 200 and not reply.reply.problem
        counts.cut += clean and not reply.whole
        if not reply.answered:
            return
        counts.answered += 1
        counts.tokens += reply.tokens
        counts.foreign += not reply.own
        counts.first_token.observe(reply.reply.first_s)
        if returning:
            counts.returning += 1
            counts.reused += reply.cached_tokens > 0
            counts.possible += possible or reply.cached_tokens > 0

    async def play_booking(self, booking: plan.Booking) -> None:
        """Send a booking, some of them twice at nearly the same time."""
        await self.until(booking.time)
        self.score.bookings += 1
        sends = [self.send_booking(booking, 0)]
        if booking.resent:
            self.score.resends += 1
            sends.append(self.send_booking(booking, RESEND_AFTER_S))
        replies = await asyncio.gather(*sends)
        if any(reply.status == 201 for reply in replies):
            self.score.booked += 1
        elif all(
            reply.outcome == messages.Outcome.NOT_RUN for reply in replies
        ):
            self.not_run.add(booking.name)

    async def send_booking(
        self, booking: plan.Booking, after: float
    ) -> caller.Reply:
        """Send one copy of a booking and check its answer."""
        await asyncio.sleep(after)
        token = f'token-{booking.name}'
        reply = await caller.book(
            next(self.routers),
            booking.customer.api_key,
            self.target.service,
            booking.name,
            token,
            CALL_TIMEOUT_S,
        )
        self.score.outcomes[_describe(reply)] += 1
        if reply.status == 201:
            document = json.loads(reply.body)
            self.score.foreign += document.get('token') != token
        return reply

    async def play_read(self, call: plan.Read) -> None:
        """Send an idempotent call and check its answer."""
        await self.until(call.time)
        self.score.reads += 1
        reply = await caller.read(
            next(self.routers),
            call.customer.api_key,
            self.target.service,
            call.path,
            CALL_TIMEOUT_S,
        )
        self.score.outcomes[_describe(reply)] += 1
        if reply.status != 200 or reply.problem:
            return
        self.score.reads_answered += 1
        self.score.read_time.observe(reply.total_s)
        name = json.loads(reply.body).get('name')
        self.score.foreign += name != call.path.rpartition('/')[2]

    def check_runs(self, runs: dict[str, int]) -> None:
        """Compare the services' own counts of each booking's runs."""
        for name, count in runs.items():
            self.score.doubled += count > 1
            self.score.false_not_run += name in self.not_run and count > 0


def _describe(reply: caller.Reply) -> str:
    """Name an answer by status and outcome, for the report."""
    text = f'{reply.status} {reply.outcome or "-"}'
    if reply.problem:
        logging.debug('event=call-failed cause="%s"', reply.problem)
        text += ' broken-off'
    return text
