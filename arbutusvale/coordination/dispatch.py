"""Take callers' requests, place them at sidecars and relay the answers."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

from absl import logging
import numpy

from arbutusvale import errors
from arbutusvale.coordination import answerevents
from arbutusvale.coordination import attempts
from arbutusvale.coordination import avoidance
from arbutusvale.coordination import callerrequest
from arbutusvale.coordination import limits
from arbutusvale.coordination import placement
from arbutusvale.coordination import refusals
from arbutusvale.coordination import retries
from arbutusvale.protocol import bundle
from arbutusvale.protocol import callerapi
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import bundles
from arbutusvale.state import fleet
from arbutusvale.state import measures

MAX_HOPS = 3
_MAX_CATCH_UPS = 2
_MAX_REPEATS = 2
_BUFFER_BYTES = 256 * 1024
_RETRY_AFTER_S = 1.0
_UNKNOWN = messages.Outcome.UNKNOWN.value
_QUARANTINED = messages.Outcome.QUARANTINED.value


@dataclasses.dataclass(slots=True)
class Opened:
    """Hold an answer that has begun.

    ``data`` is what arrived so far; ``ended`` says that this is all.
    """

    attempt: attempts.Attempt
    head: messages.Head
    data: list[bytes]
    ended: bool


@dataclasses.dataclass(slots=True)
class Progress:
    """Hold how far the search for a server has come.

    Once the request ``may_have_run``, no later "not run" is believed.
    """

    candidates: placement.Candidates
    error: callerapi.ErrorAnswer
    may_have_run: bool = False
    hops: int = 0
    tries: int = 0
    catch_ups: int = 0
    repeats: int = 0

    def note(self, result: refusals.Failure, step: refusals.Step) -> None:
        """Keep the error that is the answer when no try is left."""
        outcome = step.error.outcome
        if not self.may_have_run or outcome == _QUARANTINED:
            self.error = step.error
        if outcome == _UNKNOWN and not isinstance(result, refusals.Unsent):
            self.may_have_run = True


class Call:
    """Answer one caller; ``events`` may be read once."""

    def __init__(
        self, dispatcher: 'Dispatcher', request: callerrequest.CallerRequest
    ):
        self.dispatcher = dispatcher
        self.request = request
        self.work: callerrequest.Work | None = None
        self.attempt: attempts.Attempt | None = None
        self.caller_left = False

    @property
    def cancellable(self) -> bool:
        """Tell whether the work may stop when its caller hangs up."""
        return self.work is None or self.work.idempotent

    async def events(self) -> AsyncIterator[answerevents.Event]:
        """Yield the events of the answer."""
        shared = self.dispatcher
        await shared.before_work()
        head = shared.get_head()
        if head is None:
            yield not_ready()
            return
        current = head.bundle
        work = callerrequest.classify(self.request, current)
        if isinstance(work, callerapi.ErrorAnswer):
            yield work
            return
        entered = shared.limits.enter(work.organisation, work.grant)
        if isinstance(entered, limits.Limited):
            yield _limited(entered, work)
            return
        self.work = work
        shared.enter()
        shared.retry_budget.add_request(current.limits.retry_share)
        try:
            async for event in self._answer(work, current):
                yield event
        finally:
            shared.leave()
            shared.limits.leave(work.organisation)
            self._end_attempt()

    async def _answer(
        self, work: callerrequest.Work, current: bundle.Bundle
    ) -> AsyncIterator[answerevents.Event]:
        """Find a server that answers and relay what it says."""
        started = time.monotonic()
        opened = await self._open(work, current)
        shared = self.dispatcher
        if isinstance(opened, callerapi.ErrorAnswer):
            shared.measures.add_error(opened)
            yield opened
            return
        first_byte = time.monotonic() - started
        yield answerevents.Head(
            opened.head.status, self._final_headers(opened, work, current)
        )
        for data in opened.data:
            yield answerevents.Data(data)
        opened.attempt.acknowledge()
        async for event in self._relay(opened, work):
            yield event
        total = time.monotonic() - started
        shared.measures.add_answer(work.service, first_byte, total)

    async def _relay(
        self, opened: Opened, work: callerrequest.Work
    ) -> AsyncIterator[answerevents.Event]:
        """Yield the rest of an answer that has begun."""
        attempt = opened.attempt
        while not opened.ended:
            event = await attempt.next(work.deadline)
            match event:
                case messages.Chunk():
                    yield answerevents.Data(event.data)
                    attempt.acknowledge()
                case messages.End():
                    opened.ended = True
                case messages.Accepted():
                    continue
                case _:
                    yield self._break(attempt, event, work)
                    return
        self.attempt = None
        attempt.close()
        yield answerevents.End()

    def _break(
        self,
        attempt: attempts.Attempt,
        event: attempts.Event,
        work: callerrequest.Work,
    ) -> answerevents.Broken:
        """Close an answer whose rest cannot be had."""
        step = refusals.judge(event, work)
        error = dataclasses.replace(step.error, outcome=_UNKNOWN)
        logging.warning(
            'event=answer-broken request=%s vm=%s cause=%s',
            work.request.request_id,
            attempt.vm,
            error.code,
        )
        self.dispatcher.avoidance.note_failure(attempt.vm)
        self.dispatcher.measures.add_error(error)
        return answerevents.Broken(error)

    async def _open(
        self, work: callerrequest.Work, current: bundle.Bundle
    ) -> Opened | callerapi.ErrorAnswer:
        """Try servers until one answers or none may be tried."""
        shared = self.dispatcher
        policy = current.pools[work.pool].policy
        candidates = shared.placement.order(work, policy)
        progress = Progress(candidates, refusals.no_server(work))
        while progress.hops < MAX_HOPS:
            choice = candidates.take()
            if choice is None:
                break
            self._log_choice(work, progress, choice)
            result = await self._try(work, choice, progress)
            if isinstance(result, Opened):
                self._note_answer(work, result, progress)
                return result
            self._end_attempt()
            step = refusals.judge(result, work)
            self._note_failure(choice, result)
            progress.note(result, step)
            if not await self._go_on(work, progress, choice, result, step):
                break
        return progress.error

    async def _go_on(
        self,
        work: callerrequest.Work,
        progress: Progress,
        choice: placement.Choice,
        result: refusals.Failure,
        step: refusals.Step,
    ) -> bool:
        """Prepare the next try; False when there is none."""
        shared = self.dispatcher
        candidates = progress.candidates
        match step:
            case refusals.Final():
                return False
            case refusals.CatchUp():
                progress.catch_ups += 1
                if progress.catch_ups > _MAX_CATCH_UPS:
                    return False
                await shared.catch_up(shared.get_head().offset + 1, choice.vm)
                candidates.again(choice)
                return True
            case refusals.Again():
                progress.repeats += 1
                candidates.again(choice)
                return progress.repeats <= _MAX_REPEATS
            case refusals.Elsewhere():
                pass
        match result:
            case messages.Redirect(vm=vm):
                candidates.redirect(vm)
                progress.hops += 1
                return True
            case messages.Refused(alternatives=alternatives):
                candidates.prefer(alternatives)
                progress.hops += 1
        if isinstance(step, refusals.Elsewhere) and step.free:
            return True
        return await self._take_retry(work, progress)

    async def _take_retry(
        self, work: callerrequest.Work, progress: Progress
    ) -> bool:
        """Charge a retry to the budget and wait before it."""
        shared = self.dispatcher
        progress.tries += 1
        most = shared.get_head().bundle.limits.max_attempts
        if progress.tries >= most or not progress.candidates.choices:
            return False
        if not shared.retry_budget.take():
            return False
        shared.measures.retries += 1
        delay = retries.backoff_s(progress.tries - 1, shared.generator)
        await asyncio.sleep(min(delay, max(0.0, work.time_left)))
        return True

    async def _try(
        self,
        work: callerrequest.Work,
        choice: placement.Choice,
        progress: Progress,
    ) -> Opened | refusals.Failure:
        """Send one attempt and wait until its answer has begun."""
        shared = self.dispatcher
        submit = shared.make_submit(work, choice, progress)
        try:
            self.attempt = await shared.attempts.submit(choice.vm, submit)
        except errors.LinkClosed as error:
            return refusals.Unsent(error.problem)
        return await self._collect(self.attempt, work)

    async def _collect(
        self, attempt: attempts.Attempt, work: callerrequest.Work
    ) -> Opened | refusals.Failure:
        """Collect the head and, unless it streams, a short body.

        Until the caller has seen a byte an idempotent request may be
        tried elsewhere.
        """
        head: messages.Head | None = None
        data: list[bytes] = []
        while True:
            event = await attempt.next(work.deadline)
            match event:
                case messages.Accepted(load=load):
                    self.dispatcher.placement.note_count(attempt.vm, load)
                case messages.Head():
                    head = event
                case messages.Chunk():
                    data.append(event.data)
                    attempt.acknowledge()
                    if head and self._is_enough(work, attempt):
                        return Opened(attempt, head, data, ended=False)
                case messages.End() if head is not None:
                    return Opened(attempt, head, data, ended=True)
                case messages.End():
                    return attempts.Corrupt('an end without a head')
                case _:
                    return event

    def _is_enough(
        self, work: callerrequest.Work, attempt: attempts.Attempt
    ) -> bool:
        """Tell whether to begin the caller's answer."""
        return work.streams or attempt.received_bytes >= _BUFFER_BYTES

    def _note_answer(
        self, work: callerrequest.Work, opened: Opened, progress: Progress
    ) -> None:
        """Remember where the request ran and how the server did."""
        shared = self.dispatcher
        vm = opened.attempt.vm
        home = progress.candidates.home
        if opened.head.status >= 500:
            shared.avoidance.note_failure(vm)
        else:
            shared.avoidance.note_success(vm)
        if shared.placement.note_ran(work, home, vm):
            shared.tell_home(home, messages.Placed(work.chat, vm))

    def _note_failure(
        self, choice: placement.Choice, result: refusals.Failure
    ) -> None:
        """Remember what a failure tells of its VM."""
        shared = self.dispatcher
        match result:
            case refusals.Unsent() | attempts.Lost():
                shared.avoidance.note_unreachable(choice.vm)
            case messages.Refused(reason=reason):
                shared.placement.note_loads(result.alternatives)
                shared.placement.note_count(choice.vm, result.load)
                if reason in _UNUSABLE:
                    shared.avoidance.note_unreachable(choice.vm)
            case messages.Failed() | attempts.Corrupt():
                shared.avoidance.note_failure(choice.vm)
            case messages.Redirect():
                shared.measures.redirects += 1

    def _log_choice(
        self,
        work: callerrequest.Work,
        progress: Progress,
        choice: placement.Choice,
    ) -> None:
        """Write the one log line of a routing decision."""
        logging.info(
            'event=placement request=%s organisation=%s service=%s chat=%s '
            'policy=%s candidates=%d choice=%s reason=%s hop=%d',
            work.request.request_id,
            work.organisation,
            work.service,
            work.chat[:8] or '-',
            progress.candidates.policy,
            progress.candidates.weighed,
            choice.vm,
            choice.reason,
            progress.hops,
        )

    def _final_headers(
        self,
        opened: Opened,
        work: callerrequest.Work,
        current: bundle.Bundle,
    ) -> list:
        """Return the server's headers with those of the fleet."""
        own = {
            callerapi.OUTCOME: messages.Outcome.ANSWERED.value,
            callerapi.REQUEST_ID: work.request.request_id,
            callerapi.SERVED_BY: opened.attempt.vm,
        }
        if not work.idempotent:
            window = str(int(current.limits.claim_window_s))
            own[callerapi.CLAIM_WINDOW] = window
        taken = {name.lower() for name in own}
        kept = [
            list(pair)
            for pair in opened.head.headers
            if pair[0].lower() not in taken
        ]
        return kept + [list(pair) for pair in own.items()]

    def _end_attempt(self) -> None:
        """Forget the attempt in flight; stop it when it may be stopped."""
        attempt = self.attempt
        self.attempt = None
        if attempt is None:
            return
        if self.work is not None and self.work.idempotent:
            attempt.cancel()
        attempt.close()


