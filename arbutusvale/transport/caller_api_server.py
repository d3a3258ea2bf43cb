"""HTTP server of the callers' API."""

import asyncio
import contextlib
import json

from absl import logging
from tornado import iostream
from tornado import netutil
from tornado import web

from arbutusvale import settings
from arbutusvale.coordination import answer_events
from arbutusvale.coordination import caller_request
from arbutusvale.coordination import calls
from arbutusvale.coordination import dispatch
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import messages
from arbutusvale.state import byte_budget
from arbutusvale.transport import bounded_http_server
from arbutusvale.transport import caller_handlers

# A body over its limit is still read up to here and discarded, so that the
# caller gets the error response.
_MAX_READ_BYTES = 64 * 1024 * 1024
_DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
_FLUSH_THRESHOLD_BYTES = 64 * 1024
_EVENT_STREAM = 'text/event-stream'
_NOT_RUN = messages.Outcome.NOT_RUN.value
_UNKNOWN = messages.Outcome.UNKNOWN.value
# The last responses leave the router within this time before it exits.
_LAST_RESPONSES_S = 0.2
# Requests that a connection has read behind the last response begin within
# this many turns of the event loop, each at least this long.
_PIPELINE_TURNS = 10
_PIPELINE_TURN_S = 0.005
_ANSWER_TOO_LARGE = caller_api.ErrorResponse(
    502,
    'answer_too_large',
    'The router has no memory for the whole answer. Use HTTP/1.1.',
    _UNKNOWN,
)
# Headers of the connection to the backend server, or set by tornado.
_CONNECTION_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'transfer-encoding',
        'upgrade',
    }
)


@web.stream_request_body
class _CallHandler(caller_handlers.BaseHandler):
    """Proxy one request to a backend server and stream its response.

    ``running`` holds the handlers whose requests are in flight.
    """

    def initialize(
        self,
        dispatcher: dispatch.Dispatcher,
        table: bounded_http_server.ConnectionTable,
        running: set['_CallHandler'],
    ) -> None:
        """Set this router's dispatcher, and generate the request id."""
        super().initialize(dispatcher, table)
        self.running = running

    def prepare(self) -> None:
        """Set the limits of the body before it is received."""
        head = self.dispatcher.get_head()
        self.body_limit = _DEFAULT_MAX_BODY_BYTES
        if head is not None:
            self.body_limit = head.bundle.limits.max_body_bytes
        self.body = bytearray()
        self.call: calls.Call | None = None
        self.task: asyncio.Task | None = None
        self.caller_disconnected = False
        self.unflushed_bytes = 0
        # Of a response that is buffered until it is complete.
        self.answer_bytes = 0
        super().prepare()
        if self.refused:
            return
        max_read_bytes = max(_MAX_READ_BYTES, 2 * self.body_limit)
        self.request.connection.set_max_body_size(max_read_bytes)
        length = self.request.headers.get('Content-Length', '0')
        if length.isdigit() and int(length) > max_read_bytes:
            self.set_header('Connection', 'close')
            self.write_error_response(self._body_too_large_error())
            self.finish()

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to one byte over the limit.

        The extra byte lets the dispatcher detect a body that is too large.
        """
        piece = chunk[: self.body_limit + 1 - len(self.body)]
        if not piece:
            return
        self.hold(len(piece))
        if not self.refused:
            self.body += piece

    def refuse(self) -> None:
        """Refuse an incomplete request and drop its body."""
        self.body = bytearray()
        super().refuse()

    async def relay(self, *_path) -> None:
        """Handle a request of any method."""
        # It may be refused between its last byte and this call.
        if self.refused:
            return
        held_bytes = self.table.serve(self.stream)
        self.call = self.dispatcher.start_call(self._make_request())
        self.task = asyncio.current_task()
        events = self.dispatcher.events(self.call)
        self.running.add(self)
        try:
            async with contextlib.aclosing(events):
                async for event in events:
                    await self._forward(event)
        except asyncio.CancelledError:
            logging.info('event=caller-left request=%s', self.request_id)
        finally:
            self.running.discard(self)
            self.table.budget.change(-held_bytes - self.answer_bytes)

    get = head = post = put = patch = delete = options = relay

    async def end_at_shutdown(self) -> None:
        """Tell the caller that the outcome is unknown, and stop the relay."""
        self.running.discard(self)
        # Nothing of the answer may follow.
        self.caller_disconnected = True
        self.task.cancel()
        await self._abort_response(
            caller_api.ErrorResponse(
                502,
                'router_stopped',
                'The router stops. Send the request again with its key.',
                _UNKNOWN,
            )
        )

    def on_connection_close(self) -> None:
        """Cancel the request if it may be cancelled."""
        self.caller_disconnected = True
        super().on_connection_close()
        self.body = bytearray()
        if self.call is None or self.task is None:
            return
        if self.call.cancellable:
            self.task.cancel()

    def _make_request(self) -> caller_request.CallerRequest:
        """Convert the HTTP request for the dispatcher."""
        headers = self.request.headers
        body = bytes(self.body)
        self.body = bytearray()
        return caller_request.CallerRequest(
            request_id=self.request_id,
            api_key=self.api_key(),
            method=self.request.method,
            path=self.request.uri,
            headers=[list(pair) for pair in headers.get_all()],
            body=body,
            chat_id=headers.get(caller_api.CHAT_ID, ''),
            key=headers.get(caller_api.IDEMPOTENCY_KEY, ''),
            idempotent=headers.get(caller_api.IDEMPOTENT, ''),
            timeout=headers.get(caller_api.REQUEST_TIMEOUT, ''),
        )

    async def _forward(self, event: answer_events.Event) -> None:
        """Write one event unless the caller has disconnected."""
        if self.caller_disconnected:
            return
        try:
            await self._write_event(event)
        except (iostream.StreamClosedError, web.Finish):
            self.caller_disconnected = True
            if self.call.cancellable:
                raise asyncio.CancelledError from None

    async def _write_event(self, event: answer_events.Event) -> None:
        """Write one event; wait while the caller reads slowly."""
        match event:
            case answer_events.Head():
                self._write_head(event)
            case answer_events.Data(data=data):
                if not self._hold_answer(len(data)):
                    await self._abort_response(_ANSWER_TOO_LARGE)
                    raise web.Finish
                self.write(data)
                self.unflushed_bytes += len(data)
                if self._should_flush():
                    self.unflushed_bytes = 0
                    await self.flush()
            case answer_events.End():
                await self.finish()
            case answer_events.Aborted(error=error):
                await self._abort_response(error)
            case caller_api.ErrorResponse():
                self.write_error_response(event)
                await self.finish()

    def _write_head(self, head: answer_events.Head) -> None:
        """Write status and headers, except ``_CONNECTION_HEADERS``."""
        self.set_status(head.status)
        self.clear_header('Content-Type')
        for name, value in head.headers:
            if name.lower() not in _CONNECTION_HEADERS:
                self.add_header(name, value)
        self.close_when_draining()

    def _hold_answer(self, size: int) -> bool:
        """Count bytes that are buffered until the response is complete.

        Return whether there is room for them.
        """
        if self.request.version != 'HTTP/1.0':
            return True
        if not self.table.budget.has_room(size):
            return False
        self.answer_bytes += size
        self.table.budget.change(size)
        return True

    def _should_flush(self) -> bool:
        """Return whether to send the buffered body now.

        An HTTP/1.0 response without a length ends with the connection, so
        its caller can't detect a truncated body.  Such responses are
        buffered until they are complete.
        """
        if self.request.version == 'HTTP/1.0':
            return False
        return (
            self._is_event_stream()
            or self.unflushed_bytes > _FLUSH_THRESHOLD_BYTES
        )

    def _is_event_stream(self) -> bool:
        """Return whether the response is an event stream."""
        kind = self._headers.get('Content-Type', '')
        return kind.startswith(_EVENT_STREAM)

    async def _abort_response(self, error: caller_api.ErrorResponse) -> None:
        """End a response so that it can't be taken as complete."""
        if not self._headers_written:
            self.write_error_response(error)
            await self.finish()
            return
        if self._is_event_stream():
            body = json.dumps(error.body(self.request_id))
            self.write(f'event: error\ndata: {body}\n\n')
            await self.flush()
        self.caller_disconnected = True
        self.request.connection.stream.close()

    def _body_too_large_error(self) -> caller_api.ErrorResponse:
        """Return the error for a body that is too large to read."""
        return caller_api.ErrorResponse(
            413,
            'body_too_large',
            f'The body is too large. Send at most {self.body_limit} bytes.',
            _NOT_RUN,
        )


