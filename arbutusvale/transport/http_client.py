"""The HTTP client of a process."""

from tornado import httpclient
from tornado import simple_httpclient

MAX_CONCURRENT_REQUESTS = 4096
MAX_BODY_BYTES = 256 * 1024 * 1024


def make_client() -> httpclient.AsyncHTTPClient:
    """Create a new client that allows many concurrent requests."""
    return simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CONCURRENT_REQUESTS,
        max_buffer_size=MAX_BODY_BYTES,
        max_body_size=MAX_BODY_BYTES,
    )
