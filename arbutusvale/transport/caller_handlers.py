"""Handlers of the callers' API that the router answers on its own."""

import http
import math
import uuid

from tornado import web

from arbutusvale.coordination import caller_request
from arbutusvale.coordination import calls
from arbutusvale.coordination import dispatch
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import messages
from arbutusvale.transport import bounded_http_server

_NOT_RUN = messages.Outcome.NOT_RUN.value
_UNKNOWN = messages.Outcome.UNKNOWN.value
_RETRY_AFTER_S = 1.0


class BaseHandler(web.RequestHandler):
    """Base of all handlers; renders every error in the same format."""

    def initialize(
        self,
        dispatcher: dispatch.Dispatcher,
        table: bounded_http_server.ConnectionTable,
    ) -> None:
        """Set this router's dispatcher and generate the request id."""
        self.dispatcher = dispatcher
        self.table = table
        self.stream = self.request.connection.stream
        self.refused = False
        self.request_id = uuid.uuid4().hex

    def prepare(self) -> None:
        """Count the head of the request, and refuse it if that is too much."""
        # No handler uses the parsed arguments, which take more memory than
        # the path.
        self.request.arguments = {}
        self.request.query_arguments = {}
        self.request.body_arguments = {}
        self.table.begin_request(self.stream, self.refuse)
        headers = len(list(self.request.headers.get_all()))
        self.hold(headers * bounded_http_server.ITEM_COST_BYTES)

    def data_received(self, chunk: bytes) -> None:
        """Discard the body, which only proxied requests have."""

    def hold(self, size: int) -> None:
        """Count bytes of the request; refuse it if there is no room."""
        if not self.refused and not self.table.hold(self.stream, size):
            self.refuse()

    def refuse(self) -> None:
        """Refuse an incomplete request, as the memory for them is spent."""
        if self.refused:
            return
        self.refused = True
        self.write_error_response(
            caller_api.ErrorResponse(
                503,
                'memory_spent',
                'The router holds too much for its callers. '
                'Send the request again later.',
                _NOT_RUN,
                _RETRY_AFTER_S,
            )
        )
        self.set_header('Connection', 'close')
        self.finish()
        # The request is in a reference cycle and may stay for a while.
        self.request.headers.clear()

    def on_finish(self) -> None:
        """Release what was held for the request."""
        self.table.end_request(self.stream)

    def set_default_headers(self) -> None:
        """Send no ``Server`` header."""
        self.clear_header('Server')

    def compute_etag(self) -> str | None:
        """Send no entity tag of our own; backend servers may send theirs."""
        return None

    def api_key(self) -> str:
        """Return the bearer token, empty if there is none."""
        scheme, _, key = self.request.headers.get(
            'Authorization', ''
        ).partition(' ')
        return key.strip() if scheme.lower() == 'bearer' else ''

    def write_error_response(self, error: caller_api.ErrorResponse) -> None:
        """Replace the unsent response by an error."""
        self.clear()
        self.set_status(error.status)
        self.set_header(caller_api.OUTCOME, error.outcome)
        self.set_header(caller_api.REQUEST_ID, self.request_id)
        if error.retry_after > 0:
            seconds = str(math.ceil(error.retry_after))
            self.set_header(caller_api.RETRY_AFTER, seconds)
        self.close_when_draining()
        self.write(error.body(self.request_id))

    def close_when_draining(self) -> None:
        """Close the connection after the response if this router drains.

        The caller then connects to another router for its next request.
        """
        if self.dispatcher.draining:
            self.set_header('Connection', 'close')

    def write_error(self, status_code: int, **kwargs) -> None:
        """Render requests that tornado rejects and unhandled exceptions."""
        is_internal = status_code >= 500
        self.write_error_response(
            caller_api.ErrorResponse(
                status_code,
                'internal' if is_internal else 'rejected',
                f'{http.HTTPStatus(status_code).phrase}. '
                'Check the method and path of the request.',
                _UNKNOWN if is_internal else _NOT_RUN,
            )
        )


@web.stream_request_body
class UnknownPathHandler(BaseHandler):
    """Respond to requests for paths that the API doesn't have."""

    def prepare(self) -> None:
        """Respond with 404 and list the paths of the API."""
        super().prepare()
        if self.refused:
            return
        self.write_error_response(
            caller_api.ErrorResponse(
                404,
                'unknown_path',
                f'There is no {self.request.path}. Use '
                f'{caller_api.CHAT_PATH}, {caller_api.MODELS_PATH} or '
                f'{caller_api.SERVICES_PREFIX}NAME/.',
                _NOT_RUN,
            )
        )
        self.finish()


@web.stream_request_body
class ModelsHandler(BaseHandler):
    """The models that the caller's organisation may use."""

    def get(self) -> None:
        """Handle ``GET /v1/models``."""
        if self.refused:
            return
        head = self.dispatcher.get_head()
        if head is None:
            self.write_error_response(calls.not_ready_error())
            return
        organisation = caller_request.authenticate(self.api_key(), head.bundle)
        if isinstance(organisation, caller_api.ErrorResponse):
            self.write_error_response(organisation)
            return
        models = [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'arbutusvale',
            }
            for name in caller_request.list_models(organisation, head.bundle)
        ]
        self.set_header(caller_api.REQUEST_ID, self.request_id)
        self.set_header(caller_api.OUTCOME, messages.Outcome.ANSWERED.value)
        self.write({'object': 'list', 'data': models})
