"""Tell what happened to a request: log lines, counters, verdicts."""

from arbutusvale import errors
from arbutusvale.coordination import edgeoutcomes
from arbutusvale.coordination import edgeparts
from arbutusvale.coordination import edgeplaces
from arbutusvale.protocol import proxying

SERVER_ERRORS = 500


class CallReport:
    """Report on one request, by the id of its attempt."""

    def __init__(self, parts: edgeparts.EdgeParts, order: edgeoutcomes.Order):
        self.parts = parts
        self.order = order
        self.first_byte_s: float | None = None

    def write(self, event: str, **fields: object) -> None:
        """Write a log line that begins with the attempt's id."""
        self.parts.events.write(
            event, id=self.order.traits.attempt_id, **fields
        )

    def note_place(self, place: edgeplaces.Place, attempt: int) -> None:
        """Log where a request goes and why."""
        self.write(
            'place',
            server=place.server.id,
            pool=self.order.pool,
            reason=place.reason,
            load=place.load,
            bound=place.bound,
            source=place.cache_source or '-',
            list=self.parts.servers.version,
            attempt=attempt,
        )

    def note_unreachable(
        self, server: proxying.BackendServer, error: errors.ServerFailed
    ) -> None:
        """Note a server that took no connection; nothing was sent."""
        self.parts.avoidance.note_unreachable(server.id)
        self.parts.measures.increment('unreachable', self.order.pool)
        self.write('server-unreachable', server=server.id, cause=error.cause)

    def note_head(
        self,
        server: proxying.BackendServer,
        head: proxying.ResponseHead,
        sent_at: float,
    ) -> None:
        """Note the time to an answer's head and the load that it reports."""
        now = self.parts.clock()
        self.parts.heard_at[server.id] = now
        self.parts.measures.observe_first_byte(self.order.pool, now - sent_at)
        self.first_byte_s = now - self.order.request.received_at
        if head.load is not None:
            self.parts.loads.record_reported_load(
                server.id, head.load.running + head.load.waiting
            )

    def note_foreign(self, answered: str, status: int) -> None:
        """Note an answer of another request, which is dropped."""
        self.parts.measures.increment('foreign_answers', self.order.pool)
        self.write('foreign-answer', answered=answered, status=status)

    def note_caller_gone(self, server: proxying.BackendServer) -> None:
        """Note that the caller left before its answer was complete."""
        self.parts.measures.increment('callers_gone', self.order.pool)
        self.write(
            'caller-gone',
            server=server.id,
            age=self.parts.clock() - self.order.request.received_at,
        )

    def note_retry(self, granted: bool) -> None:
        """Count a retry that was asked for."""
        name = 'retries' if granted else 'retries_denied'
        self.parts.measures.increment(name, self.order.pool)

    def note_outcome(
        self,
        server: proxying.BackendServer,
        outcome: edgeoutcomes.Outcome,
        attempt: int,
        last_event_id: int | None,
    ) -> None:
        """Let the outcome count for or against the server."""
        self._judge(server, outcome)
        if isinstance(outcome, edgeoutcomes.Delivered):
            return
        self.parts.measures.increment('failed_sendings', self.order.pool)
        self.write(
            'sending-failed',
            server=server.id,
            outcome=type(outcome).__name__,
            cause=outcome.cause,
            attempt=attempt,
            events_to=last_event_id,
        )

    def note_end(
        self, result: str, status: int, server: str, sent: int
    ) -> None:
        """Log the end of a request."""
        now = self.parts.clock()
        order = self.order
        age_s = now - order.request.received_at
        self.parts.measures.increment('requests', result)
        self.parts.measures.observe_total(order.pool, age_s)
        self.write(
            'end',
            route=order.route.name,
            pool=order.pool,
            result=result,
            status=status,
            server=server or '-',
            sent=sent,
            first=self.first_byte_s if self.first_byte_s is not None else '-',
            age=age_s,
            left=order.deadline - now,
            config=order.version,
        )

    def _judge(
        self,
        server: proxying.BackendServer,
        outcome: edgeoutcomes.Outcome,
    ) -> None:
        """Tell avoidance and the crash watch how the server did."""
        match outcome:
            case edgeoutcomes.Delivered(_, status) if status < SERVER_ERRORS:
                self.parts.avoidance.note_success(server.id)
                self.parts.crashes.record_completion(self.order.fingerprint)
            case edgeoutcomes.Delivered():
                self.parts.avoidance.note_failure(server.id)
            case edgeoutcomes.NotRun('misdirected'):
                self.parts.avoidance.note_unreachable(server.id)
            case edgeoutcomes.Failed('deadline'):
                # The request had no time; that says nothing of the server.
                pass
            case edgeoutcomes.Failed(cause, head):
                self.parts.avoidance.note_failure(server.id)
                if head is None and cause.startswith('connection'):
                    self.parts.crashes.record_broken_connection(
                        server, self.order.fingerprint
                    )
