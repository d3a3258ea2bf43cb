"""Measure what one more chat, claim, server or message costs a process.

Each slope is the difference between two sizes, divided by what was added,
so that fixed costs fall out.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import time
import tracemalloc
import typing
import zlib

import numpy
import yaml

from arbutusvale import yaml_documents
from arbutusvale.protocol import bundle
from arbutusvale.protocol import claim_record
from arbutusvale.protocol import codec
from arbutusvale.protocol import messages
from arbutusvale.state import claim_index
from arbutusvale.state import directory
from arbutusvale.state import pool_load_table
from arbutusvale.state import rendezvous

_US_PER_S = 1_000_000
_CHAT_DIGEST_CHARS = 32
_RETENTION_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Hold one measured slope: so many ``unit`` for one more ``of``."""

    name: str
    value: float
    unit: str
    of: str


def measure_all(seed: int) -> list[Slope]:
    """Measure every slope with random data of a seed."""
    generator = numpy.random.default_rng(seed)
    return [
        _measure_directory(generator),
        _measure_claim_index(generator),
        _measure_pool_table(),
        *_measure_ranking(),
        *_measure_chunks(),
        *_measure_submit(generator),
        _measure_gossip_entry(),
        _measure_claim_record(generator),
        _measure_vm_list(),
        *_measure_bundle(generator),
        _measure_waiting_task(),
    ]


def _memory_of(build: Callable[[int], typing.Any], size: int) -> float:
    """Return the bytes that ``build(size)`` keeps for each of ``size``."""
    tracemalloc.start()
    try:
        kept = build(size)
        half, _ = tracemalloc.get_traced_memory()
        kept = (kept, build(2 * size))
        whole, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return (whole - half - half) / size


def _time_of(action: Callable[[], typing.Any], repeats: int) -> float:
    """Return the processor time of one call in microseconds."""
    action()
    started = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started) / repeats * _US_PER_S