class CallerServer:
    """HTTP server of the callers' API, listening on one address.

    What it holds for callers is counted in ``budget``; it has at most
    ``max_connections``.
    """

    def __init__(
        self,
        *,
        listen: str,
        dispatcher: dispatch.Dispatcher,
        budget: byte_budget.ByteBudget,
        max_connections: int,
    ):
        self.address = settings.split_address(listen)
        self.port = self.address.port
        self.dispatcher = dispatcher
        self.running: set[_CallHandler] = set()
        table = bounded_http_server.ConnectionTable(budget, max_connections)
        options = {'dispatcher': dispatcher, 'table': table}
        call_options = options | {'running': self.running}
        application = web.Application(
            [
                (caller_api.CHAT_PATH, _CallHandler, call_options),
                (
                    caller_api.MODELS_PATH,
                    caller_handlers.ModelsHandler,
                    options,
                ),
                (
                    f'{caller_api.SERVICES_PREFIX}([^/]+)(/.*)?',
                    _CallHandler,
                    call_options,
                ),
            ],
            default_handler_class=caller_handlers.UnknownPathHandler,
            default_handler_args=options,
            log_function=_disable_access_log,
        )
        self.server = bounded_http_server.BoundedHttpServer(
            application, table=table, max_body_size=_MAX_READ_BYTES
        )

    def start(self) -> None:
        """Start listening."""
        sockets = netutil.bind_sockets(self.address.port, self.address.host)
        self.port = sockets[0].getsockname()[1]
        self.server.add_sockets(sockets)

    async def drain(self, grace_s: float) -> int:
        """Stop listening and wait for the requests in flight.

        Requests that callers have sent behind these are answered as well.
        Returns how many were still running at the end of ``grace_s`` seconds;
        their callers are told so, and their connections are closed.
        """
        self.server.stop()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_s - _LAST_RESPONSES_S
        cut = await self.dispatcher.drain(max(0, deadline - loop.time()))
        while not cut and await self._begins_request():
            cut = await self.dispatcher.drain(max(0, deadline - loop.time()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LAST_RESPONSES_S):
                await asyncio.gather(
                    *(
                        handler.end_at_shutdown()
                        for handler in list(self.running)
                    ),
                    return_exceptions=True,
                )
        await self.server.close_all_connections()
        return cut

    async def _begins_request(self) -> bool:
        """Return whether a request begins behind the last response."""
        for _ in range(_PIPELINE_TURNS):
            await asyncio.sleep(_PIPELINE_TURN_S)
            if self.running:
                return True
        return False


def _disable_access_log(_handler: web.RequestHandler) -> None:
    """Log no requests; the log is for routing decisions."""
