"""Admit callers' requests: route, key, deadline, then the call itself."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from arbutusvale.coordination import edgeadmission
from arbutusvale.coordination import edgecall
from arbutusvale.coordination import edgeoutcomes
from arbutusvale.coordination import edgeparts
from arbutusvale.coordination import edgeroom
from arbutusvale.coordination import supervisor
from arbutusvale.protocol import edge_ports
from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing
from arbutusvale.state import rendezvous
from arbutusvale.state import route_table

# Without a deadline of the caller's, the route's timeout alone holds.
_NO_DEADLINE_S = 3600.0
_BUSY_RETRY_S = 0.5
# A request that crashes servers is better not sent again at all.
_QUARANTINE_RETRY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Hold an own answer to a request that goes to no server."""

    status: int
    cause: str
    retry_after_s: float | None = None


class EdgeRouter:
    """Serve requests of callers.

    ``before_work`` is awaited before each request; it looks for news first
    if this process stood still.
    """

    def __init__(
        self,
        parts: edgeparts.EdgeParts,
        before_work: Callable[[], Awaitable[None]],
    ):
        self.parts = parts
        self.before_work = before_work
        self.active = 0
        self.refuse_new = False

    async def serve(
        self,
        request: proxying.CallerRequest,
        caller: edge_ports.CallerStream,
    ) -> None:
        """Answer one request."""
        await self.before_work()
        traits = self.parts.wire.parse_request(request.headers)
        admitted = self._admit(request, traits)
        match admitted:
            case Refusal():
                self._refuse(admitted, traits, request, caller)
            case edgeoutcomes.Order():
                await self._hold(admitted, caller)

    async def _hold(
        self, order: edgeoutcomes.Order, caller: edge_ports.CallerStream
    ) -> None:
        """Count a request as in flight while it runs."""
        holdings = self.parts.in_flight
        organisation = order.organisation or ''
        self.active += 1
        holdings.record_start(order.pool, organisation)
        began_at = self.parts.clock()
        try:
            await self._run(order, caller)
            took_s = self.parts.clock() - began_at
            self.parts.usual_times.record(order.route.name, took_s)
            self.parts.usual_times.record(order.pool, took_s)
        finally:
            self.active -= 1
            holdings.record_end(order.pool, organisation)
            self.parts.throughput.record_completion(order.pool)

    async def _run(
        self, order: edgeoutcomes.Order, caller: edge_ports.CallerStream
    ) -> None:
        """Run a call; an error of our own ends it without a false claim."""
        call = edgecall.EdgeCall(self.parts, order, caller)
        try:
            await call.run()
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self.parts.measures.increment('internal_errors')
            self.parts.events.write(
                'internal-error',
                id=order.traits.attempt_id,
                error=repr(error),
                at=supervisor.find_line(error),
            )
            caller.abort()

    def _admit(
        self,
        request: proxying.CallerRequest,
        traits: proxying.RequestMetadata,
    ) -> edgeoutcomes.Order | Refusal:
        """Decide whether a request may go to a server."""
        table = self.parts.config.route_table
        if table is None:
            return Refusal(503, 'no-configuration', _BUSY_RETRY_S)
        if self.refuse_new:
            return Refusal(503, 'stopping', 0.0)
        if traits.validation_error:
            return Refusal(400, traits.validation_error)
        route = table.find(traits.host, request.path)
        if route is None or not route.splits:
            return self._doubt(404, 'no-route')
        owner = self._find_owner(table, route, traits)
        if isinstance(owner, Refusal):
            return owner
        order = self._make_order(request, traits, route, owner)
        if self.parts.crashes.is_quarantined(order.fingerprint):
            return Refusal(503, 'quarantined', _QUARANTINE_RETRY_S)
        match edgeroom.find_room(self.parts, order):
            case edgeadmission.TurnedAway(cause, _, retry_after_s):
                return Refusal(503, cause, retry_after_s)
        return order

    def _find_owner(
        self,
        table: route_table.RouteTable,
        route: routing.Route,
        traits: proxying.RequestMetadata,
    ) -> routing.Organisation | None | Refusal:
        """Return the organisation of a key; None where none is asked for."""
        owners = table.configuration.organisations
        if owners is None:
            return None
        owner = owners.get(traits.api_key) if traits.api_key else None
        if owner is None and not route.anonymous:
            return self._doubt(401, 'unknown-key')
        return owner

    def _doubt(self, status: int, cause: str) -> Refusal:
        """Deny only by a configuration that is known to be current."""
        if self.parts.store_age_s() > self.parts.settings.bounds.contact_s:
            return Refusal(503, f'{cause}-by-stale-list', _BUSY_RETRY_S)
        return Refusal(status, cause)

    def _make_order(
        self,
        request: proxying.CallerRequest,
        traits: proxying.RequestMetadata,
        route: routing.Route,
        owner: routing.Organisation | None,
    ) -> edgeoutcomes.Order:
        """Bind a request to its pool and deadline."""
        left_s = traits.time_left_s
        limit_s = min(
            route.timeout_s, _NO_DEADLINE_S if left_s is None else left_s
        )
        priority = route.priority
        if owner is not None and owner.priority is not None:
            priority = owner.priority
        return edgeoutcomes.Order(
            request=request,
            traits=traits,
            route=route,
            pool=_pick_pool(route, traits),
            organisation=owner.name if owner is not None else None,
            priority=priority,
            deadline=request.received_at + limit_s,
            version=self.parts.config.version,
            fingerprint=rendezvous.hash_request(
                owner.name if owner is not None else '',
                request.target,
                request.body,
            ),
        )

    def _refuse(
        self,
        refusal: Refusal,
        traits: proxying.RequestMetadata,
        request: proxying.CallerRequest,
        caller: edge_ports.CallerStream,
    ) -> None:
        """Answer a request that goes to no server."""
        self.parts.measures.increment('refused', refusal.cause)
        self.parts.events.write(
            'refused',
            id=traits.attempt_id or '-',
            status=refusal.status,
            cause=refusal.cause,
            path=request.path[:80],
            config=self.parts.config.version,
            config_age=self.parts.store_age_s(),
            age=self.parts.clock() - request.received_at,
        )
        headers = []
        if refusal.retry_after_s is not None:
            headers = [(b'retry-after', b'%.2f' % refusal.retry_after_s)]
        body = edgeoutcomes.explain(refusal.cause)
        caller.send_response(refusal.status, headers, body)


def _pick_pool(route: routing.Route, traits: proxying.RequestMetadata) -> str:
    """Pick a pool by the weights, the same one for the same prompt."""
    splits = route.splits
    if len(splits) == 1:
        return splits[0].pool
    key = traits.prompt[-2].id if len(traits.prompt) > 1 else ''
    point = rendezvous.hash_to_fraction(key or traits.attempt_id)
    total = sum(split.weight for split in splits)
    passed = 0.0
    for split in splits:
        passed += split.weight / total
        if point < passed:
            return split.pool
    return splits[-1].pool
