"""What requests cost while they arrive, and what they may send."""

import pytest

from arbutusvale.protocol import routing
from arbutusvale.transport import request_parser

CHUNKED = b'POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
MAX_HEADER_BYTES = 4096


def make_parser(limit_bytes=1 << 20):
    return request_parser.RequestParser(
        lambda: routing.CallerLimits(max_header_bytes=MAX_HEADER_BYTES),
        lambda size: size <= limit_bytes,
        lambda: None,
        lambda: 0.0,
    )


def feed(parser, data):
    """Feed data as a connection does; return how much was left."""
    while data and not parser.error_status:
        size = parser.step_bytes
        parser.feed(data[:size])
        data = data[size:]
    return len(data)


@pytest.mark.parametrize(
    'endless', [b'0\r\na:', b'0\r\n' + b'a:b\r\n' * 2000, b'1;a=', b'0']
)
def test_endless_part_beside_a_body_is_refused(endless):
    parser = make_parser()
    assert feed(parser, CHUNKED + endless + b'0' * 100_000) > 80_000
    assert parser.error_status in (400, 431)


def test_body_in_tiny_chunks_costs_little_more_than_its_bytes():
    parser = make_parser()
    feed(parser, CHUNKED + b'1\r\nx\r\n' * 50_000)
    assert parser.body_size == 50_000
    assert parser.cost_bytes < 60_000
    parser.feed(b'0\r\n\r\n')
    assert parser.queue[0].request.body == b'x' * 50_000


def test_head_of_tiny_lines_costs_its_objects():
    parser = make_parser(100_000)
    feed(parser, CHUNKED[:-2] + b'a:b\r\n' * 700)
    assert parser.error_status == 503


def test_step_holds_few_pipelined_requests():
    parser = make_parser()
    parser.feed((b'GET / HTTP/1.1\r\n\r\n' * 9000)[: parser.step_bytes])
    assert 1 < len(parser.queue) < 200


# It was counted with a space in each line that it hasn't.
def test_head_without_optional_spaces_counts_as_it_was_sent():
    parser = make_parser()
    head = CHUNKED[:-2]
    lines = (MAX_HEADER_BYTES - len(head) - 2) // len(b'a:b\r\n')
    feed(parser, head + b'a:b\r\n' * lines + b'\r\n')
    assert not parser.error_status
    assert parser.head_complete
