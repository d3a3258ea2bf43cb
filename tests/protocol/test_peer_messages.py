"""Encoding of what routers tell each other of cold and paced servers."""

import pytest

from arbutusvale import errors
from arbutusvale.protocol import limit_message
from arbutusvale.protocol import peer_message


def make_message(**changes):
    return peer_message.PeerMessage('r', '10.0.0.1', {}, {}, (), **changes)


def test_announcements_of_pools_are_decoded():
    message = make_message(
        warmups={'chat': peer_message.PoolAnnouncement(12.5, 0.25)}
    )
    assert peer_message.decode(peer_message.encode(message)) == message
    assert b'warm' not in peer_message.encode(make_message())


@pytest.mark.parametrize('kept', ['-1', 'NaN', '"x"', 'true', 'null'])
def test_malformed_announcement_is_refused(kept):
    data = peer_message.encode(make_message())
    data = data[:-1] + b',"warm":{"chat":[1,%s]}}' % kept.encode()
    with pytest.raises(errors.FrameError):
        peer_message.decode(data)


def test_evidence_of_paces_fits_in_a_datagram():
    paces = tuple(
        limit_message.PaceEvidence(f'i-{n:010d}', 1775664271853, 'pool', 99, 9)
        for n in range(12)
    )
    message = limit_message.LimitMessage('10.0.0.1', {}, (), paces)
    data = limit_message.encode(message)
    assert limit_message.decode(data) == message
    assert len(data) <= peer_message.MAX_BYTES
