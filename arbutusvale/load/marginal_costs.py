"""Marginal memory, CPU time and bytes of one more chat, claim or message.

A cost that has a fixed part is the difference between two sizes, divided by
the number of added items, so that the fixed part cancels out.
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
class MarginalCost:
    """Cost of one more ``of``, in ``unit``: B for bytes, us for CPU time."""

    name: str
    value: float
    unit: str
    of: str


def measure_all(seed: int) -> list[MarginalCost]:
    """Measure every cost with random data from a seed."""
    rng = numpy.random.default_rng(seed)
    return [
        _measure_directory(rng),
        _measure_claim_index(rng),
        _measure_pool_table(),
        *_measure_ranking(),
        *_measure_chunks(),
        *_measure_submit(rng),
        _measure_gossip_entry(),
        _measure_claim_record(rng),
        _measure_vm_list(),
        *_measure_bundle(rng),
        _measure_waiting_task(),
    ]


def _measure_item_bytes(
    build: Callable[[int], typing.Any], size: int
) -> float:
    """Return the bytes that each of the ``size`` items of a build keeps."""
    tracemalloc.start()
    try:
        retained = build(size)
        bytes_for_one, _ = tracemalloc.get_traced_memory()
        retained = (retained, build(2 * size))
        bytes_for_three, _ = tracemalloc.get_traced_memory()
        del retained
    finally:
        tracemalloc.stop()
    return (bytes_for_three - bytes_for_one - bytes_for_one) / size


def _measure_call_us(action: Callable[[], typing.Any], repeats: int) -> float:
    """Return the CPU time of one call in microseconds."""
    action()
    started_s = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started_s) / repeats * _US_PER_S


def _random_chat_digest(rng: numpy.random.Generator) -> str:
    """Return a random digest of a chat."""
    return rng.bytes(_CHAT_DIGEST_CHARS // 2).hex()


def _measure_directory(rng: numpy.random.Generator) -> MarginalCost:
    """Measure one more chat in a directory of cache locations."""

    def build(size: int) -> directory.Directory:
        entries = directory.Directory(size)
        for number in range(size):
            entries.record(_random_chat_digest(rng), f'engine-{number % 500}')
        return entries

    return MarginalCost(
        'directory entry', _measure_item_bytes(build, 20_000), 'B', 'chat'
    )


def _measure_claim_index(rng: numpy.random.Generator) -> MarginalCost:
    """Measure one more claim in the claim index of a sidecar."""

    def build(size: int) -> claim_index.ClaimIndex:
        index = claim_index.ClaimIndex(lambda: 0.0)
        for number in range(size):
            claim = claim_index.Claim(
                rng.bytes(32),
                f'service-{number % 50}',
                number,
                _RETENTION_S + number,
                _RETENTION_S + number,
                _RETENTION_S + number,
            )
            index.add(rng.bytes(claim_index.DIGEST_BYTES), claim, 0.0)
        return index

    return MarginalCost(
        'claim index entry', _measure_item_bytes(build, 20_000), 'B', 'claim'
    )


def _make_loads(size: int) -> list[messages.Load]:
    """Make the load reports of a pool of ``size`` servers."""
    return [
        messages.Load(f'engine-{number:05}', number, 1, 3, 'live')
        for number in range(size)
    ]


def _measure_pool_table() -> MarginalCost:
    """Measure one more server in the load table of a pool."""

    def build(size: int) -> pool_load_table.PoolLoadTable:
        table = pool_load_table.PoolLoadTable('engine-x', 1, lambda: 0.0)
        loads = _make_loads(size)
        table.update_members(load.vm for load in loads)
        table.merge(loads)
        return table

    return MarginalCost(
        'pool table entry', _measure_item_bytes(build, 2_000), 'B', 'server'
    )


def _measure_ranking() -> list[MarginalCost]:
    """Measure ranking a chat's servers in a pool of the design size."""
    names = [f'engine-{number:05}' for number in range(522)]
    rank_us = _measure_call_us(lambda: rendezvous.rank('chat', names), 200)
    first_us = _measure_call_us(lambda: rendezvous.first('chat', names), 200)
    return [
        MarginalCost('rank a chat', rank_us / len(names), 'us', 'server'),
        MarginalCost('find a home', first_us / len(names), 'us', 'server'),
    ]


def _measure_chunks() -> list[MarginalCost]:
    """Measure encoding and decoding in frames of 1, 8 and 32 chunks."""
    costs = []
    for size in (1, 8, 32):
        batch = [
            messages.Chunk(f'entry-1-17-{number}', number, b'x' * 180)
            for number in range(size)
        ]
        frame = codec.encode_frame(batch)
        encode_us = _measure_call_us(
            lambda batch=batch: codec.encode_frame(batch), 500
        )
        decode_us = _measure_call_us(
            lambda frame=frame: codec.decode_frame(frame), 500
        )
        item = f'chunk, {size} a frame'
        costs.append(MarginalCost('encode', encode_us / size, 'us', item))
        costs.append(MarginalCost('decode', decode_us / size, 'us', item))
    return costs


