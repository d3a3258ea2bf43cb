"""Mutual authentication of a new link by the fleet's shared key.

The listener sends a Challenge.  The connecting side replies with a Hello
and a message authentication code (MAC) over both nonces, VM names and
incarnations.  The listener replies with a Welcome and its own MAC.
"""

import asyncio
import dataclasses
import hashlib
import hmac
import secrets

import cbor2
from websockets import exceptions
from websockets.asyncio import connection

from arbutusvale import errors
from arbutusvale.protocol import codec
from arbutusvale.protocol import messages
from arbutusvale.transport import link_counters

HANDSHAKE_TIMEOUT_S = 1.0
MAX_FRAME_BYTES = 4096
_NONCE_BYTES = 16
_POLICY_VIOLATION = 1008


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """This process as its peers see it, with the fleet's shared key."""

    vm: str
    incarnation: int
    role: str
    fleet_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """The authenticated process at the other end of a link."""

    vm: str
    incarnation: int
    role: str


async def accept(
    websocket: connection.Connection,
    identity: Identity,
    counters: link_counters.LinkCounters,
    max_frame_bytes: int,
) -> Peer:
    """Perform the handshake on the listening side.

    The other side may send frames of ``max_frame_bytes`` once it has proved
    the fleet key.  Raises :class:`errors.LinkClosed` when the other side has
    another fleet key or expects another VM.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    challenge = messages.Challenge(identity.vm, identity.incarnation, nonce)
    await _send(websocket, challenge, counters)
    hello = await _receive(websocket, messages.Hello, counters)
    if hello.expected_vm != identity.vm:
        await _reject(websocket, hello.vm, f'this is {identity.vm}')
    if not hmac.compare_digest(
        hello.mac, _compute_mac(identity, b'hello', nonce, hello)
    ):
        await _reject(websocket, hello.vm, 'the fleet key differs')
    websocket.protocol.max_message_size = max_frame_bytes
    welcome = messages.Welcome(
        _compute_mac(identity, b'welcome', nonce, hello)
    )
    await _send(websocket, welcome, counters)
    return Peer(hello.vm, hello.incarnation, hello.role)


async def connect(
    websocket: connection.Connection,
    identity: Identity,
    expected_vm: str,
    counters: link_counters.LinkCounters,
) -> Peer:
    """Perform the handshake on the connecting side.

    Raises :class:`errors.LinkClosed` when another VM answers, as when its
    address was reassigned, or when the fleet key differs.
    """
    challenge = await _receive(websocket, messages.Challenge, counters)
    if challenge.vm != expected_vm:
        await _reject(websocket, expected_vm, f'{challenge.vm} answered')
    listener = Identity(
        challenge.vm, challenge.incarnation, '', identity.fleet_key
    )
    unsigned = messages.Hello(
        identity.vm,
        identity.incarnation,
        identity.role,
        expected_vm,
        secrets.token_bytes(_NONCE_BYTES),
        b'',
    )
    mac = _compute_mac(listener, b'hello', challenge.nonce, unsigned)
    await _send(websocket, dataclasses.replace(unsigned, mac=mac), counters)
    welcome = await _receive(websocket, messages.Welcome, counters)
    expected_mac = _compute_mac(
        listener, b'welcome', challenge.nonce, unsigned
    )
    if not hmac.compare_digest(welcome.mac, expected_mac):
        await _reject(websocket, expected_vm, 'the fleet key differs')
    return Peer(
        challenge.vm, challenge.incarnation, messages.Role.SIDECAR.value
    )


def _compute_mac(
    listener: Identity, label: bytes, nonce: bytes, hello: messages.Hello
) -> bytes:
    """Return one side's MAC over all values of the handshake."""
    signed_data = cbor2.dumps(
        [
            label,
            nonce,
            hello.nonce,
            listener.vm,
            listener.incarnation,
            hello.vm,
            hello.incarnation,
            hello.role,
            hello.expected_vm,
        ]
    )
    key = listener.fleet_key.encode()
    return hmac.new(key, signed_data, hashlib.sha256).digest()


async def _send(
    websocket: connection.Connection,
    message: messages.Message,
    counters: link_counters.LinkCounters,
) -> None:
    """Send one handshake message in its own frame."""
    frame = codec.encode_frame([message])
    counters.sent.record_frame([message], len(frame))
    try:
        await websocket.send(frame)
    except exceptions.ConnectionClosed as error:
        raise errors.LinkClosed('peer', str(error)) from error


async def _receive(
    websocket: connection.Connection,
    kind: type,
    counters: link_counters.LinkCounters,
):
    """Receive the next handshake message, which must be of ``kind``."""
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            frame = await websocket.recv()
    except (exceptions.ConnectionClosed, TimeoutError) as error:
        raise errors.LinkClosed('peer', str(error) or 'timeout') from error
    if not isinstance(frame, bytes):
        raise errors.FrameError('A frame is not binary.')
    batch = codec.decode_frame(frame)
    counters.received.record_frame(batch, len(frame))
    if len(batch) != 1 or not isinstance(batch[0], kind):
        raise errors.FrameError(f'The opening lacks a {kind.__name__}.')
    return batch[0]


async def _reject(
    websocket: connection.Connection, vm: str, cause: str
) -> None:
    """Close the connection with a reason; raise LinkClosed."""
    await websocket.close(_POLICY_VIOLATION, cause)
    raise errors.LinkClosed(vm, cause)
