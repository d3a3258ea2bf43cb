"""Property tests of every decoder of untrusted input.

Each decoder must return a value or raise its documented error; any other
exception is a bug. The examples are the same in every run.
"""

import asyncio
import json

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from arbutusvale import errors
from arbutusvale import settings
from arbutusvale import yaml_documents
from arbutusvale.coordination import caller_request
from arbutusvale.protocol import bundle
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import claim_record
from arbutusvale.protocol import codec
from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain
from tests import deployment

fixed = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.binary(max_size=20)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=8)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=20,
)
MESSAGES = strategies.lists(
    strategies.builds(
        lambda tag, fields: [tag, *fields],
        strategies.integers(-1, 40),
        strategies.lists(VALUES, max_size=8),
    ),
    max_size=4,
)
ENCODED = VALUES.map(cbor2.dumps) | strategies.binary(max_size=200)


@fixed
@hypothesis.given(MESSAGES.map(cbor2.dumps) | ENCODED)
def test_any_frame_is_decoded_or_refused(frame):
    try:
        codec.decode_frame(frame)
    except errors.FrameError:
        return


@fixed
@hypothesis.given(ENCODED)
def test_any_claim_record_is_decoded_or_refused(data):
    try:
        claim_record.decode(data)
    except errors.FrameError:
        return


@fixed
@hypothesis.given(ENCODED)
def test_any_config_record_is_judged(data):
    chain = bundle_chain.BundleChain({})
    chain.apply(0, data)
    assert chain.head is None


@fixed
@hypothesis.given(ENCODED)
def test_any_signed_bundle_is_decoded_or_refused(data):
    try:
        signing.decode(data)
    except signing.BundleRecordError:
        return


@fixed
@hypothesis.given(strategies.text(max_size=200))
@pytest.mark.parametrize('kind', [bundle.Bundle, settings.RouterSettings])
def test_any_document_is_read_or_refused(kind, text):
    try:
        yaml_documents.parse(text, kind)
    except errors.DocumentError:
        return


def make_bundle():
    organisation = deployment.make_organisation('key')
    return yaml_documents.parse(
        f"""
version: v1
organisations:
  autosul: {organisation}
services:
  drafts: {{kind: model, pool: p, model: lembrete-1}}
  bookings: {{kind: plain, pool: p}}
pools:
  p: {{policy: {{kind: directory}}}}
operators: {{ana: "{'a' * 64}"}}
""",
        bundle.Bundle,
    )


BUNDLE = make_bundle()
JSON_BODIES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=10),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['model', 'messages', 'stream', 'role', 'content', 'x']
            ),
            inner,
        )
    ),
    max_leaves=12,
)


@fixed
@hypothesis.given(
    JSON_BODIES.map(lambda body: json.dumps(body).encode())
    | strategies.binary(max_size=50),
    strategies.sampled_from(
        ['/v1/chat/completions', '/services/bookings/x', '/services/%zz/']
    ),
    strategies.sampled_from(['GET', 'POST', 'PUT', '']),
    strategies.text(max_size=10),
    strategies.text(max_size=10),
)
def test_any_request_is_classified_or_refused(
    body, path, method, header, timeout
):
    async def classify():
        request = caller_request.CallerRequest(
            'r', 'key', method, path, [], body, header, header, header, timeout
        )
        return caller_request.resolve(request, BUNDLE)

    found = asyncio.run(classify())
    assert isinstance(
        found, caller_request.ResolvedRequest | caller_api.ErrorResponse
    )
