"""Forwarding of one request, with retries and failover.

A request that isn't safe to repeat is sent to a second server only if the
first is known not to have run it.  A retryable request, or a stream that can
be resumed, fails over to another server within its attempts and the retry
budget.
"""

import asyncio

from arbutusvale import errors
from arbutusvale.coordination import edge_admission
from arbutusvale.coordination import edge_admission_policy
from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_placement
from arbutusvale.coordination import edge_relay
from arbutusvale.coordination import edge_reporter
from arbutusvale.coordination import edge_requests
from arbutusvale.coordination import event_stream
from arbutusvale.coordination import response_timeouts
from arbutusvale.coordination import stream_continuity
from arbutusvale.protocol import edge_ports
from arbutusvale.protocol import proxying
from arbutusvale.protocol import stream_origin

# Connecting within a region takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.25
MAX_CONNECT_FAILURES = 4
# With less time left no attempt can succeed.
MIN_TIME_S = 0.01
SERVER_CHECK_INTERVAL_S = 0.1
ROOM_CHECK_INTERVAL_S = 0.05
# How long a request waits for an engine that is reading the same prompt.
MAX_READ_WAIT_SHARE = 0.75
READ_CHECK_INTERVAL_S = 0.02

_BAD_GATEWAY = 502
_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class EdgeCall:
    """The attempts to forward one admitted request."""

    def __init__(
        self,
        context: edge_context.EdgeContext,
        request: edge_requests.RoutedRequest,
        caller: edge_ports.CallerStream,
    ):
        self.context = context
        self.request = request
        self.caller = caller
        self.reporter = edge_reporter.RequestReporter(context, request)
        self.forwarded_headers = context.codec.format_forwarded_headers(
            request.caller_request
        )
        self.event_buffer = event_stream.EventBuffer(
            request.metadata.last_event_id, context.held
        )
        self.tried_servers: list[str] = []
        self.attempts = 0
        self.connect_failures = 0
        # The time spent on connections that failed.
        self.connecting_s = 0.0
        self.possibly_executed = False
        self.last_failure: edge_requests.Failed | None = None
        # The version at which a stream must go on; None while any may serve.
        self.software_version: str | None = None
        # The last placement whose server has sent events.
        self.begun_placement: edge_placement.Placement | None = None
        # The place in the line of requests that wait for a server.
        self.ticket: int | None = None
        # The time until a server takes a request, if that is too late.
        self.refused_wait_s = 0.0
        # Whether the next attempt has a place in the retry budget.
        self.retry_reserved = False
        # Whether it can't be served before this router ends.
        self.is_stopped = False

    async def run(self) -> None:
        """Send the request until it has a response or no attempt is left."""
        self.context.limits.record_demand(self.request.pool)
        edge_placement.record_prompt(
            self.context,
            self.request,
            self.context.typical_service_times.average_s(
                self.request.route.name
            ),
        )
        try:
            await self._run_attempts()
        finally:
            self._stop_waiting()
            self._cancel_retry()

    async def _run_attempts(self) -> None:
        """Place and send the request, again as far as that is allowed."""
        if self.request.resumes_stream:
            refusal = await self._require_version()
            if refusal:
                self._end_unanswered(refusal)
                return
        cause = ''
        await self._wait_until_read()
        while self._time_left_s() >= MIN_TIME_S:
            placement = edge_placement.place_request(
                self.context,
                self.request,
                self.tried_servers,
                self.software_version,
                self.ticket,
            )
            if placement is None:
                if await self._wait_for_server():
                    continue
                self._end_unanswered(cause or self._no_server_cause())
                return
            if not self._may_run():
                break
            self._stop_waiting()
            self._reserve(placement.server)
            self.tried_servers.append(placement.server.id)
            connection = await self._connect(placement.server)
            if connection is None:
                self._cancel_reservation(placement.server)
                cause = 'unreachable'
                if (
                    self.connect_failures >= MAX_CONNECT_FAILURES
                    and self.connecting_s >= CONNECT_TIMEOUT_S
                ):
                    self._end_unanswered(cause)
                    return
                continue
            if self.context.servers.is_evacuated(placement.server):
                # It became so while the connection was opened.
                self._give_back(placement.server, connection)
                continue
            if not self._spend_retry():
                self._give_back(placement.server, connection)
                self._end_unanswered(cause)
                return
            if not self.context.crashes.start_attempt(self.request.suspects):
                self._give_back(placement.server, connection)
                self._end_unanswered('quarantined')
                return
            outcome = await self._send(placement, connection)
            match outcome:
                case edge_requests.Delivered(result, status):
                    self._end(result, status, placement.server.id)
                    return
                case edge_requests.NotRun(cause):
                    pass
                case edge_requests.Failed(cause):
                    self.possibly_executed = True
                    self.last_failure = outcome
                case edge_requests.Ambiguous(cause):
                    self.possibly_executed = True
            if isinstance(
                outcome, edge_requests.Failed
            ) and await self.context.crashes.forbids_retry(
                placement.server, self.request.suspects
            ):
                self._end_unanswered('quarantined')
                return
            if not self._reserve_retry(outcome):
                self._end_unanswered(cause)
                return
            if not await self.wait_for_room():
                break
        self._end_unanswered('deadline')

    def record_cancelled(self) -> None:
        """Record that the caller has left, or that this process ends."""
        self._end('cancelled', 0)

    def end_at_shutdown(self) -> None:
        """End the request, as this router ends."""
        self.is_stopped = True
        self._end_unanswered('deadline')

    def _time_left_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.request.deadline - self.context.clock()

    async def _require_version(self) -> str:
        """Require the version that began the stream; return why not."""
        version = await stream_continuity.find_version(
            self.context, self.request
        )
        self.reporter.record_resumption(version)
        match version:
            case stream_continuity.Resumable(software_version):
                self.software_version = software_version
                return ''
            case stream_continuity.NotResumable(cause):
                return cause

    def _record_events(self, placement: edge_placement.Placement) -> None:
        """Record that a server has read the prompt and begins to answer.

        The stream is bound to the version of the first that does.
        """
        if placement is not self.begun_placement:
            self.begun_placement = placement
            self._finish_reading(placement)
        server = placement.server
        if self.software_version is not None:
            return
        self.software_version = server.software_version
        if self.request.route.resumable:
            self.context.origins.record(
                stream_origin.StreamOrigin(
                    self.request.metadata.attempt_id,
                    self.request.pool,
                    server.software_version,
                )
            )

    async def _wait_for_server(self) -> bool:
        """Wait for a server whose pause ends, or whose limit allows more.

        Return whether to place the request anew; False at once if none will
        in time.
        """
        wait_s = edge_placement.find_shortest_wait_s(
            self.context,
            self.request,
            self.tried_servers,
            self.software_version,
            self.ticket,
        )
        if wait_s is None or self.attempts >= self.request.route.max_attempts:
            return False
        if not self._may_wait(wait_s):
            return False
        service_time_s = self.context.typical_service_times.average_s(
            self.request.route.name
        )
        if wait_s + max(MIN_TIME_S, service_time_s) >= self._time_left_s():
            self.refused_wait_s = wait_s
            return False
        if self.ticket is None:
            waiters = self.context.waiters
            ahead = waiters.count_ahead(self.request.pool, None)
            self.reporter.record_wait(wait_s, ahead)
            self.ticket = waiters.join(self.request.pool)
        # Another server may come, or this one leave, before that.
        await asyncio.sleep(
            min(max(wait_s, MIN_TIME_S), SERVER_CHECK_INTERVAL_S)
        )
        return True

    async def _wait_until_read(self) -> None:
        """Wait, for a while, if an engine is reading parts of the prompt."""
        started_at = self.context.clock()
        wait_until = started_at + min(
            MAX_READ_WAIT_SHARE * self.request.route.target_latency_s,
            self._time_left_s(),
        )
        while self.context.clock() < wait_until:
            if not edge_placement.is_being_read(self.context, self.request):
                break
            if not self._may_wait():
                break
            await asyncio.sleep(READ_CHECK_INTERVAL_S)
        waited_s = self.context.clock() - started_at
        if waited_s >= READ_CHECK_INTERVAL_S:
            self.reporter.record_read_wait(waited_s)

    async def wait_for_room(self) -> bool:
        """Wait until the servers that are left have room for the request.

        It doesn't count as in flight meanwhile.  Return whether it has room
        before its deadline.
        """
        started_at = self.context.clock()
        if self.caller.started:
            late_at = started_at + self.request.route.target_gap_s
        else:
            late_at = (
                self.request.caller_request.received_at
                + self.request.route.target_latency_s
            )
        edge_admission.release_room(self.context, self.request)
        while not edge_admission.has_room(self.context, self.request):
            self.request.late |= self.context.clock() > late_at
            if self._time_left_s() < MIN_TIME_S or not self._may_wait():
                return False
            await asyncio.sleep(ROOM_CHECK_INTERVAL_S)
        edge_admission.take_room(self.context, self.request)
        waited_s = self.context.clock() - started_at
        if waited_s >= ROOM_CHECK_INTERVAL_S:
            self.reporter.record_room_wait(waited_s)
        return True

    def _may_run(self) -> bool:
        """Return whether to send the request before this router ends.

        A stream that has begun goes on as long as it can.
        """
        self.is_stopped = not self.caller.started and (
            not edge_admission.may_run(self.context, self.request)
        )
        return not self.is_stopped

    def _may_wait(self, wait_s: float = 0.0) -> bool:
        """Return whether to wait for a server before this router ends."""
        self.is_stopped = not self.caller.started and (
            not edge_admission.may_wait(self.context, self.request, wait_s)
        )
        return not self.is_stopped

    def _stop_waiting(self) -> None:
        """Leave the line of requests that wait for a server."""
        if self.ticket is not None:
            self.context.waiters.leave(self.request.pool, self.ticket)
            self.ticket = None

    def _no_server_cause(self) -> str:
        """Return the cause when no server is left to send to."""
        if self.refused_wait_s:
            return 'servers-busy'
        if self.context.servers.is_pool_evacuated(self.request.pool):
            return 'evacuated'
        if self.software_version is None:
            return 'no-server'
        return 'no-server-of-version'

    def _reserve(self, server: proxying.BackendServer) -> None:
        """Count the request at a server from its placement on.

        Others that are placed while it connects have to see it.
        """
        self.context.limits.spend(server)
        self.context.loads.record_start(server.id)

    def _cancel_reservation(self, server: proxying.BackendServer) -> None:
        """Count a request no longer that was not sent after all."""
        self.context.limits.refund(server)
        self.context.loads.record_end(server.id)

    def _give_back(
        self,
        server: proxying.BackendServer,
        connection: edge_ports.ServerConnection,
    ) -> None:
        """Release a server and a connection on which nothing was sent."""
        self._cancel_reservation(server)
        self.context.connection_pool.release(server, connection, None)

    async def _connect(
        self, server: proxying.BackendServer
    ) -> edge_ports.ServerConnection | None:
        """Return a connection to a server; None if it can't be reached."""
        timeout_s = min(CONNECT_TIMEOUT_S, self._time_left_s())
        require_fresh = not self.request.route.retryable
        started_at = self.context.clock()
        try:
            return await self.context.connection_pool.acquire(
                server, require_fresh, timeout_s
            )
        except errors.ServerFailed as error:
            self.connect_failures += 1
            self.connecting_s += self.context.clock() - started_at
            self.reporter.record_unreachable(server, error)
            return None
        except asyncio.CancelledError:
            self._cancel_reservation(server)
            raise

    async def _send(
        self,
        placement: edge_placement.Placement,
        connection: edge_ports.ServerConnection,
    ) -> edge_requests.Outcome:
        """Make one attempt: send the request and relay the response."""
        server = placement.server
        sent_at = self.context.clock()
        self.attempts += 1
        self.reporter.log_placement(
            placement, self.attempts, self.event_buffer.last_event_id
        )
        self.reporter.start_attempt()
        if self.attempts == 1:
            self.context.retry_budget(self.request.pool).add_request()
        self._start_reading(placement)
        relay = edge_relay.ResponseRelay(
            self.reporter,
            self.caller,
            self.event_buffer,
            edge_relay.Alternatives(
                self._can_fail_over,
                lambda: self._can_fail_over() and self._reserve_in_budget(),
                self._list_untried,
            ),
            lambda: self._record_events(placement),
            server,
            connection,
            placement.unread_tokens,
        )
        relay_result = None
        try:
            relay_result = await relay.run(self._encode_request(placement))
            if isinstance(relay_result.outcome, edge_requests.Delivered):
                self._finish_reading(placement)
        except asyncio.CancelledError:
            self.possibly_executed = True
            self.reporter.record_cancelled(server)
            raise
        finally:
            self._abandon_reading(placement)
            self.context.loads.record_end(server.id)
            self._release_connection(server, connection, relay_result)
            self.reporter.partial_bytes = len(self.event_buffer.partial)
            self.event_buffer.discard_partial()
        self.reporter.record_outcome(
            server,
            relay_result.outcome,
            self.attempts,
            self.event_buffer.last_event_id,
        )
        if self.attempts == 1 and not self.request.resumes_stream:
            self._record_run_time(relay_result.outcome, sent_at)
        return relay_result.outcome

    def _record_run_time(
        self, outcome: edge_requests.Outcome, sent_at: float
    ) -> None:
        """Record how long a request took that succeeded."""
        match outcome:
            case edge_requests.Delivered('answered', status) if (
                status in edge_reporter.SUCCESSES
            ):
                self.context.run_times.record(
                    self.request.route.name, self.context.clock() - sent_at
                )

    def _encode_request(self, placement: edge_placement.Placement) -> bytes:
        """Return the request as bytes for the chosen server."""
        parameters = proxying.AttemptParameters(
            server=placement.server,
            time_left_s=self._time_left_s(),
            organisation=self.request.organisation,
            priority=edge_admission.engine_priority(
                self.context, self.request
            ),
            last_event_id=self.event_buffer.last_event_id,
            cache_source=placement.cache_source,
        )
        return self.context.codec.encode_request(
            self.request.caller_request, parameters, self.forwarded_headers
        )

    def _start_reading(self, placement: edge_placement.Placement) -> None:
        """Record which prompt parts the server will read; inform peers."""
        for part in placement.shared_parts:
            if self.context.prompts.start_reading(part, placement.server.id):
                self.context.peers.announce_cache_location(
                    part, placement.server.id, is_reading=True
                )

    def _finish_reading(self, placement: edge_placement.Placement) -> None:
        """Record that the server has the prompt cached; inform peers."""
        for part in placement.shared_parts:
            if self.context.prompts.record(part, placement.server.id):
                self.context.peers.announce_cache_location(
                    part, placement.server.id, is_reading=False
                )

    def _abandon_reading(self, placement: edge_placement.Placement) -> None:
        """Forget what the server has begun to read for this request only."""
        if placement is not self.begun_placement:
            for part in placement.shared_parts:
                self.context.prompts.abandon_reading(part, placement.server.id)

    def _release_connection(
        self,
        server: proxying.BackendServer,
        connection: edge_ports.ServerConnection,
        relay_result: edge_relay.RelayResult | None,
    ) -> None:
        """Keep a connection if its response was read to the end."""
        if relay_result is None or relay_result.head is None:
            connection.abort()
        else:
            self.context.connection_pool.release(
                server, connection, relay_result.head.keep_alive_s
            )

    def _can_fail_over(self) -> bool:
        """Check whether the request could be sent to another server.

        Without another server or retry budget the router keeps waiting for a
        slow server: ending the attempt would leave no response at all.
        """
        if not self.request.route.retryable:
            return False
        if self.attempts >= self.request.route.max_attempts:
            return False
        if self._is_queued_like_others():
            return False
        alternatives_exist = any(
            not self.context.outlier_detector.is_ejected(server.id)
            and not self.context.pauses.time_left_s(server)
            and not self.context.limits.time_until_free_s(server)
            for server in self._list_untried()
        )
        return (
            alternatives_exist
            and self.context.retry_budget(self.request.pool).can_reserve()
        )

    def _is_queued_like_others(self) -> bool:
        """Check whether its server is only as busy as all are.

        Another server would begin anew, behind its own queue.
        """
        received_at = self.context.last_received_at.get(self.tried_servers[-1])
        return (
            received_at is not None
            and self.context.clock() - received_at
            < response_timeouts.SILENT_ENGINE_S
            and edge_admission.is_short_of_room(self.context, self.request)
        )

    def _list_untried(self) -> list[proxying.BackendServer]:
        """List the servers of the pool and version that weren't tried yet."""
        return [
            listed.server
            for listed in self.context.servers.list_ready_servers(
                self.request.pool, self.software_version
            )
            if listed.server.id not in self.tried_servers
        ]

    def _reserve_retry(self, outcome: edge_requests.Outcome) -> bool:
        """Reserve a retry if the request may be sent to another server."""
        not_run = isinstance(outcome, edge_requests.NotRun)
        if not not_run and not self.request.route.retryable:
            return False
        if self.attempts >= self.request.route.max_attempts:
            return False
        if self._time_left_s() < MIN_TIME_S:
            return False
        return self.retry_reserved or self._reserve_in_budget()

    def _reserve_in_budget(self) -> bool:
        """Reserve a retry if the budget allows one more."""
        budget = self.context.retry_budget(self.request.pool)
        self.retry_reserved = budget.try_reserve()
        self.reporter.record_retry(self.retry_reserved, budget)
        return self.retry_reserved

    def _spend_retry(self) -> bool:
        """Spend the reserved retry, if the next attempt is one."""
        if not self.retry_reserved:
            return True
        self.retry_reserved = False
        budget = self.context.retry_budget(self.request.pool)
        granted = budget.spend()
        if not granted:
            self.reporter.record_retry(False, budget)
        return granted

    def _cancel_retry(self) -> None:
        """Take back a reserved retry that was not sent."""
        if self.retry_reserved:
            self.retry_reserved = False
            self.context.retry_budget(self.request.pool).cancel()

    def _end_unanswered(self, cause: str) -> None:
        """End the request without a response from a server."""
        if self.is_stopped:
            cause = 'stopping'
        if self.caller.started:
            self.caller.abort()
            self._end(f'cut-{cause}', 0)
            return
        if (
            self.last_failure is not None
            and self.last_failure.head is not None
        ):
            head = self.last_failure.head
            self.caller.send_response(
                head.status, head.headers, self.last_failure.body
            )
            self._end('passed-failure', head.status)
            return
        headers = []
        # 503 says that no server has run the request.
        if not self.possibly_executed:
            status = _SERVICE_UNAVAILABLE
            jitter = self.context.generator.random()
            retry_after_s = edge_admission_policy.alternate_retry_after_s(
                jitter
            )
            if self.refused_wait_s:
                retry_after_s = edge_admission_policy.pause_retry_after_s(
                    self.refused_wait_s, jitter
                )
            elif cause == 'evacuated':
                retry_after_s = edge_admission_policy.pool_retry_after_s(
                    self._time_left_s(), jitter
                )
            headers = [(b'retry-after', b'%.2f' % retry_after_s)]
        elif cause == 'deadline':
            status = _GATEWAY_TIMEOUT
        else:
            status = _BAD_GATEWAY
        self.caller.send_response(
            status, headers, edge_requests.error_body(cause)
        )
        self._end(f'refused-{cause}', status)

    def _end(self, result: str, status: int, server: str = '') -> None:
        """Record the end of the request."""
        self.reporter.record_end(result, status, server, self.attempts)
