"""Property test that readers agree wherever in the log they start."""

import functools

import hypothesis
from hypothesis import strategies

from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain
from tests import helpers_bundle as helpers

RECORDS = 8
KEYS = {'ana': helpers.ANA, 'bia': helpers.BIA}


@functools.cache
def sign(version, parent, operator):
    return helpers.make_record(version, parent, operator, KEYS[operator])


@strategies.composite
def draw_log(draw):
    """Draw a log whose records are copies or children of earlier ones."""
    log = [sign('v0', b'', 'ana')]
    for number in range(1, draw(strategies.integers(1, RECORDS))):
        parent = draw(strategies.sampled_from(log))
        if draw(strategies.booleans()):
            log.append(parent)
            continue
        operator = draw(strategies.sampled_from(sorted(KEYS)))
        log.append(sign(f'v{number}', signing.digest(parent), operator))
    return log


def read(chain, log, start=0):
    for offset, record in enumerate(log[start:], start):
        chain.apply(offset, record)
    return chain


def make_chain():
    return bundle_chain.BundleChain(helpers.OPERATORS)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(draw_log(), strategies.data())
def test_readers_agree_and_never_move_back(log, data):
    whole = make_chain()
    offsets = []
    for offset, record in enumerate(log):
        whole.apply(offset, record)
        offsets.append(whole.head.offset)
    assert offsets == sorted(offsets)
    accepted = [
        o for o in whole.history if isinstance(o, bundle_chain.Accepted)
    ]
    versions = [outcome.version for outcome in accepted]
    assert len(versions) == len(set(versions))

    cut = data.draw(strategies.integers(1, len(log)))
    peer = read(make_chain(), log[:cut])
    helped = make_chain()
    helped.skip_expired(cut)
    helped.adopt(peer.head.offset, peer.head.record)
    assert read(helped, log, cut).head.digest == whole.head.digest

    restated = [*log, whole.head.record]
    start = data.draw(strategies.integers(1, len(restated) - 1))
    alone = make_chain()
    alone.skip_expired(start)
    read(alone, restated, start)
    alone.anchor()
    assert alone.head.digest == whole.head.digest
