"""Serve health, status and metrics on a port for operators."""

from collections.abc import Callable
import dataclasses
import json
import typing

import prometheus_client
from prometheus_client import registry
from tornado import httpserver
from tornado import netutil
from tornado import web

from arbutusvale import settings


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Tell whether the process takes work, and if not, why."""

    ready: bool
    reason: str = ''


class _LiveHandler(web.RequestHandler):
    """Answer while the process runs."""

    def get(self) -> None:
        """Answer ``GET /health/live``."""
        self.write({'live': True})


class _ReadyHandler(web.RequestHandler):
    """Tell a balancer whether to send requests here."""

    def initialize(self, get_readiness: Callable[[], Readiness]) -> None:
        """Take the function that is asked."""
        self.get_readiness = get_readiness

    def get(self) -> None:
        """Answer ``GET /health/ready`` with 200 or 503."""
        readiness = self.get_readiness()
        self.set_status(200 if readiness.ready else 503)
        self.write(dataclasses.asdict(readiness))


class _StatusHandler(web.RequestHandler):
    """Show the state of the process to operators."""

    def initialize(self, get_status: Callable[[], typing.Any]) -> None:
        """Take the function that is asked."""
        self.get_status = get_status

    def get(self) -> None:
        """Answer ``GET /status`` with the status data class as JSON."""
        status = dataclasses.asdict(self.get_status())
        self.set_header('Content-Type', 'application/json')
        self.write(json.dumps(status, default=str))


class _MetricsHandler(web.RequestHandler):
    """Show the metrics as a Prometheus text page."""

    def initialize(self, metrics: registry.CollectorRegistry) -> None:
        """Take the registry of this process."""
        self.metrics = metrics

    def get(self) -> None:
        """Answer ``GET /metrics``."""
        self.set_header('Content-Type', prometheus_client.CONTENT_TYPE_LATEST)
        self.write(prometheus_client.generate_latest(self.metrics))


class AdminServer:
    """Listen for operators, balancers and metric collectors.

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
            log_function=_log_nothing,
        )
        self.server = httpserver.HTTPServer(application)

    def start(self) -> None:
        """Start to listen."""
        sockets = netutil.bind_sockets(self.address.port, self.address.host)
        self.port = sockets[0].getsockname()[1]
        self.server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop to listen and close every connection."""
        self.server.stop()
        await self.server.close_all_connections()


def _log_nothing(_handler: web.RequestHandler) -> None:
    """Leave the log to the lines about decisions."""
