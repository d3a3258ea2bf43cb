"""Entry point of requests: routing, authentication, admission control."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from arbutusvale.coordination import crash_tracker
from arbutusvale.coordination import edge_admission
from arbutusvale.coordination import edge_admission_policy
from arbutusvale.coordination import edge_call
from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_requests
from arbutusvale.coordination import edge_shutdown
from arbutusvale.coordination import supervisor
from arbutusvale.protocol import edge_ports
from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing
from arbutusvale.state import rendezvous
from arbutusvale.state import route_table

# Without a deadline from the caller, the route's timeout alone applies.
_NO_DEADLINE_S = 3600.0
_BUSY_RETRY_S = 0.5
# Callers had better not resend a request that crashes servers.
_QUARANTINE_RETRY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Error response of the router itself to a request it doesn't forward."""

    status: int
    cause: str
    retry_after_s: float | None = None


class EdgeRouter:
    """Handler of all callers' requests.

    ``before_request`` is awaited before each request; it refreshes the
    configuration and the server list if this process was frozen.
    """

    def __init__(
        self,
        context: edge_context.EdgeContext,
        before_request: Callable[[], Awaitable[None]],
    ):
        self.context = context
        self.before_request = before_request
        self.active_requests = 0
        self.refuse_new = False
        # How many requests were ended because this router ended.
        self.cut_requests = 0
        # The time limits of the requests in flight.
        self.timers: set[asyncio.Timeout] = set()

    async def serve(
        self,
        request: proxying.CallerRequest,
        caller: edge_ports.CallerStream,
    ) -> None:
        """Serve one request."""
        if not self.refuse_new:
            await self.before_request()
        metadata = self.context.codec.parse_request(request.headers)
        decision = self._admit(request, metadata)
        match decision:
            case Refusal():
                self._refuse(decision, metadata, request, caller)
            case edge_requests.RoutedRequest():
                await self._track(decision, caller)

    def shut_down(self, limits: edge_shutdown.WorkLimits) -> None:
        """End all requests in time, as this router was told to stop."""
        self.context.work_limits = limits
        for timer in self.timers:
            timer.reschedule(self._find_end())

    def _find_end(self) -> float | None:
        """Return when requests have to end, on the event loop's clock."""
        limits = self.context.work_limits
        if limits is None:
            return None
        time_left_s = limits.ends_at - self.context.clock()
        return asyncio.get_running_loop().time() + time_left_s

    async def _track(
        self,
        routed_request: edge_requests.RoutedRequest,
        caller: edge_ports.CallerStream,
    ) -> None:
        """Count a request as in flight while it runs."""
        self.active_requests += 1
        edge_admission.record_start(self.context, routed_request)
        started_at = self.context.clock()
        try:
            await self._run(routed_request, caller)
            edge_admission.record_service_time(
                self.context,
                routed_request,
                self.context.clock() - started_at,
            )
        finally:
            self.active_requests -= 1
            edge_admission.record_end(self.context, routed_request)

    async def _run(
        self,
        routed_request: edge_requests.RoutedRequest,
        caller: edge_ports.CallerStream,
    ) -> None:
        """Forward a request; abort the connection after an internal error."""
        call = edge_call.EdgeCall(self.context, routed_request, caller)
        timer = asyncio.timeout_at(self._find_end())
        self.timers.add(timer)
        try:
            async with timer:
                await call.run()
        except asyncio.CancelledError:
            call.record_cancelled()
            raise
        except Exception as error:
            if timer.expired():
                self.cut_requests += 1
                call.end_at_shutdown()
                return
            self.context.metrics.increment('internal_errors')
            self.context.events.write(
                'internal-error',
                id=routed_request.metadata.attempt_id,
                error=repr(error),
                at=supervisor.find_raise_location(error),
            )
            # No error response, as a server may have run the request.
            caller.abort()
        finally:
            self.timers.discard(timer)

    def _admit(
        self,
        request: proxying.CallerRequest,
        metadata: proxying.RequestMetadata,
    ) -> edge_requests.RoutedRequest | Refusal:
        """Route, authenticate and admit a request, or refuse it."""
        table = self.context.config.route_table
        if table is None:
            return Refusal(503, 'no-configuration', _BUSY_RETRY_S)
        if self.refuse_new:
            return Refusal(503, 'stopping', 0.0)
        if metadata.validation_error:
            return Refusal(400, metadata.validation_error)
        route = table.find(metadata.host, request.path)
        if route is None or not route.splits:
            return self._deny_if_current(404, 'no-route')
        key_owner = self._authenticate(table, route, metadata)
        if isinstance(key_owner, Refusal):
            return key_owner
        routed_request = self._make_routed_request(
            request, metadata, route, key_owner
        )
        if not edge_admission.may_run(self.context, routed_request):
            return Refusal(503, 'stopping', 0.0)
        if not self.context.crashes.admits(routed_request.suspects):
            return Refusal(503, 'quarantined', _QUARANTINE_RETRY_S)
        if self.context.servers.is_pool_evacuated(routed_request.pool):
            retry_after_s = edge_admission_policy.pool_retry_after_s(
                routed_request.deadline - self.context.clock(),
                self.context.generator.random(),
            )
            return Refusal(503, 'evacuated', retry_after_s)
        match edge_admission.admit(self.context, routed_request):
            case edge_admission_policy.Rejected(cause, _, retry_after_s):
                return Refusal(503, cause, retry_after_s)
        return routed_request

    def _authenticate(
        self,
        table: route_table.RouteTable,
        route: routing.Route,
        metadata: proxying.RequestMetadata,
    ) -> routing.Organisation | None | Refusal:
        """Return the organisation of the API key; None if none is needed."""
        organisations_by_key = table.configuration.organisations
        if organisations_by_key is None:
            return None
        key_owner = (
            organisations_by_key.get(metadata.api_key)
            if metadata.api_key
            else None
        )
        if key_owner is None and not route.anonymous:
            return self._deny_if_current(401, 'unknown-key')
        return key_owner

    def _deny_if_current(self, status: int, cause: str) -> Refusal:
        """Refuse with ``status``, or 503 if the configuration may be stale."""
        # A stale configuration may lack a new route or key.
        if self.context.store_age_s() > self.context.settings.bounds.contact_s:
            return Refusal(503, f'{cause}-by-stale-list', _BUSY_RETRY_S)
        return Refusal(status, cause)

    def _make_routed_request(
        self,
        request: proxying.CallerRequest,
        metadata: proxying.RequestMetadata,
        route: routing.Route,
        key_owner: routing.Organisation | None,
    ) -> edge_requests.RoutedRequest:
        """Bind a request to its pool, priority and deadline."""
        caller_limit_s = metadata.time_left_s
        limit_s = min(
            route.timeout_s,
            _NO_DEADLINE_S if caller_limit_s is None else caller_limit_s,
        )
        priority = route.priority
        if key_owner is not None and key_owner.priority is not None:
            priority = key_owner.priority
        organisation = key_owner.name if key_owner is not None else ''
        return edge_requests.RoutedRequest(
            caller_request=request,
            metadata=metadata,
            route=route,
            pool=_pick_pool(route, metadata),
            organisation=key_owner.name if key_owner is not None else None,
            priority=priority,
            deadline=request.received_at + limit_s,
            version=self.context.config.version,
            suspects=crash_tracker.list_suspects(
                [
                    rendezvous.hash_request(
                        caller, request.target, request.body
                    )
                    # An organisation may be renamed, and its keys change.
                    for caller in (organisation, metadata.api_key)
                ],
                organisation,
                metadata,
            ),
        )

    def _refuse(
        self,
        refusal: Refusal,
        metadata: proxying.RequestMetadata,
        request: proxying.CallerRequest,
        caller: edge_ports.CallerStream,
    ) -> None:
        """Log a refusal and send it to the caller."""
        self.context.metrics.increment('refused', refusal.cause)
        self.context.events.write(
            'refused',
            id=metadata.attempt_id or '-',
            status=refusal.status,
            cause=refusal.cause,
            path=request.path[:80],
            config=self.context.config.version,
            config_age=self.context.store_age_s(),
            age=self.context.clock() - request.received_at,
        )
        headers = []
        if refusal.retry_after_s is not None:
            headers = [(b'retry-after', b'%.2f' % refusal.retry_after_s)]
        body = edge_requests.error_body(refusal.cause)
        caller.send_response(refusal.status, headers, body)


def _pick_pool(
    route: routing.Route, metadata: proxying.RequestMetadata
) -> str:
    """Pick a pool by weight; the same prompt always gets the same pool."""
    splits = route.splits
    if len(splits) == 1:
        return splits[0].pool
    key = metadata.prompt[-2].id if len(metadata.prompt) > 1 else ''
    fraction = rendezvous.hash_to_fraction(key or metadata.attempt_id)
    total = sum(split.weight for split in splits)
    cumulative = 0.0
    for split in splits:
        cumulative += split.weight / total
        if fraction < cumulative:
            return split.pool
    return splits[-1].pool
