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

_NOT_RUN = messages.Outcome.NOT_RUN.value
_UNKNOWN = messages.Outcome.UNKNOWN.value


class BaseHandler(web.RequestHandler):
    """Base of all handlers; renders every error in the same format."""

    def initialize(self, dispatcher: dispatch.Dispatcher) -> None:
        """Set this router's dispatcher and generate the request id."""
        self.dispatcher = dispatcher
        self.request_id = uuid.uuid4().hex

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


class UnknownPathHandler(BaseHandler):
    """Respond to requests for paths that the API doesn't have."""

    def prepare(self) -> None:
        """Respond with 404 and list the paths of the API."""
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


class ModelsHandler(BaseHandler):
    """The models that the caller's organisation may use."""

    def get(self) -> None:
        """Handle ``GET /v1/models``."""
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
