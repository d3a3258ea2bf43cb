"""Authenticate both ends of a new link by the fleet's key.

The listener sends a Challenge, the connector a Hello with a message
authentication code over both nonces, VMs and incarnations, and the
listener a Welcome with a code of its own.
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

OPENING_TIMEOUT_S = 1.0
_NONCE_BYTES = 16
_POLICY_VIOLATION = 1008


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Name this process towards its peers and hold the fleet's key."""

    vm: str
    incarnation: int
    role: str
    fleet_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Name the authenticated process at the other end of a link."""

    vm: str
    incarnation: int
    role: str


async def accept(
    socket: connection.Connection,
    own: Identity,
    counters: link_counters.LinkCounters,
) -> Peer:
    """Open a link from the listening side.

    Raises :class:`errors.LinkClosed` when the other side is not of the
    fleet or meant another VM.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    challenge = messages.Challenge(own.vm, own.incarnation, nonce)
    await _send(socket, challenge, counters)
    hello = await _receive(socket, messages.Hello, counters)
    if hello.expected_vm != own.vm:
        await _reject(socket, hello.vm, f'this is {own.vm}')
    if not hmac.compare_digest(hello.mac, _sign(own, b'hello', nonce, hello)):
        await _reject(socket, hello.vm, 'the fleet key differs')
    welcome = messages.Welcome(_sign(own, b'welcome', nonce, hello))
    await _send(socket, welcome, counters)
    return Peer(hello.vm, hello.incarnation, hello.role)


async def connect(
    socket: connection.Connection,
    own: Identity,
    expected_vm: str,
    counters: link_counters.LinkCounters,
) -> Peer:
    """Open a link from the connecting side.

    Raises :class:`errors.LinkClosed` when another VM answers, as when an
    address was reused, or when the fleet key differs.
    """
    challenge = await _receive(socket, messages.Challenge, counters)
    if challenge.vm != expected_vm:
        await _reject(socket, expected_vm, f'{challenge.vm} answered')
    listener = Identity(challenge.vm, challenge.incarnation, '', own.fleet_key)
    unsigned = messages.Hello(
        own.vm,
        own.incarnation,
        own.role,
        expected_vm,
        secrets.token_bytes(_NONCE_BYTES),
        b'',
    )
    mac = _sign(listener, b'hello', challenge.nonce, unsigned)
    await _send(socket, dataclasses.replace(unsigned, mac=mac), counters)
    welcome = await _receive(socket, messages.Welcome, counters)
    wanted = _sign(listener, b'welcome', challenge.nonce, unsigned)
    if not hmac.compare_digest(welcome.mac, wanted):
        await _reject(socket, expected_vm, 'the fleet key differs')
    return Peer(
        challenge.vm, challenge.incarnation, messages.Role.SIDECAR.value
    )


def _sign(
    listener: Identity, label: bytes, nonce: bytes, hello: messages.Hello
) -> bytes:
    """Compute the code of one side over all that the opening fixed."""
    text = cbor2.dumps(
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
    return hmac.new(key, text, hashlib.sha256).digest()


async def _send(
    socket: connection.Connection,
    message: messages.Message,
    counters: link_counters.LinkCounters,
) -> None:
    """Send one message of the opening in a frame of its own."""
    frame = codec.encode_frame([message])
    counters.sent.add([message], len(frame))
    try:
        await socket.send(frame)
    except exceptions.ConnectionClosed as error:
        raise errors.LinkClosed('peer', str(error)) from error


async def _receive(
    socket: connection.Connection,
    kind: type,
    counters: link_counters.LinkCounters,
):
    """Receive the one message of ``kind`` that the opening needs next."""
    try:
        async with asyncio.timeout(OPENING_TIMEOUT_S):
            frame = await socket.recv()
    except (exceptions.ConnectionClosed, TimeoutError) as error:
        raise errors.LinkClosed('peer', str(error) or 'timeout') from error
    if not isinstance(frame, bytes):
        raise errors.FrameError('A frame is not binary.')
    batch = codec.decode_frame(frame)
    counters.received.add(batch, len(frame))
    if len(batch) != 1 or not isinstance(batch[0], kind):
        raise errors.FrameError(f'The opening lacks a {kind.__name__}.')
    return batch[0]


async def _reject(socket: connection.Connection, vm: str, cause: str) -> None:
    """Close the connection with a reason that the other side sees."""
    await socket.close(_POLICY_VIOLATION, cause)
    raise errors.LinkClosed(vm, cause)
