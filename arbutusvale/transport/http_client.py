"""Make the HTTP client of a process."""

from tornado import httpclient
from tornado import simple_httpclient

MAX_CLIENTS = 4096
MAX_BODY_BYTES = 256 * 1024 * 1024


def make_client() -> httpclient.AsyncHTTPClient:
    """Make a client of its own that allows many requests at once."""
    return simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CLIENTS,
        max_buffer_size=MAX_BODY_BYTES,
        max_body_size=MAX_BODY_BYTES,
    )
