"""Log lines, metrics and server health updates of one request."""

from arbutusvale import errors
from arbutusvale.coordination import crash_tracker
from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_placement
from arbutusvale.coordination import edge_requests
from arbutusvale.coordination import retries
from arbutusvale.coordination import stream_continuity
from arbutusvale.protocol import edge_ports
from arbutusvale.protocol import proxying

SUCCESSES = range(200, 300)
MIN_SERVER_ERROR_STATUS = 500
MAX_LOGGED_PARTS = 8
LOGGED_PART_CHARS = 16


class RequestReporter:
    """Reporter of what happens to one request."""

    def __init__(
        self,
        context: edge_context.EdgeContext,
        request: edge_requests.RoutedRequest,
    ):
        self.context = context
        self.request = request
        self.first_byte_s: float | None = None
        # When the request was sent to the server that has it now.
        self.sent_at = 0.0
        self.unread_tokens = 0
        self.framing: edge_ports.Framing | None = None
        # Length of the incomplete event at the end of an event stream.
        self.partial_bytes = 0

    def write(self, event: str, **fields: object) -> None:
        """Write a log line that begins with the request's attempt id."""
        self.context.events.write(
            event, id=self.request.metadata.attempt_id, **fields
        )

    def log_placement(
        self,
        placement: edge_placement.Placement,
        attempt: int,
        last_event_id: int | None,
    ) -> None:
        """Log the chosen server and the reason."""
        self.unread_tokens = placement.unread_tokens
        self.write(
            'place',
            server=placement.server.id,
            pool=self.request.pool,
            reason=placement.reason,
            load=placement.load,
            slowdown=placement.slowdown,
            bound=placement.bound,
            source=placement.cache_source or '-',
            list=self.context.servers.version,
            version=placement.server.software_version,
            resumes=self.request.metadata.resumes or '-',
            events_to=last_event_id,
            attempt=attempt,
        )

    def start_attempt(self) -> None:
        """Forget the response to the attempt before."""
        self.sent_at = self.context.clock()
        self.framing = None
        self.partial_bytes = 0

    def record_unreachable(
        self, server: proxying.BackendServer, error: errors.ServerFailed
    ) -> None:
        """Record a server that accepted no connection; nothing was sent."""
        self.context.outlier_detector.record_unreachable(server.id)
        self.context.metrics.increment('unreachable', self.request.pool)
        self.write('server-unreachable', server=server.id, cause=error.cause)

    def record_response_head(
        self,
        server: proxying.BackendServer,
        head: proxying.ResponseHead,
        framing: edge_ports.Framing | None,
        sent_at: float,
    ) -> None:
        """Record the time to a response head and the load it reports."""
        now = self.context.clock()
        self.framing = framing
        self.context.last_received_at[server.id] = now
        self.context.metrics.observe_first_byte(
            self.request.pool, now - sent_at
        )
        self.first_byte_s = now - self.request.caller_request.received_at
        if head.leaving and not head.misdirected:
            self._record_leaving(server)
        if head.pause_s is not None:
            self._record_pause(server, head.pause_s)
        elif head.malformed_pause:
            self.context.metrics.increment('malformed_pauses')
            self.context.events.write(
                'pause-malformed',
                server=server.id,
                value=head.malformed_pause[:80],
            )
        if not head.misdirected:
            self._record_limit(server, head, sent_at)
            self.context.limits.warmups.begin(server, head.cold_for_s)
        if head.status in SUCCESSES:
            self.context.pacer.record_answer(
                server,
                now - sent_at,
                self.unread_tokens,
                head.load.waiting if head.load is not None else 0,
            )
        if head.load is not None:
            self.context.loads.record_reported_load(
                server.id, head.load.running + head.load.waiting
            )
            self._record_slowdown(server, head, now - sent_at)

    def _record_slowdown(
        self,
        server: proxying.BackendServer,
        head: proxying.ResponseHead,
        first_byte_s: float,
    ) -> None:
        """Record how long a server says that work takes there now.

        Also record how long the first byte took, as if it worked as usual.
        """
        if head.load.slowdown is not None:
            self.context.speeds.record_told(server, head.load.slowdown)
            if head.status in SUCCESSES:
                self.context.first_event_times.record(
                    self.request.route.name,
                    first_byte_s / max(1.0, head.load.slowdown),
                )
        elif head.malformed_slowdown:
            self.context.metrics.increment('malformed_slowdowns')
            self.context.events.write(
                'slowdown-malformed',
                server=server.id,
                value=head.malformed_slowdown[:80],
            )

    def _record_limit(
        self,
        server: proxying.BackendServer,
        head: proxying.ResponseHead,
        sent_at: float,
    ) -> None:
        """Record the requests a second that a server takes, or its end."""
        if head.malformed_limit:
            self.context.metrics.increment('malformed_limits')
            self.context.events.write(
                'limit-malformed',
                server=server.id,
                value=head.malformed_limit[:80],
            )
            return
        limits = self.context.limits
        if limits.observe(server, head.rate_limit, sent_at):
            self.context.metrics.increment('server_limits', self.request.pool)
            rate = '-' if head.rate_limit is None else head.rate_limit
            self.context.events.write(
                'server-limit', server=server.id, rate=rate
            )
            self.context.announce_limits()

    def _record_pause(
        self, server: proxying.BackendServer, pause_s: float
    ) -> None:
        """Record that a server wants no requests from this router."""
        self.context.pauses.extend(server, pause_s)
        self.context.metrics.increment('server_pauses', self.request.pool)
        self.context.events.write(
            'server-pause', server=server.id, seconds=pause_s
        )

    def record_wait(self, wait_s: float, ahead: int) -> None:
        """Log that the request waits, as no server takes it yet."""
        self.context.metrics.increment('pause_waits', self.request.pool)
        self.write('pause-wait', seconds=wait_s, ahead=ahead)

    def record_room_wait(self, waited_s: float) -> None:
        """Log that the request waited for room at another server."""
        self.context.metrics.increment('room_waits', self.request.pool)
        self.write('room-wait', seconds=waited_s)

    def record_read_wait(self, waited_s: float) -> None:
        """Log that the request waited while its prompt was being read."""
        self.context.metrics.increment('read_waits', self.request.pool)
        self.write('read-wait', seconds=waited_s)

    def _record_leaving(self, server: proxying.BackendServer) -> None:
        """Record that a server says that it leaves; inform peers."""
        if not self.context.servers.mark_leaving(server):
            return
        self.context.metrics.increment('leaving_servers', 'answer')
        self.context.events.write(
            'server-leaving', server=server.id, source='answer'
        )
        self.context.peers.announce_leaving_server(server)

    def record_mismatched_response(
        self, response_attempt_id: str, status: int
    ) -> None:
        """Record a response to another request, which is dropped."""
        self.context.metrics.increment('foreign_answers', self.request.pool)
        self.write(
            'foreign-answer', answered=response_attempt_id, status=status
        )

    def record_cancelled(self, server: proxying.BackendServer) -> None:
        """Record that this router ends, or that the caller has left."""
        limits = self.context.work_limits
        if limits is not None and self.context.clock() >= limits.ends_at:
            return
        self.context.crashes.record_abandoned(
            server, self.request.suspects, self.sent_at
        )
        self.context.metrics.increment('callers_gone', self.request.pool)
        self.write(
            'caller-gone',
            server=server.id,
            request=crash_tracker.format_request(self.request.suspects),
            age=self.context.clock() - self.request.caller_request.received_at,
        )

    def record_resumption(
        self,
        version: stream_continuity.Resumable | stream_continuity.NotResumable,
    ) -> None:
        """Count and log where a caller's stream may go on."""
        match version:
            case stream_continuity.Resumable(software_version, source):
                result = source
            case stream_continuity.NotResumable(cause):
                software_version, result = '-', cause
        self.context.metrics.increment('resumed_streams', result)
        self.write(
            'stream-resumed',
            resumes=self.request.metadata.resumes or '-',
            result=result,
            version=software_version,
            age=self.context.clock() - self.request.caller_request.received_at,
        )

    def record_retry(
        self, granted: bool, budget: retries.WindowedRetryBudget
    ) -> None:
        """Count and log a retry that the budget granted or denied."""
        name = 'retries' if granted else 'retries_denied'
        self.context.metrics.increment(name, self.request.pool)
        self.write(
            'retry' if granted else 'retry-denied',
            pool=self.request.pool,
            spent=len(budget.retries),
            reserved=budget.reserved,
            allowed=budget.allowed(),
            requests=len(budget.requests),
            part=budget.census.own_part(budget.window_s),
        )

    def record_progress(self) -> None:
        """Record that a server goes on with a stream."""
        self.context.crashes.record_progress(self.request.suspects)

    def record_outcome(
        self,
        server: proxying.BackendServer,
        outcome: edge_requests.Outcome,
        attempt: int,
        last_event_id: int | None,
    ) -> None:
        """Record the outcome of an attempt, also in the server's health."""
        self._update_server_health(server, outcome)
        self._record_service_time(server, outcome)
        if isinstance(outcome, edge_requests.Delivered):
            return
        if outcome.cause not in ('deadline', 'misdirected', 'unread'):
            self.context.pacer.record_failure(server)
        self.context.metrics.increment('failed_sendings', self.request.pool)
        self.write(
            'sending-failed',
            server=server.id,
            outcome=type(outcome).__name__,
            cause=outcome.cause,
            attempt=attempt,
            events_to=last_event_id,
            framing=self.framing or '-',
            partial=self.partial_bytes,
            request=crash_tracker.format_request(self.request.suspects),
            organisation=self.request.organisation or '-',
            prompt=_format_prompt(self.request.metadata),
        )

    def record_end(
        self, result: str, status: int, server: str, attempts: int
    ) -> None:
        """Count and log the end of the request."""
        now = self.context.clock()
        request = self.request
        age_s = now - request.caller_request.received_at
        self.context.metrics.increment('requests', result)
        self.context.metrics.observe_total(request.pool, age_s)
        self.write(
            'end',
            route=request.route.name,
            pool=request.pool,
            result=result,
            status=status,
            server=server or '-',
            sent=attempts,
            first=self.first_byte_s if self.first_byte_s is not None else '-',
            age=age_s,
            left=request.deadline - now,
            config=request.version,
            framing=self.framing or '-',
            partial=self.partial_bytes,
        )

    def _update_server_health(
        self,
        server: proxying.BackendServer,
        outcome: edge_requests.Outcome,
    ) -> None:
        """Pass the outcome to outlier detection and the crash tracker."""
        match outcome:
            case edge_requests.Delivered(_, _, cut_cause) if cut_cause:
                self.context.outlier_detector.record_failure(server.id)
                self._record_unanswered(server, cut_cause)
            case edge_requests.Delivered(_, status) if (
                status < MIN_SERVER_ERROR_STATUS
            ):
                if self.context.outlier_detector.was_down(server.id):
                    self.context.limits.warmups.begin_pace(server)
                self.context.outlier_detector.record_success(server.id)
                self._record_answered(server, status)
            case edge_requests.Delivered():
                self.context.outlier_detector.record_failure(server.id)
            case edge_requests.NotRun('misdirected'):
                self.context.outlier_detector.record_unreachable(server.id)
            case edge_requests.Failed('deadline'):
                # The request ran out of time, which needn't be the server's
                # fault.
                self._record_unanswered(server, 'deadline')
            case edge_requests.Failed(cause, head):
                self.context.outlier_detector.record_failure(server.id)
                if head is None:
                    self._record_unanswered(server, cause)

    def _record_service_time(
        self,
        server: proxying.BackendServer,
        outcome: edge_requests.Outcome,
    ) -> None:
        """Record how long a server took for a plain call.

        An attempt that was given up tells that it takes longer.
        """
        if self.request.metadata.prompt:
            return
        match outcome:
            case edge_requests.Delivered('answered', status):
                # An error may come at once from a server that serves nothing.
                measured = status in SUCCESSES
            case edge_requests.Failed('silent'):
                measured = True
            case _:
                measured = False
        if measured:
            self.context.speeds.record_call(
                server,
                self.request.route.name,
                self.context.clock() - self.sent_at,
            )

    def _record_answered(
        self, server: proxying.BackendServer, status: int
    ) -> None:
        """Record a whole answer; only a success shows a whole run."""
        succeeded = status in SUCCESSES
        if self.framing is edge_ports.Framing.CLOSE:
            self.context.crashes.record_unframed_end(
                server, self.request.suspects, self.sent_at, succeeded
            )
        elif succeeded:
            self.context.crashes.record_completion(
                self.request.suspects, self.sent_at
            )

    def _record_unanswered(
        self, server: proxying.BackendServer, cause: str
    ) -> None:
        """Record that the request, which may crash its server, has no end."""
        crashes = self.context.crashes
        suspects = self.request.suspects
        if cause.startswith('connection'):
            crashes.record_broken_connection(server, suspects, self.sent_at)
        else:
            crashes.record_abandoned(server, suspects, self.sent_at)


def _format_prompt(metadata: proxying.RequestMetadata) -> str:
    """Return the ids of a prompt's parts for a log line."""
    parts = metadata.prompt[:MAX_LOGGED_PARTS]
    return '+'.join(part.id[:LOGGED_PART_CHARS] for part in parts) or '-'
