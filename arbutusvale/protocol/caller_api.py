"""Headers, paths and error responses of the HTTP API for callers."""

import dataclasses

CHAT_ID = 'Chat-Id'
IDEMPOTENCY_KEY = 'Idempotency-Key'
IDEMPOTENT = 'Idempotent'
REQUEST_TIMEOUT = 'Request-Timeout'
REQUEST_ID = 'X-Request-Id'
OUTCOME = 'Arbutusvale-Outcome'
SERVED_BY = 'Arbutusvale-Served-By'
CLAIM_WINDOW = 'Arbutusvale-Claim-Window'
RETRY_AFTER = 'Retry-After'
CHAT_PATH = '/v1/chat/completions'
MODELS_PATH = '/v1/models'
SERVICES_PREFIX = '/services/'


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorResponse:
    """An error response to a caller.

    ``retry_after`` is in seconds; 0 sends no Retry-After header.
    """

    status: int
    code: str
    message: str
    outcome: str
    retry_after: float = 0.0

    def body(self, request_id: str) -> dict:
        """Build the JSON body, which has the same shape for all errors."""
        return {
            'error': {
                'code': self.code,
                'message': self.message,
                'type': 'arbutusvale_error',
                'request_id': request_id,
                'outcome': self.outcome,
            }
        }