_UNUSABLE = frozenset(
    {
        messages.Refusal.LEAVING.value,
        messages.Refusal.SERVER_DOWN.value,
        messages.Refusal.NOT_READY.value,
    }
)


class Dispatcher:
    """Hold what all calls of a router share.

    ``get_head`` tells the bundle in force, ``catch_up`` comes up to an
    offset that a peer has, ``before_work`` waits while news are looked for
    after this process stood still.
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: int,
        links: ports.Links | None,
        fleet: fleet.Fleet,
        get_head: Callable[[], bundles.InForce | None],
        catch_up: Callable[[int, str], Awaitable[bool]],
        before_work: Callable[[], Awaitable[None]],
        generator: numpy.random.Generator,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.get_head = get_head
        self.catch_up = catch_up
        self.before_work = before_work
        self.generator = generator
        self.attempts = attempts.Attempts(
            vm=vm, incarnation=incarnation, links=links, clock=clock
        )
        self.avoidance = avoidance.Avoidance(generator, clock)
        self.placement = placement.Placement(
            fleet=fleet,
            avoidance=self.avoidance,
            generator=generator,
            clock=clock,
        )
        self.limits = limits.OrganisationLimits(clock)
        self.retry_budget = retries.RetryBudget()
        self.measures = measures.RouterMeasures()
        self.draining = False
        self.active = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.tasks: set[asyncio.Task] = set()

    def call(self, request: callerrequest.CallerRequest) -> Call:
        """Begin to answer one caller's request."""
        return Call(self, request)

    async def receive(
        self, link: ports.Link, message: messages.Message
    ) -> None:
        """Handle a message that arrived on a link."""
        await self.attempts.receive(link, message)

    async def link_closed(self, link: ports.Link) -> None:
        """Handle the end of a link."""
        await self.attempts.link_closed(link)

    async def run(self) -> None:
        """Watch the links with attempts in flight, until cancelled."""
        await self.attempts.run()

    def enter(self) -> None:
        """Count a request in."""
        self.active += 1
        self.idle.clear()

    def leave(self) -> None:
        """Count a request out."""
        self.active -= 1
        if not self.active:
            self.idle.set()

    def make_submit(
        self,
        work: callerrequest.Work,
        choice: placement.Choice,
        progress: Progress,
    ) -> messages.Submit:
        """Build the Submit of one attempt."""
        return messages.Submit(
            attempt=self.attempts.next_name(),
            request_id=work.request.request_id,
            organisation=work.organisation,
            service=work.service,
            method=work.request.method,
            path=work.path,
            headers=callerrequest.passed_headers(work.request),
            body=work.request.body,
            chat=work.chat,
            home=progress.candidates.home,
            first_turn=work.first_turn,
            key=work.key,
            idempotent=work.idempotent,
            fingerprint=work.fingerprint,
            time_left=max(0.0, work.time_left),
            priority=work.grant.priority,
            bundle_offset=self.get_head().offset,
            hop=progress.hops,
            last_hop=progress.hops + 1 >= MAX_HOPS,
            redirected=choice.redirected,
            loads=self.placement.recent_loads(work.pool),
        )

    def tell_home(self, home: str, placed: messages.Placed) -> None:
        """Tell a chat's home in the background where the chat ran."""
        task = asyncio.create_task(self._send_home(home, placed))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_home(self, home: str, placed: messages.Placed) -> None:
        """Send a Placed; losing it costs only a cache miss."""
        try:
            link = await self.attempts.links.get(home)
            link.send(placed)
        except errors.LinkClosed as error:
            logging.info('event=home-untold cause="%s"', error.problem)

    async def drain(self, grace_s: float) -> int:
        """Let the requests in flight end.

        Returns how many were still in flight after ``grace_s``.
        """
        self.draining = True
        try:
            async with asyncio.timeout(grace_s):
                await self.idle.wait()
        except TimeoutError:
            logging.warning('event=drain-cut requests=%d', self.active)
        return self.active


def not_ready() -> callerapi.ErrorAnswer:
    """Answer when this router has no bundle or is about to end."""
    return callerapi.ErrorAnswer(
        503,
        'not_ready',
        'This router takes no requests now. Send again to another.',
        messages.Outcome.NOT_RUN.value,
        _RETRY_AFTER_S,
    )


def _limited(
    limited: limits.Limited, work: callerrequest.Work
) -> callerapi.ErrorAnswer:
    """Answer when the organisation has reached a limit."""
    return callerapi.ErrorAnswer(
        429,
        f'{limited.limit}_limit',
        f'The {limited.limit} limit of {work.organisation} is reached. '
        'Send again later.',
        refusals.own_outcome(work),
        limited.retry_after,
    )
