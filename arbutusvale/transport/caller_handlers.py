"""Serve the parts of the callers' API that reach no sidecar."""

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
    """Answer errors in the one shape that every error has."""

    def initialize(self, dispatcher: dispatch.Dispatcher) -> None:
        """Take the dispatcher of this router."""
        self.dispatcher = dispatcher
        self.request_id = uuid.uuid4().hex

    def set_default_headers(self) -> None:
        """Say nothing of the server's software."""
        self.clear_header('Server')

    def compute_etag(self) -> str | None:
        """Leave entity tags to the backend servers."""
        return None

    def api_key(self) -> str:
        """Return the bearer key; empty when there is none."""
        scheme, _, key = self.request.headers.get(
            'Authorization', ''
        ).partition(' ')
        return key.strip() if scheme.lower() == 'bearer' else ''

    def write_error_answer(self, error: caller_api.ErrorResponse) -> None:
        """Put an error answer in place of what was written so far."""
        self.clear()
        self.set_status(error.status)
        self.set_header(caller_api.OUTCOME, error.outcome)
        self.set_header(caller_api.REQUEST_ID, self.request_id)
        if error.retry_after > 0:
            wait = str(math.ceil(error.retry_after))
            self.set_header(caller_api.RETRY_AFTER, wait)
        self.close_when_draining()
        self.write(error.body(self.request_id))

    def close_when_draining(self) -> None:
        """Send the caller to another router for its next request."""
        if self.dispatcher.draining:
            self.set_header('Connection', 'close')

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer what tornado itself rejects and what went wrong here."""
        ours = status_code >= 500
        self.write_error_answer(
            caller_api.ErrorResponse(
                status_code,
                'internal' if ours else 'rejected',
                f'{http.HTTPStatus(status_code).phrase}. '
                'Check the method and path of the request.',
                _UNKNOWN if ours else _NOT_RUN,
            )
        )


class UnknownPathHandler(BaseHandler):
    """Answer requests for paths that the API does not have."""

    def prepare(self) -> None:
        """Name the paths that there are."""
        self.write_error_answer(
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
    """List the models that the caller's organisation may use."""

    def get(self) -> None:
        """Answer ``GET /v1/models``."""
        head = self.dispatcher.get_head()
        if head is None:
            self.write_error_answer(calls.not_ready_error())
            return
        found = caller_request.authenticate(self.api_key(), head.bundle)
        if isinstance(found, caller_api.ErrorResponse):
            self.write_error_answer(found)
            return
        models = [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'arbutusvale',
            }
            for name in caller_request.list_models(found, head.bundle)
        ]
        self.set_header(caller_api.REQUEST_ID, self.request_id)
        self.set_header(caller_api.OUTCOME, messages.Outcome.ANSWERED.value)
        self.write({'object': 'list', 'data': models})
