"""Rank servers for a key by rendezvous hashing.

A join or leave among n servers moves about 1/n of the keys, and every
process that holds the same list computes the same ranking.
"""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order server names for ``key``, the first choice first."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def first(key: str, names: Iterable[str]) -> str:
    """Return the first choice for ``key``; empty when there is none."""
    return max(names, key=lambda name: _score(key, name), default='')


def _score(key: str, name: str) -> tuple[int, str]:
    """Weigh a server for a key; the name settles equal hashes."""
    return xxhash.xxh3_64_intdigest(f'{name}\0{key}'.encode()), name
