"""Encoding of the response to one request of a caller.

A caller takes whatever follows a head for its body, so a response has one
head, then the body that the head announces, and nothing after its end.
"""

import enum

from arbutusvale import errors

_REASONS = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}
_BODILESS_STATUSES = (204, 304)

Headers = list[tuple[bytes, bytes]]


class ResponsePart(enum.Enum):
    """What may follow next in a response."""

    HEAD = 'head'
    BODY = 'body'
    NOTHING = 'nothing'


class ResponseEncoder:
    """Encoder of one response; its methods return the bytes to send.

    They raise ``ResponseOrderError`` if the response can't go on that way.
    """

    def __init__(self, is_head_request: bool, is_http_1_0: bool):
        self.is_head_request = is_head_request
        self.is_http_1_0 = is_http_1_0
        self.next_part = ResponsePart.HEAD
        self.chunked = False
        self.bodiless = False

    @property
    def started(self) -> bool:
        """Whether the head has been encoded."""
        return self.next_part is not ResponsePart.HEAD

    @property
    def finished(self) -> bool:
        """Whether the response is complete."""
        return self.next_part is ResponsePart.NOTHING

    def encode_whole(
        self, status: int, headers: Headers, body: bytes, closes: bool
    ) -> bytes:
        """Return a complete response; ``closes`` ends the connection."""
        lines = self._begin(status, headers, closes)
        self.next_part = ResponsePart.NOTHING
        # The length of what isn't sent is known to the server alone.
        if status not in _BODILESS_STATUSES and (
            body or not self.is_head_request
        ):
            lines.append(b'Content-Length: %d\r\n' % len(body))
        lines.append(b'\r\n')
        if not self.bodiless:
            lines.append(body)
        return b''.join(lines)

    def encode_head(
        self, status: int, headers: Headers, closes: bool
    ) -> bytes:
        """Return the head of a response of unknown length.

        In HTTP/1.0 the end of the connection has to end it.
        """
        lines = self._begin(status, headers, closes or self.is_http_1_0)
        self.next_part = ResponsePart.BODY
        self.chunked = not self.is_http_1_0 and not self.bodiless
        if self.chunked:
            lines.append(b'Transfer-Encoding: chunked\r\n')
        lines.append(b'\r\n')
        return b''.join(lines)

    def encode_body(self, data: bytes) -> bytes:
        """Return a piece of the body, as a chunk if it has chunks."""
        self._require(ResponsePart.BODY)
        if self.bodiless or not data:
            return b''
        if self.chunked:
            return b'%x\r\n%b\r\n' % (len(data), data)
        return data

    def encode_end(self) -> bytes:
        """Return what marks the body as complete."""
        self._require(ResponsePart.BODY)
        self.next_part = ResponsePart.NOTHING
        return b'0\r\n\r\n' if self.chunked else b''

    def _begin(
        self, status: int, headers: Headers, closes: bool
    ) -> list[bytes]:
        """Return the lines of the head, without its framing."""
        self._require(ResponsePart.HEAD)
        self.bodiless = self.is_head_request or status in _BODILESS_STATUSES
        lines = [
            b'HTTP/1.1 %d %b\r\n' % (status, _REASONS.get(status, b'Status'))
        ]
        lines.extend(b'%b: %b\r\n' % header for header in headers)
        if closes:
            lines.append(b'Connection: close\r\n')
        return lines

    def _require(self, part: ResponsePart) -> None:
        """Check that a part of the response may follow."""
        if self.next_part is not part:
            raise errors.ResponseOrderError(part.value, self.next_part.value)
