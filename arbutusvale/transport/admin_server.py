"""HTTP server for health checks, status and metrics."""

from collections.abc import Callable
import dataclasses
import json
import typing

import prometheus_client
from prometheus_client import registry
from tornado import netutil
from tornado import web

from arbutusvale import settings
from arbutusvale.state import byte_budget
from arbutusvale.transport import bounded_http_server

_MAX_CONNECTIONS = 32
_MAX_BODY_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether the process accepts requests, and if not, the reason."""

    ready: bool
    reason: str = ''


class _LiveHandler(web.RequestHandler):
    """Liveness check: responds as long as the process runs."""

    def get(self) -> None:
        """Handle ``GET /health/live``."""
        self.write({'live': True})


class _ReadyHandler(web.RequestHandler):
    """Readiness check for load balancers."""

    def initialize(self, get_readiness: Callable[[], Readiness]) -> None:
        """Set the source of the readiness."""
        self.get_readiness = get_readiness

    def get(self) -> None:
        """Handle ``GET /health/ready``: 200 if ready, else 503."""
        readiness = self.get_readiness()
        self.set_status(200 if readiness.ready else 503)
        self.write(dataclasses.asdict(readiness))


class _StatusHandler(web.RequestHandler):
    """Status of the process, for operators."""

    def initialize(self, get_status: Callable[[], typing.Any]) -> None:
        """Set the source of the status."""
        self.get_status = get_status

    def get(self) -> None:
        """Handle ``GET /status``: the status data class as JSON."""
        status = dataclasses.asdict(self.get_status())
        self.set_header('Content-Type', 'application/json')
        self.write(json.dumps(status, default=str))


class _MetricsHandler(web.RequestHandler):
    """Metrics in the Prometheus text format."""

    def initialize(self, metrics: registry.CollectorRegistry) -> None:
        """Set the registry whose metrics are served."""
        self.metrics = metrics

    def get(self) -> None:
        """Handle ``GET /metrics``."""
        self.set_header('Content-Type', prometheus_client.CONTENT_TYPE_LATEST)
        self.write(prometheus_client.generate_latest(self.metrics))


class AdminServer:
    """HTTP server for operators, load balancers and Prometheus.

    ``get_status`` returns a data class, ``collectors`` are Prometheus
    collectors.
    """

    def __init__(
        self,
        *,
        listen: str,
        get_readiness: Callable[[], Readiness],
        get_status: Callable[[], typing.Any],
        collectors: list[registry.Collector],
    ):
        self.address = settings.split_address(listen)
        self.port = self.address.port
        metrics = registry.CollectorRegistry()
        for collector in collectors:
            metrics.register(collector)
        application = web.Application(
            [
                ('/health/live', _LiveHandler),
                (
                    '/health/ready',
                    _ReadyHandler,
                    {'get_readiness': get_readiness},
                ),
                ('/status', _StatusHandler, {'get_status': get_status}),
                ('/metrics', _MetricsHandler, {'metrics': metrics}),
            ],
            log_function=_disable_access_log,
        )
        self.server = bounded_http_server.BoundedHttpServer(
            application,
            table=bounded_http_server.ConnectionTable(
                byte_budget.ByteBudget(), _MAX_CONNECTIONS
            ),
            max_body_size=_MAX_BODY_BYTES,
        )

    def start(self) -> None:
        """Start listening."""
        sockets = netutil.bind_sockets(self.address.port, self.address.host)
        self.port = sockets[0].getsockname()[1]
        self.server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self.server.stop()
        await self.server.close_all_connections()


def _disable_access_log(_handler: web.RequestHandler) -> None:
    """Log no requests; the log is for routing decisions."""
