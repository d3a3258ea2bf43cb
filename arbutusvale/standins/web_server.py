"""Base HTTP server of the simulated processes, with fault settings."""

import asyncio
import dataclasses
import json

from tornado import httpserver
from tornado import netutil
from tornado import web

from arbutusvale import settings

POLL_INTERVAL_S = 0.05


class _ConnectionTrackingServer(httpserver.HTTPServer):
    """An HTTP server that tracks its open connections.

    So all of them can be closed at once.
    """

    def initialize(self, *args, **kwargs):
        """Initialise tornado's server, without connections."""
        super().initialize(*args, **kwargs)
        self.streams = set()

    def handle_stream(self, stream, address):
        """Track a new connection and serve it."""
        self.streams = {other for other in self.streams if not other.closed()}
        self.streams.add(stream)
        super().handle_stream(stream, address)


class Standin:
    """HTTP server of a simulated process that can be stopped and restarted.

    ``faults`` is an instance of a data class whose fields ``POST /faults``
    sets.  ``port`` is the one bound, and stays the same over restarts.
    """

    def __init__(self, listen: str, faults: object):
        self.listen_address = settings.split_address(listen)
        self.faults = faults
        self.port = self.listen_address.port
        self.server: _ConnectionTrackingServer | None = None

    @property
    def address(self) -> str:
        """Return ``host:port`` as bound."""
        return f'{self.listen_address.host}:{self.port}'

    def routes(self) -> list:
        """Return the application's URL rules; subclasses extend it."""
        return [('/faults', FaultsHandler, {'standin': self})]

    def on_faults_changed(self) -> None:
        """Apply new fault settings; a hook for subclasses."""

    async def start(self) -> None:
        """Bind and serve; a port of 0 binds a free one."""
        sockets = netutil.bind_sockets(self.port, self.listen_address.host)
        self.port = sockets[0].getsockname()[1]
        application = web.Application(
            self.routes(), log_function=_suppress_access_log
        )
        self.server = _ConnectionTrackingServer(application)
        self.server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is None:
            return
        self.server.stop()
        for stream in self.server.streams:
            stream.close()
        self.server = None


def _suppress_access_log(_handler: web.RequestHandler) -> None:
    """Log no requests, in place of tornado's access log."""


class StandinHandler(web.RequestHandler):
    """Base of the request handlers of the simulated processes."""

    def initialize(self, standin: Standin) -> None:
        """Set the server to which the handler belongs."""
        self.standin = standin
        self.client_closed = False

    def on_connection_close(self) -> None:
        """Record that the client closed the connection."""
        self.client_closed = True

    @property
    def is_client_gone(self) -> bool:
        """Return whether the client's connection is closed."""
        return self.client_closed or self.request.connection.stream.closed()

    def send_json(self, document: dict, status: int = 200) -> None:
        """Send a JSON response."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(document))

    def close_connection(self) -> None:
        """Close the connection without a response."""
        self.request.connection.stream.close()

    async def wait_while_frozen(self) -> None:
        """Wait until the fault ``freeze`` is off or the client is gone."""
        while not self.is_client_gone:
            if not self.standin.faults.freeze:
                return
            await asyncio.sleep(POLL_INTERVAL_S)


class FaultsHandler(StandinHandler):
    """Handler that shows and sets the faults."""

    def get(self) -> None:
        """Return all fault settings."""
        self.send_json(dataclasses.asdict(self.standin.faults))

    def post(self) -> None:
        """Set the fields that the JSON body names."""
        changes = json.loads(self.request.body)
        known = {
            field.name for field in dataclasses.fields(self.standin.faults)
        }
        unknown = sorted(set(changes) - known)
        if unknown:
            self.send_json({'unknown': unknown, 'known': sorted(known)}, 400)
            return
        for name, value in changes.items():
            setattr(self.standin.faults, name, value)
        self.standin.on_faults_changed()
        self.send_json(dataclasses.asdict(self.standin.faults))
