"""Serve the callers' HTTP API."""

import asyncio
import contextlib
import json

from absl import logging
from tornado import httpserver
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
from arbutusvale.transport import caller_handlers

_MAX_DRAINED_BYTES = 64 * 1024 * 1024
_DEFAULT_BODY_BYTES = 4 * 1024 * 1024
_HELD_BYTES = 64 * 1024
_EVENT_STREAM = 'text/event-stream'
_NOT_RUN = messages.Outcome.NOT_RUN.value
_OWN_HEADERS = frozenset(
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
    """Relay one request to the fleet and its answer back."""

    def prepare(self) -> None:
        """Read the body's limit before the body arrives."""
        head = self.dispatcher.get_head()
        self.limit = _DEFAULT_BODY_BYTES
        if head is not None:
            self.limit = head.bundle.limits.max_body_bytes
        self.body = bytearray()
        self.call: calls.Call | None = None
        self.task: asyncio.Task | None = None
        self.caller_left = False
        self.held_bytes = 0
        drained = max(_MAX_DRAINED_BYTES, 2 * self.limit)
        self.request.connection.set_max_body_size(drained)
        length = self.request.headers.get('Content-Length', '0')
        if length.isdigit() and int(length) > drained:
            self.set_header('Connection', 'close')
            self.write_error_answer(self._too_large())
            self.finish()

    def data_received(self, chunk: bytes) -> None:
        """Keep the body up to one byte more than is allowed."""
        room = self.limit + 1 - len(self.body)
        if room > 0:
            self.body += chunk[:room]

    async def relay(self, *_path) -> None:
        """Answer the request, whatever its method."""
        self.call = self.dispatcher.start_call(self._make_request())
        self.task = asyncio.current_task()
        events = self.dispatcher.events(self.call)
        try:
            async with contextlib.aclosing(events):
                async for event in events:
                    await self._pass_on(event)
        except asyncio.CancelledError:
            logging.info('event=caller-left request=%s', self.request_id)

    get = head = post = put = patch = delete = options = relay

    def on_connection_close(self) -> None:
        """Stop the work for a caller that left, if it may be stopped."""
        self.caller_left = True
        if self.call is None or self.task is None:
            return
        if self.call.cancellable:
            self.task.cancel()

    def _make_request(self) -> caller_request.CallerRequest:
        """Collect what the dispatcher needs of the HTTP request."""
        headers = self.request.headers
        return caller_request.CallerRequest(
            request_id=self.request_id,
            api_key=self.api_key(),
            method=self.request.method,
            path=self.request.uri,
            headers=[list(pair) for pair in headers.get_all()],
            body=bytes(self.body),
            chat_id=headers.get(caller_api.CHAT_ID, ''),
            key=headers.get(caller_api.IDEMPOTENCY_KEY, ''),
            idempotent=headers.get(caller_api.IDEMPOTENT, ''),
            timeout=headers.get(caller_api.REQUEST_TIMEOUT, ''),
        )

    async def _pass_on(self, event: answer_events.Event) -> None:
        """Write one event, unless the caller left."""
        if self.caller_left:
            return
        try:
            await self._write_event(event)
        except (iostream.StreamClosedError, web.Finish):
            self.caller_left = True
            if self.call.cancellable:
                raise asyncio.CancelledError from None

    async def _write_event(self, event: answer_events.Event) -> None:
        """Write one event to the caller, waiting until it has room."""
        match event:
            case answer_events.Head():
                self._write_head(event)
            case answer_events.Data(data=data):
                self.write(data)
                self.held_bytes += len(data)
                if self._must_flush():
                    self.held_bytes = 0
                    await self.flush()
            case answer_events.End():
                await self.finish()
            case answer_events.Aborted(error=error):
                await self._break(error)
            case caller_api.ErrorResponse():
                self.write_error_answer(event)
                await self.finish()

    def _write_head(self, head: answer_events.Head) -> None:
        """Write status and headers, without those of one connection."""
        self.set_status(head.status)
        self.clear_header('Content-Type')
        for name, value in head.headers:
            if name.lower() not in _OWN_HEADERS:
                self.add_header(name, value)
        self.close_when_draining()

    def _must_flush(self) -> bool:
        """Tell whether to send what was written.

        HTTP/1.0 cannot tell a whole body from a broken one, so that its
        answers are sent when they are whole.
        """
        if self.request.version == 'HTTP/1.0':
            return False
        return self._is_event_stream() or self.held_bytes > _HELD_BYTES

    def _is_event_stream(self) -> bool:
        """Tell whether the answer is a stream of events."""
        kind = self._headers.get('Content-Type', '')
        return kind.startswith(_EVENT_STREAM)

    async def _break(self, error: caller_api.ErrorResponse) -> None:
        """End an answer so that nobody takes it for a whole one."""
        if not self._headers_written:
            self.write_error_answer(error)
            await self.finish()
            return
        if self._is_event_stream():
            body = json.dumps(error.body(self.request_id))
            self.write(f'event: error\ndata: {body}\n\n')
            await self.flush()
        self.caller_left = True
        self.request.connection.stream.close()

    def _too_large(self) -> caller_api.ErrorResponse:
        """Answer a body that is not even read."""
        return caller_api.ErrorResponse(
            413,
            'body_too_large',
            f'The body is too large. Send at most {self.limit} bytes.',
            _NOT_RUN,
        )


class CallerServer:
    """Listen for callers on one address."""

    def __init__(self, *, listen: str, dispatcher: dispatch.Dispatcher):
        self.address = settings.split_address(listen)
        self.port = self.address.port
        self.dispatcher = dispatcher
        options = {'dispatcher': dispatcher}
        application = web.Application(
            [
                (caller_api.CHAT_PATH, _CallHandler, options),
                (
                    caller_api.MODELS_PATH,
                    caller_handlers.ModelsHandler,
                    options,
                ),
                (
                    f'{caller_api.SERVICES_PREFIX}([^/]+)(/.*)?',
                    _CallHandler,
                    options,
                ),
            ],
            default_handler_class=caller_handlers.UnknownPathHandler,
            default_handler_args=options,
            log_function=_log_nothing,
        )
        self.server = httpserver.HTTPServer(
            application, max_body_size=_MAX_DRAINED_BYTES
        )

    def start(self) -> None:
        """Start to listen."""
        sockets = netutil.bind_sockets(self.address.port, self.address.host)
        self.port = sockets[0].getsockname()[1]
        self.server.add_sockets(sockets)

    async def drain(self, grace_s: float) -> int:
        """Close the listener and let the requests in flight end.

        Returns how many were cut after ``grace_s``.
        """
        self.server.stop()
        cut = await self.dispatcher.drain(grace_s)
        await self.server.close_all_connections()
        return cut


def _log_nothing(_handler: web.RequestHandler) -> None:
    """Leave the log to the lines about decisions."""