def _measure_submit(rng: numpy.random.Generator) -> list[MarginalCost]:
    """Measure encoding and decoding of a Submit with a body of 4 KiB."""
    submit = messages.Submit(
        attempt='entry-1-17-1',
        request_id='0' * 32,
        organisation='autosul',
        service='drafts',
        method='POST',
        path='/v1/chat/completions',
        headers=[['Content-Type', 'application/json']],
        body=rng.bytes(4096),
        chat='0' * _CHAT_DIGEST_CHARS,
        home='engine-1',
        first_turn=False,
        key='',
        idempotent=True,
        fingerprint=rng.bytes(32),
        time_left=30.0,
        priority=0,
        bundle_offset=1,
        hop=0,
        last_hop=False,
        redirected=False,
        loads=[],
    )
    frame = codec.encode_frame([submit])
    encode_us = _measure_call_us(lambda: codec.encode_frame([submit]), 500)
    decode_us = _measure_call_us(lambda: codec.decode_frame(frame), 500)
    return [
        MarginalCost('encode', encode_us, 'us', 'submit of 4 KiB'),
        MarginalCost('decode', decode_us, 'us', 'submit of 4 KiB'),
    ]


def _measure_gossip_entry() -> MarginalCost:
    """Measure one more load report in a gossip message."""
    small_update = messages.PoolUpdate(1, True, _make_loads(8), [])
    large_update = messages.PoolUpdate(1, True, _make_loads(32), [])
    added_bytes = len(codec.encode_frame([large_update])) - len(
        codec.encode_frame([small_update])
    )
    return MarginalCost('gossip', added_bytes / 24, 'B', 'load')


def _measure_claim_record(rng: numpy.random.Generator) -> MarginalCost:
    """Measure one more claim in a log record."""

    def encoded_size(count: int) -> int:
        key_claims = [
            claim_record.KeyClaim(
                rng.bytes(claim_index.DIGEST_BYTES),
                rng.bytes(32),
                number,
            )
            for number in range(count)
        ]
        record = claim_record.ClaimRecord('service-1', 1, key_claims)
        return len(claim_record.encode(record))

    return MarginalCost(
        'claim record',
        (encoded_size(64) - encoded_size(32)) / 32,
        'B',
        'claim',
    )


def _measure_vm_list() -> MarginalCost:
    """Measure one more VM in a full read of the VM list."""
    entry = {
        'name': 'engine-00001',
        'role': 'sidecar',
        'address': '10.0.0.1:8090',
        'admin': '10.0.0.1:8091',
        'data_centre': 'poa-1',
        'pool': 'drafts-pool',
        'state': 'live',
    }
    return MarginalCost('VM list', len(json.dumps(entry)) + 2.0, 'B', 'VM')


def _make_bundle_text(rng: numpy.random.Generator, organisations: int) -> str:
    """Return the YAML of a bundle with so many organisations."""
    document = {
        'version': 'v1',
        'organisations': {
            f'organisation-{number}': {
                'keys': [f'sha256:{rng.bytes(32).hex()}'],
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


def _measure_bundle(rng: numpy.random.Generator) -> list[MarginalCost]:
    """Measure one more organisation in a compressed and a parsed bundle."""
    small_text = _make_bundle_text(rng, 100)
    large_text = _make_bundle_text(rng, 300)
    sizes = [
        len(zlib.compress(text.encode(), 9))
        for text in (small_text, large_text)
    ]
    parse_times_us = [
        _measure_call_us(
            lambda text=text: yaml_documents.parse(text, bundle.Bundle), 3
        )
        for text in (small_text, large_text)
    ]
    return [
        MarginalCost(
            'record', (sizes[1] - sizes[0]) / 200, 'B', 'organisation'
        ),
        MarginalCost(
            'read',
            (parse_times_us[1] - parse_times_us[0]) / 200,
            'us',
            'organisation',
        ),
    ]


def _measure_waiting_task() -> MarginalCost:
    """Measure one more asyncio task that waits on a queue."""

    async def run() -> float:
        def build(size: int) -> list[asyncio.Task]:
            return [
                asyncio.get_running_loop().create_task(asyncio.Queue().get())
                for _ in range(size)
            ]

        tasks = []

        def build_and_retain(size: int) -> list[asyncio.Task]:
            tasks.extend(build(size))
            return tasks

        task_bytes = _measure_item_bytes(build_and_retain, 2_000)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return task_bytes

    return MarginalCost('waiting task', asyncio.run(run()), 'B', 'task')
