"""Rank servers for a key by rendezvous hashing.

A join or leave among n servers moves about 1/n of the keys, and every
process that holds the same list computes the same ranking.
"""

from collections.abc import Iterable

import numpy
import xxhash

_FIRST_FACTOR = numpy.uint64(0xBF58476D1CE4E5B9)
_SECOND_FACTOR = numpy.uint64(0x94D049BB133111EB)
_SHIFTS = tuple(numpy.uint64(bits) for bits in (30, 27, 31))


class Ranking:
    """Rank one set of servers for many keys.

    Each server's name is hashed once; for a key these hashes are mixed
    with that of the key by the finalizer of splitmix64.
    """

    def __init__(self, names: Iterable[str]):
        self.names = sorted(names)
        self.seeds = numpy.array(
            [_hash(name) for name in self.names], dtype=numpy.uint64
        )

    def rank(self, key: str, count: int) -> list[str]:
        """Return the first ``count`` choices for ``key``, best first."""
        scores = self._score(key)
        most = len(self.names)
        if count < most:
            best = numpy.argpartition(scores, most - count)[most - count :]
            order = best[numpy.argsort(scores[best])[::-1]]
        else:
            order = numpy.argsort(scores)[::-1]
        return [self.names[index] for index in order.tolist()]

    def first(self, key: str) -> str:
        """Return the first choice for ``key``; empty when there is none."""
        if not self.names:
            return ''
        return self.names[int(self._score(key).argmax())]

    def _score(self, key: str) -> numpy.ndarray:
        """Weigh every server for a key."""
        first, second, third = _SHIFTS
        mixed = self.seeds ^ numpy.uint64(_hash(key))
        mixed = (mixed ^ (mixed >> first)) * _FIRST_FACTOR
        mixed = (mixed ^ (mixed >> second)) * _SECOND_FACTOR
        return mixed ^ (mixed >> third)


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order server names for ``key``, the first choice first."""
    ranking = Ranking(names)
    return ranking.rank(key, len(ranking.names))


def first(key: str, names: Iterable[str]) -> str:
    """Return the first choice for ``key``; empty when there is none."""
    return Ranking(names).first(key)


def _hash(text: str) -> int:
    """Hash a name or key to 64 bits."""
    return xxhash.xxh3_64_intdigest(text.encode())