def _chat(generator: numpy.random.Generator) -> str:
    """Draw a chat's digest."""
    return generator.bytes(_CHAT_DIGEST_CHARS // 2).hex()


def _measure_directory(generator: numpy.random.Generator) -> Slope:
    """Measure one more chat in a home's directory."""

    def build(size: int) -> directory.Directory:
        made = directory.Directory(size)
        for number in range(size):
            made.record(_chat(generator), f'engine-{number % 500}')
        return made

    return Slope('directory entry', _memory_of(build, 20_000), 'B', 'chat')


def _measure_claim_index(generator: numpy.random.Generator) -> Slope:
    """Measure one more claim in a sidecar's index."""

    def build(size: int) -> claim_index.ClaimIndex:
        made = claim_index.ClaimIndex(lambda: 0.0)
        for number in range(size):
            claim = claim_index.Claim(
                generator.bytes(32),
                f'service-{number % 50}',
                number,
                _RETENTION_S + number,
                _RETENTION_S + number,
                _RETENTION_S + number,
            )
            made.add(generator.bytes(claim_index.DIGEST_BYTES), claim, 0.0)
        return made

    return Slope('claim index entry', _memory_of(build, 20_000), 'B', 'claim')


def _make_loads(size: int) -> list[messages.Load]:
    """Make the loads of a pool of ``size`` servers."""
    return [
        messages.Load(f'engine-{number:05}', number, 1, 3, 'live')
        for number in range(size)
    ]


def _measure_pool_table() -> Slope:
    """Measure one more mate in a pool table."""

    def build(size: int) -> pool_load_table.PoolLoadTable:
        made = pool_load_table.PoolLoadTable('engine-x', 1, lambda: 0.0)
        loads = _make_loads(size)
        made.update_members(load.vm for load in loads)
        made.merge(loads)
        return made

    return Slope('pool table entry', _memory_of(build, 2_000), 'B', 'server')


def _measure_ranking() -> list[Slope]:
    """Measure ranking a chat's servers in pools of the design size."""
    names = [f'engine-{number:05}' for number in range(522)]
    whole = _time_of(lambda: rendezvous.rank('chat', names), 200)
    first = _time_of(lambda: rendezvous.first('chat', names), 200)
    return [
        Slope('rank a chat', whole / len(names), 'us', 'server'),
        Slope('find a home', first / len(names), 'us', 'server'),
    ]


def _measure_chunks() -> list[Slope]:
    """Measure a chunk in frames of 1, 8 and 32 chunks, both ways."""
    slopes = []
    for size in (1, 8, 32):
        batch = [
            messages.Chunk(f'entry-1-17-{number}', number, b'x' * 180)
            for number in range(size)
        ]
        frame = codec.encode_frame(batch)
        encode = _time_of(lambda batch=batch: codec.encode_frame(batch), 500)
        decode = _time_of(lambda frame=frame: codec.decode_frame(frame), 500)
        of = f'chunk, {size} a frame'
        slopes.append(Slope('encode', encode / size, 'us', of))
        slopes.append(Slope('decode', decode / size, 'us', of))
    return slopes


def _measure_submit(generator: numpy.random.Generator) -> list[Slope]:
    """Measure a Submit with a body of 4 KiB."""
    submit = messages.Submit(
        attempt='entry-1-17-1',
        request_id='0' * 32,
        organisation='autosul',
        service='drafts',
        method='POST',
        path='/v1/chat/completions',
        headers=[['Content-Type', 'application/json']],
        body=generator.bytes(4096),
        chat='0' * _CHAT_DIGEST_CHARS,
        home='engine-1',
        first_turn=False,
        key='',
        idempotent=True,
        fingerprint=generator.bytes(32),
        time_left=30.0,
        priority=0,
        bundle_offset=1,
        hop=0,
        last_hop=False,
        redirected=False,
        loads=[],
    )
    frame = codec.encode_frame([submit])
    encode = _time_of(lambda: codec.encode_frame([submit]), 500)
    decode = _time_of(lambda: codec.decode_frame(frame), 500)
    return [
        Slope('encode', encode, 'us', 'submit of 4 KiB'),
        Slope('decode', decode, 'us', 'submit of 4 KiB'),
    ]


def _measure_gossip_entry() -> Slope:
    """Measure one more load in a gossip message."""
    few = messages.PoolUpdate(1, True, _make_loads(8), [])
    many = messages.PoolUpdate(1, True, _make_loads(32), [])
    grown = len(codec.encode_frame([many])) - len(codec.encode_frame([few]))
    return Slope('gossip', grown / 24, 'B', 'load')


def _measure_claim_record(generator: numpy.random.Generator) -> Slope:
    """Measure one more claim in a log record."""

    def size(count: int) -> int:
        made = [
            claim_record.KeyClaim(
                generator.bytes(claim_index.DIGEST_BYTES),
                generator.bytes(32),
                number,
            )
            for number in range(count)
        ]
        record = claim_record.ClaimRecord('service-1', 1, made)
        return len(claim_record.encode(record))

    return Slope('claim record', (size(64) - size(32)) / 32, 'B', 'claim')


def _measure_vm_list() -> Slope:
    """Measure one more VM in a whole read of the VM list."""
    entry = {
        'name': 'engine-00001',
        'role': 'sidecar',
        'address': '10.0.0.1:8090',
        'admin': '10.0.0.1:8091',
        'data_centre': 'poa-1',
        'pool': 'drafts-pool',
        'state': 'live',
    }
    return Slope('VM list', len(json.dumps(entry)) + 2.0, 'B', 'VM')


def _make_bundle_text(
    generator: numpy.random.Generator, organisations: int
) -> str:
    """Write a bundle with this many organisations."""
    document = {
        'version': 'v1',
        'organisations': {
            f'organisation-{number}': {
                'keys': [f'sha256:{generator.bytes(32).hex()}'],
                'services': ['drafts'],
                'rate': 50.0,
                'burst': 100,
                'concurrency': 64,
            }
            for number in range(organisations)
        },
        'services': {
            'drafts': {'kind': 'model', 'pool': 'p', 'model': 'm'},
        },
        'pools': {'p': {'policy': {'kind': 'directory', 'bound': 1.25}}},
        'operators': {'ana': '0' * 64},
    }
    return yaml.safe_dump(document)


def _measure_bundle(generator: numpy.random.Generator) -> list[Slope]:
    """Measure one more organisation in a bundle."""
    few = _make_bundle_text(generator, 100)
    many = _make_bundle_text(generator, 300)
    sizes = [len(zlib.compress(text.encode(), 9)) for text in (few, many)]
    times = [
        _time_of(
            lambda text=text: yaml_documents.parse(text, bundle.Bundle), 3
        )
        for text in (few, many)
    ]
    return [
        Slope('record', (sizes[1] - sizes[0]) / 200, 'B', 'organisation'),
        Slope('read', (times[1] - times[0]) / 200, 'us', 'organisation'),
    ]


def _measure_waiting_task() -> Slope:
    """Measure one more task that waits on a queue."""

    async def run() -> float:
        def build(size: int) -> list[asyncio.Task]:
            return [
                asyncio.get_running_loop().create_task(asyncio.Queue().get())
                for _ in range(size)
            ]

        made = []

        def keep(size: int) -> list[asyncio.Task]:
            made.extend(build(size))
            return made

        value = _memory_of(keep, 2_000)
        for task in made:
            task.cancel()
        await asyncio.gather(*made, return_exceptions=True)
        return value

    return Slope('waiting task', asyncio.run(run()), 'B', 'task')
