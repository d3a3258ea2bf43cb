import pytest

from arbutusvale import errors
from arbutusvale.protocol import codec
from arbutusvale.protocol import messages


def test_encoded_frame_decodes_to_the_same_messages():
    load = messages.Load('engine-1', 7, 3, 2, 'live')
    batch = [
        messages.Chunk('a', 0, b'data'),
        messages.PoolUpdate(1, True, [load], [b'digest']),
        messages.Accepted('a', 1, 2.0),
    ]
    assert codec.decode_frame(codec.encode_frame(batch)) == batch


@pytest.mark.parametrize(
    'frame',
    [
        b'',
        b'\xff',
        b'\x01',
        codec.cbor2.dumps([[999]]),
        codec.cbor2.dumps([[14, 1, 2, 3]]),
        codec.cbor2.dumps([[18, 1, True, [['x']], []]]),
    ],
)
def test_malformed_frame_raises_frame_error(frame):
    with pytest.raises(errors.FrameError):
        codec.decode_frame(frame)
