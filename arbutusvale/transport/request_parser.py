"""Incremental parser of a caller's requests that knows what they cost.

A request whose end is ambiguous (two lengths, a length with chunked
encoding, folded header lines, bare line feeds) is an error, to prevent request
smuggling.
"""

import collections
from collections.abc import Callable
import dataclasses
import sys

import httptools

from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing

# So much is parsed at once, unless it is the body of one request.
MAX_STEP_BYTES = 2048
# What the objects of a request, and of each header beside its bytes, take.
_REQUEST_COST_BYTES = 600
_HEADER_COST_BYTES = 180
_EMPTY_BODY_BYTES = sys.getsizeof(bytearray())

_SINGLE_HEADERS = frozenset((b'host', b'content-length', b'transfer-encoding'))


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A complete request and how its response has to end.

    ``cost_bytes`` is the memory that it takes.
    """

    request: proxying.CallerRequest
    is_http_1_0: bool
    closes: bool
    cost_bytes: int


class RequestParser:
    """Parser of the requests on one connection.

    Complete requests are in ``queue``.  ``error_status`` is the status of the
    response to an invalid request, 0 while there is none.  ``may_hold`` tells
    whether there is memory for a request that takes so many bytes;
    ``on_expected`` is called for a caller that waits for ``100 Continue``.
    """

    def __init__(
        self,
        limits: Callable[[], routing.CallerLimits],
        may_hold: Callable[[int], bool],
        on_expected: Callable[[], None],
        clock: Callable[[], float],
    ):
        self.limits = limits
        self.may_hold = may_hold
        self.on_expected = on_expected
        self.clock = clock
        self.parser = httptools.HttpRequestParser(self)
        self.queue: collections.deque[QueuedRequest] = collections.deque()
        self.error_status = 0
        # Includes what the parser hasn't reported yet: of the head, or of a
        # body since its last byte, as chunk extensions and trailers.
        self.unreported_bytes = 0
        self._reset()

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request has arrived."""
        return self.received_at is not None

    @property
    def cost_bytes(self) -> int:
        """The memory that the incomplete request takes, in bytes."""
        if self.received_at is None:
            return 0
        return (
            _REQUEST_COST_BYTES
            + self.head_bytes
            + _HEADER_COST_BYTES * len(self.headers)
            + self.unreported_bytes
            + sys.getsizeof(self.body)
        )

    @property
    def step_bytes(self) -> int:
        """How many bytes to feed at once, at most."""
        return max(MAX_STEP_BYTES, self.missing_bytes)

    def feed(self, data: bytes | memoryview) -> None:
        """Parse at most ``step_bytes`` bytes."""
        body_size = self.body_size
        self.unreported_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # A server may ignore an Upgrade header (RFC 9110, 7.8).
            if self.queue and not self.error_status:
                self.queue[-1].closes = True
        except httptools.HttpParserError:
            self.record_error(400)
        if self.queue or self.body_size != body_size:
            self.unreported_bytes = 0
        elif self.unreported_bytes > self.limits().max_header_bytes:
            self.record_error(431)
        if self.is_receiving and not self.may_hold(self.cost_bytes):
            self.record_error(503)

    def record_error(self, status: int) -> None:
        """Record an error status, unless there is one already."""
        self.error_status = self.error_status or status

    def discard(self) -> None:
        """Drop the incomplete request and those in the queue."""
        self.queue.clear()
        self._reset()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start parsing a request."""
        self.received_at = self.clock()

    def on_url(self, data: bytes) -> None:
        """Collect the request target."""
        self.target += data
        self.head_bytes += len(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; ignore trailers."""
        if self.head_complete:
            return
        name = name.lower()
        # With a colon and the end of the line, but without optional spaces.
        self.head_bytes += len(name) + len(value) + 3
        if name in _SINGLE_HEADERS:
            if name in self.single_headers:
                self.error_status = 400
            self.single_headers[name] = value
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the headers and their size."""
        self.head_complete = True
        self.unreported_bytes = 0
        limits = self.limits()
        content_length = self.single_headers.get(b'content-length')
        transfer_encoding = self.single_headers.get(b'transfer-encoding')
        self.has_body = (
            content_length is not None or transfer_encoding is not None
        )
        if self.head_bytes > limits.max_header_bytes:
            self.record_error(431)
        elif (
            transfer_encoding is not None
            and transfer_encoding.strip().lower() != b'chunked'
        ):
            self.record_error(400)
        elif transfer_encoding is not None and content_length is not None:
            self.record_error(400)
        elif (
            content_length is not None and not content_length.strip().isdigit()
        ):
            self.record_error(400)
        elif (
            content_length is not None
            and int(content_length) > limits.max_body_bytes
        ):
            self.record_error(413)
        elif content_length is not None:
            self.missing_bytes = int(content_length)
            if not self.may_hold(self.cost_bytes + self.missing_bytes):
                self.record_error(503)
        if self._expects_continue() and not self.error_status:
            self.on_expected()

    def on_body(self, data: bytes) -> None:
        """Collect the body, within the limits."""
        if self.error_status:
            return
        self.body += data
        self.body_size += len(data)
        self.missing_bytes -= len(data)
        if self.body_size > self.limits().max_body_bytes:
            self.record_error(413)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        if self.error_status:
            return
        cost_bytes = self.cost_bytes
        request = proxying.CallerRequest(
            method=self.parser.get_method(),
            target=self.target,
            headers=self.headers,
            body=bytes(self.body),
            received_at=self.received_at,
            has_body=self.has_body,
        )
        self.queue.append(
            QueuedRequest(
                request,
                is_http_1_0=self.parser.get_http_version() == '1.0',
                closes=not self.parser.should_keep_alive(),
                cost_bytes=cost_bytes,
            )
        )
        self._reset()

    def _reset(self) -> None:
        """Reset the state for the next request."""
        self.target = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.single_headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.body_size = 0
        # What is left of a body of known length, else not above 0.
        self.missing_bytes = 0
        self.head_bytes = 0
        self.head_complete = False
        self.has_body = False
        self.received_at: float | None = None

    def _expects_continue(self) -> bool:
        """Return whether the caller waits for 100 Continue."""
        return self.has_body and any(
            name == b'expect' and value.lower() == b'100-continue'
            for name, value in self.headers
        )
