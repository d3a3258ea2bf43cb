"""Carry one request of a caller to a backend server and its answer back.

A request that must not repeat goes to a second server only when the first
is known not to have run it.  One that may repeat, or a stream that may
resume, goes on elsewhere within its attempts and the retry budget.
"""

import asyncio
import dataclasses

from arbutusvale import errors
from arbutusvale.coordination import edgeparts
from arbutusvale.coordination import edgeplaces
from arbutusvale.coordination import eventstream
from arbutusvale.coordination import silence
from arbutusvale.protocol import directcall
from arbutusvale.protocol import edgeports
from arbutusvale.protocol import routing

# Some answers are larger, but then they are passed on as they come.
MAX_HELD_BYTES = 256 * 1024
# The server ends its work at the deadline that it was given; its own answer
# takes a few milliseconds to arrive.
DEADLINE_SLACK_S = 0.06
# A connect inside a region takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.25
MAX_CONNECT_FAILURES = 4
# The usual time until a slot is free, when nothing better is known.
RETRY_AFTER_S = 0.25
# Less time than this serves no request.
LEAST_TIME_S = 0.01

_SERVICE_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
_SERVER_ERRORS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """Tell that the caller has its answer, or has been cut off from it."""

    result: str
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Tell that the server vouched for not having run the request."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Tell that the server gave no usable answer.

    ``head`` and ``body`` hold a whole failure that may be passed on.
    """

    cause: str
    head: directcall.AnswerHead | None = None
    body: bytes = b''


Outcome = Delivered | NotRun | Failed


@dataclasses.dataclass(slots=True)
class Order:
    """Hold an admitted request and what its run is bound by.

    ``deadline`` is in steady seconds; ``organisation`` is None where no
    keys are configured.
    """

    request: directcall.CallerRequest
    traits: directcall.RequestTraits
    route: routing.Route
    pool: str
    organisation: str | None
    priority: int
    deadline: float
    version: int
    fingerprint: bytes


class EdgeCall:
    """Serve one admitted request."""

    def __init__(
        self,
        parts: edgeparts.EdgeParts,
        order: Order,
        caller: edgeports.CallerStream,
    ):
        self.parts = parts
        self.order = order
        self.caller = caller
        self.forwarded = parts.wire.pass_headers(order.request)
        self.cutter = eventstream.EventCutter(order.traits.last_event_id)
        self.tried: list[str] = []
        self.sent = 0
        self.may_have_run = False
        self.failure: Failed | None = None
        self.first_byte_s: float | None = None

    async def run(self) -> None:
        """Send the request until it is answered or given up."""
        connect_failures = 0
        cause = ''
        while True:
            if self._time_left() < LEAST_TIME_S:
                self._give_up('deadline')
                return
            place = edgeplaces.place(self.parts, self.order, self.tried)
            if place is None:
                self._give_up(cause or 'no-server')
                return
            server = place.server
            try:
                link = await self._connect(server)
            except errors.ServerFailed as error:
                self._note_unreachable(server, error)
                connect_failures += 1
                cause = 'unreachable'
                if connect_failures >= MAX_CONNECT_FAILURES:
                    self._give_up(cause)
                    return
                continue
            self._log_place(place)
            outcome = await self._send(place, link)
            match outcome:
                case Delivered(result, status):
                    self._log_end(result, status, server.id)
                    return
                case NotRun(cause):
                    pass
                case Failed(cause):
                    self.may_have_run = True
                    self.failure = outcome
            if not self._may_try_again(outcome):
                self._give_up(cause)
                return

    def _time_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.order.deadline - self.parts.clock()

    async def _connect(
        self, server: directcall.BackendServer
    ) -> edgeports.ServerLink:
        """Return a connection to a server."""
        timeout_s = min(CONNECT_TIMEOUT_S, self._time_left())
        return await self.parts.connector.acquire(
            server, not self.order.route.repeatable, timeout_s
        )

    def _may_try_again(self, outcome: Outcome) -> bool:
        """Tell whether another server may be given the request."""
        if isinstance(outcome, Failed) and not self.order.route.repeatable:
            return False
        if self.sent >= self.order.route.max_attempts:
            return False
        if self._time_left() < LEAST_TIME_S:
            return False
        taken = self.parts.budget(self.order.pool).take(
            self.parts.peers.count_live()
        )
        if not taken:
            self.parts.measures.count('retries_denied', self.order.pool)
        else:
            self.parts.measures.count('retries', self.order.pool)
        return taken

    async def _send(
        self, place: edgeplaces.Place, link: edgeports.ServerLink
    ) -> Outcome:
        """Send the request once and relay the answer."""
        order = self.order
        server = place.server
        self.tried.append(server.id)
        self.sent += 1
        if self.sent == 1:
            self.parts.budget(order.pool).add_request()
        sending = directcall.Sending(
            server=server,
            time_left_s=self._time_left(),
            organisation=order.organisation,
            priority=order.priority,
            last_event_id=self.cutter.last_event_id,
            cache_source=place.cache_source,
        )
        data = self.parts.wire.write_request(
            order.request, sending, self.forwarded
        )
        self.parts.loads.begin(server.id)
        for part in place.parts_read:
            if self.parts.prompts.note(part, server.id):
                self.parts.peers.note_place(part, server.id)
        complete = False
        try:
            sent_at = self.parts.clock()
            exchange = link.send(
                data, self._decode, order.request.method == b'HEAD'
            )
            outcome, head = await self._follow(server, link, exchange, sent_at)
            complete = head is not None and not isinstance(outcome, Failed)
            complete = complete or (
                isinstance(outcome, Failed) and outcome.head is not None
            )
        except asyncio.CancelledError:
            self._leave(server, link)
            raise
        finally:
            self.parts.loads.end(server.id)
            if complete:
                self.parts.connector.release(server, link, head.keep_alive_s)
            else:
                link.abort()
        self._note_outcome(server, outcome)
        return outcome

    def _leave(
        self, server: directcall.BackendServer, link: edgeports.ServerLink
    ) -> None:
        """Cancel the run of a request whose caller has gone."""
        self.parts.events.write(
            'caller-gone',
            id=self.order.traits.attempt_id,
            server=server.id,
            age=self.parts.clock() - self.order.request.received_at,
        )
        self.parts.measures.count('callers_gone', self.order.pool)

    def _decode(
        self, status: int, reason: bytes, headers: edgeports.Headers
    ) -> directcall.AnswerHead | None:
        """Decode an answer's head, or None if it isn't this request's."""
        head = self.parts.wire.read_answer(status, reason, headers)
        if head.attempt_id == self.order.traits.attempt_id:
            return head
        if not head.attempt_id and (head.not_run or head.misdirected):
            # Refusals that name no request; _follow trusts them only on a
            # connection that carried no other.
            return head
        self.parts.measures.count('foreign_answers', self.order.pool)
        self.parts.events.write(
            'foreign-answer',
            id=self.order.traits.attempt_id,
            answered=head.attempt_id,
            status=status,
        )
        return None

    async def _follow(
        self,
        server: directcall.BackendServer,
        link: edgeports.ServerLink,
        exchange: edgeports.ServerExchange,
        sent_at: float,
    ) -> tuple[Outcome, directcall.AnswerHead | None]:
        """Wait for the head and relay the rest."""
        try:
            head = await self._await_head(server, exchange, sent_at)
        except TimeoutError:
            if self._time_left() <= 0:
                return Failed('deadline'), None
            return Failed('silent'), None
        except errors.ServerFailed as error:
            if not error.sent:
                return NotRun(error.cause), None
            return Failed(error.cause), None
        now = self.parts.clock()
        self.parts.heard_at[server.id] = now
        self.parts.measures.note_first_byte(self.order.pool, now - sent_at)
        self.first_byte_s = now - self.order.request.received_at
        if head.load is not None:
            self.parts.loads.note_report(
                server.id, head.load.running + head.load.waiting
            )
        if head.not_run or head.misdirected:
            if not head.attempt_id and link.requests > 1:
                return Failed('refusal without an id'), None
            return await self._read_refusal(link, exchange, head)
        try:
            if self.order.route.streams and head.status < 300:
                return await self._relay_events(server, link, exchange, head)
            return await self._relay_whole(link, exchange, head)
        except TimeoutError:
            cause = 'deadline' if self._time_left() <= 0 else 'silent'
            return Failed(cause), None
        except errors.ServerFailed as error:
            return Failed(error.cause), None

    async def _await_head(
        self,
        server: directcall.BackendServer,
        exchange: edgeports.ServerExchange,
        sent_at: float,
    ) -> directcall.AnswerHead:
        """Wait for the head; raise TimeoutError when waiting is in vain."""
        while True:
            now = self.parts.clock()
            end = self.order.deadline + DEADLINE_SLACK_S
            if self._can_move():
                end = min(end, self._silence_end(server, sent_at, now))
            if end <= now:
                raise TimeoutError
            done, _ = await asyncio.wait((exchange.head,), timeout=end - now)
            if done:
                return exchange.head.result()

    def _silence_end(
        self, server: directcall.BackendServer, since: float, now: float
    ) -> float:
        """Return when waiting for a first byte becomes pointless."""
        heard_at = self.parts.heard_at.get(server.id, -1e9)
        limit_s = silence.find_first_byte_limit(
            self.order.route, now - since, now - heard_at
        )
        return since + limit_s

    def _can_move(self) -> bool:
        """Tell whether another server could be given the request.

        Without one, or without a retry to spend, a slow server is waited
        for: giving it up would turn a late answer into none.
        """
        if not self.order.route.repeatable:
            return False
        if self.sent >= self.order.route.max_attempts:
            return False
        others = any(
            one.server.id not in self.tried
            and not self.parts.avoidance.is_avoided(one.server.id)
            for one in self.parts.servers.ready(self.order.pool)
        )
        return others and self.parts.budget(self.order.pool).allows(
            self.parts.peers.count_live()
        )

    async def _read_refusal(
        self,
        link: edgeports.ServerLink,
        exchange: edgeports.ServerExchange,
        head: directcall.AnswerHead,
    ) -> tuple[Outcome, directcall.AnswerHead | None]:
        """Read the refusal to its end, so that the connection is kept."""
        cause = 'misdirected' if head.misdirected else f'shed-{head.status}'
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                while await link.read(exchange):
                    pass
        except (TimeoutError, errors.ServerFailed):
            # The refusal itself holds; only the connection is lost.
            link.abort()
            return NotRun(cause), None
        return NotRun(cause), head

    async def _relay_whole(
        self,
        link: edgeports.ServerLink,
        exchange: edgeports.ServerExchange,
        head: directcall.AnswerHead,
    ) -> tuple[Outcome, directcall.AnswerHead | None]:
        """Hold the answer until it is whole, if it isn't too large."""
        held = []
        size = 0
        end = self.order.deadline + DEADLINE_SLACK_S
        async with asyncio.timeout(end - self.parts.clock()):
            while data := await link.read(exchange):
                held.append(data)
                size += len(data)
                if size > MAX_HELD_BYTES:
                    return await self._relay_large(link, exchange, head, held)
        body = b''.join(held)
        if head.status < 300 and (not head.signed or head.encoded):
            return Failed('answer without signature'), None
        if head.status >= _SERVER_ERRORS and self.order.route.repeatable:
            return Failed(f'status-{head.status}', head, body), head
        if self.caller.started:
            return Failed(f'status-{head.status}'), head
        self.caller.answer(head.status, head.headers, body)
        return Delivered('answered', head.status), head

    async def _relay_large(
        self,
        link: edgeports.ServerLink,
        exchange: edgeports.ServerExchange,
        head: directcall.AnswerHead,
        held: list[bytes],
    ) -> tuple[Outcome, directcall.AnswerHead | None]:
        """Pass a large answer on as it comes."""
        if head.status < 300 and (not head.signed or head.encoded):
            return Failed('answer without signature'), None
        self.caller.start(head.status, head.headers)
        self.caller.write(b''.join(held))
        try:
            while data := await link.read(exchange):
                self.caller.write(data)
                await self.caller.drained()
        except (TimeoutError, errors.ServerFailed) as error:
            self.caller.abort()
            return Delivered(f'cut-{type(error).__name__}', head.status), None
        self.caller.finish()
        return Delivered('answered', head.status), head

    async def _relay_events(
        self,
        server: directcall.BackendServer,
        link: edgeports.ServerLink,
        exchange: edgeports.ServerExchange,
        head: directcall.AnswerHead,
    ) -> tuple[Outcome, directcall.AnswerHead | None]:
        """Pass events on as they come."""
        if not head.signed or head.encoded:
            return Failed('answer without signature'), None
        resumable = self.order.route.resumable
        while True:
            async with asyncio.timeout(self._pause_limit()):
                data = await link.read(exchange)
            if not data:
                break
            self.parts.heard_at[server.id] = self.parts.clock()
            if not self.caller.started:
                self.caller.start(head.status, head.headers)
            whole = self.cutter.feed(data) if resumable else data
            if whole:
                self.caller.write(whole)
                await self.caller.drained()
        if resumable and self.cutter.partial:
            return Failed('event broken off'), None
        if not self.caller.started:
            self.caller.start(head.status, head.headers)
        self.caller.finish()
        return Delivered('answered', head.status), head

    def _pause_limit(self) -> float:
        """Return how long to wait for the next event, in seconds."""
        left = self._time_left() + DEADLINE_SLACK_S
        if self._can_move():
            left = min(left, silence.find_pause_limit(self.order.route))
        return max(0.0, left)

    def _note_outcome(
        self, server: directcall.BackendServer, outcome: Outcome
    ) -> None:
        """Let the outcome count for or against the server."""
        match outcome:
            case Delivered(_, status) if status < _SERVER_ERRORS:
                self.parts.avoidance.note_success(server.id)
                self.parts.crashes.note_answered(self.order.fingerprint)
            case Delivered():
                self.parts.avoidance.note_failure(server.id)
            case NotRun(cause):
                if cause == 'misdirected':
                    self.parts.avoidance.note_unreachable(server.id)
            case Failed(cause, head):
                if cause != 'deadline':
                    self.parts.avoidance.note_failure(server.id)
                if head is None and cause.startswith('connection'):
                    self.parts.crashes.note_broken(
                        server, self.order.fingerprint
                    )
        if not isinstance(outcome, Delivered):
            self.cutter.drop_partial()
            self.parts.measures.count('failed_sendings', self.order.pool)
            self.parts.events.write(
                'sending-failed',
                id=self.order.traits.attempt_id,
                server=server.id,
                outcome=type(outcome).__name__,
                cause=outcome.cause,
                attempt=self.sent,
                events_to=self.cutter.last_event_id,
            )

    def _note_unreachable(
        self, server: directcall.BackendServer, error: errors.ServerFailed
    ) -> None:
        """Note a server that took no connection; nothing was sent."""
        self.tried.append(server.id)
        self.parts.avoidance.note_unreachable(server.id)
        self.parts.measures.count('unreachable', self.order.pool)
        self.parts.events.write(
            'server-unreachable',
            id=self.order.traits.attempt_id,
            server=server.id,
            cause=error.cause,
        )

    def _give_up(self, cause: str) -> None:
        """End the request at once with a true statement of what happened."""
        if self.caller.started:
            self.caller.abort()
            self._log_end(f'cut-{cause}', 0, '')
            return
        if self.failure is not None and self.failure.head is not None:
            head = self.failure.head
            self.caller.answer(head.status, head.headers, self.failure.body)
            self._log_end('passed-failure', head.status, '')
            return
        if self.may_have_run:
            status = _GATEWAY_TIMEOUT if cause == 'deadline' else _BAD_GATEWAY
            self.caller.answer(status, [], _explain(cause))
        else:
            status = _SERVICE_UNAVAILABLE
            after = b'%.2f' % RETRY_AFTER_S
            self.caller.answer(
                status, [(b'retry-after', after)], _explain(cause)
            )
        self._log_end(f'refused-{cause}', status, '')

    def _log_place(self, place: edgeplaces.Place) -> None:
        """Log where a request goes and why."""
        self.parts.events.write(
            'place',
            id=self.order.traits.attempt_id,
            server=place.server.id,
            pool=self.order.pool,
            reason=place.reason,
            load=place.load,
            bound=place.bound,
            source=place.cache_source or '-',
            list=self.parts.servers.version,
            attempt=self.sent + 1,
        )

    def _log_end(self, result: str, status: int, server: str) -> None:
        """Log the end of a request."""
        now = self.parts.clock()
        order = self.order
        self.parts.measures.count('requests', result)
        self.parts.measures.note_total(
            order.pool, now - order.request.received_at
        )
        self.parts.events.write(
            'end',
            id=order.traits.attempt_id,
            route=order.route.name,
            pool=order.pool,
            result=result,
            status=status,
            server=server or '-',
            sent=self.sent,
            first=self.first_byte_s if self.first_byte_s is not None else '-',
            age=now - order.request.received_at,
            left=order.deadline - now,
            config=order.version,
        )


def _explain(cause: str) -> bytes:
    """Return the body of an own answer."""
    return b'{"error":"%s"}\n' % cause.encode('latin-1', 'replace')
