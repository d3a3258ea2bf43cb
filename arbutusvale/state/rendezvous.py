"""Rendezvous hashing: a ranking of servers for each key.

When one of n servers joins or leaves, about 1/n of the keys move.  All
processes with the same server list compute the same ranking.
"""

from collections.abc import Iterable
import importlib
import typing

import xxhash

if typing.TYPE_CHECKING:
    import numpy

_FIRST_FACTOR = 0xBF58476D1CE4E5B9
_SECOND_FACTOR = 0x94D049BB133111EB
_SHIFTS = (30, 27, 31)
_UINT64_MASK = (1 << 64) - 1
# Up to this many servers plain integers cost less than numpy's 13 MB of
# memory.
_MAX_PLAIN_SERVERS = 64


class Ranking:
    """Rankings of one set of servers for many keys.

    Each server's name is hashed once.  A server's score for a key is its
    hash XOR the key's, mixed by the finalizer of splitmix64.  Large pools
    are ranked with numpy if ``vectorise`` is set; plain integers take about
    0.4 us per server and key.
    """

    def __init__(self, names: Iterable[str], vectorise: bool = True):
        self.names = sorted(names)
        hashes = [_hash(name) for name in self.names]
        self.name_hashes = hashes
        self.vector_scores = None
        if vectorise and len(hashes) > _MAX_PLAIN_SERVERS:
            self.vector_scores = _VectorScores(hashes)

    def rank(self, key: str, count: int) -> list[str]:
        """Return the first ``count`` servers for ``key``, best first."""
        if self.vector_scores is not None:
            order = self.vector_scores.rank(_hash(key), count)
        else:
            scores = self._compute_scores(key)
            order = sorted(
                range(len(scores)), key=scores.__getitem__, reverse=True
            )
        return [self.names[index] for index in order[:count]]

    def first(self, key: str) -> str:
        """Return the server that ranks highest; empty if there is none."""
        if not self.names:
            return ''
        if self.vector_scores is not None:
            return self.names[self.vector_scores.first(_hash(key))]
        scores = self._compute_scores(key)
        return self.names[scores.index(max(scores))]

    def _compute_scores(self, key: str) -> list[int]:
        """Return each server's score for a key."""
        first, second, third = _SHIFTS
        key_hash = _hash(key)
        scores = []
        for name_hash in self.name_hashes:
            mixed = name_hash ^ key_hash
            mixed = ((mixed ^ (mixed >> first)) * _FIRST_FACTOR) & _UINT64_MASK
            mixed = (
                (mixed ^ (mixed >> second)) * _SECOND_FACTOR
            ) & _UINT64_MASK
            scores.append(mixed ^ (mixed >> third))
        return scores


class _VectorScores:
    """Scores of a large pool's servers, computed with numpy."""

    def __init__(self, hashes: list[int]):
        self.numpy = importlib.import_module('numpy')
        self.name_hashes = self.numpy.array(hashes, dtype=self.numpy.uint64)
        to_uint64 = self.numpy.uint64
        self.factors = (to_uint64(_FIRST_FACTOR), to_uint64(_SECOND_FACTOR))
        self.shifts = tuple(to_uint64(bits) for bits in _SHIFTS)

    def rank(self, key_hash: int, count: int) -> list[int]:
        """Return the indexes of the highest scores, highest first."""
        scores = self._compute_scores(key_hash)
        total = len(scores)
        if count < total:
            best = self.numpy.argpartition(scores, total - count)
            best = best[total - count :]
            return best[self.numpy.argsort(scores[best])[::-1]].tolist()
        return self.numpy.argsort(scores)[::-1].tolist()

    def first(self, key_hash: int) -> int:
        """Return the index of the highest score."""
        return int(self._compute_scores(key_hash).argmax())

    def _compute_scores(self, key_hash: int) -> 'numpy.ndarray':
        """Return each server's score for the hash of a key."""
        first, second, third = self.shifts
        mixed = self.name_hashes ^ self.numpy.uint64(key_hash)
        mixed = (mixed ^ (mixed >> first)) * self.factors[0]
        mixed = (mixed ^ (mixed >> second)) * self.factors[1]
        return mixed ^ (mixed >> third)


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return all server names in their ranking for ``key``."""
    ranking = Ranking(names)
    return ranking.rank(key, len(ranking.names))


def first(key: str, names: Iterable[str]) -> str:
    """Return the name that ranks highest for ``key``; empty if none."""
    return Ranking(names).first(key)


def _hash(text: str) -> int:
    """Return the 64-bit hash of a name or key."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hash_to_fraction(key: str) -> float:
    """Map a key to a number from 0 up to, but not including, 1."""
    return _hash(key) / (1 << 64)


def hash_request(owner: str, target: bytes, body: bytes) -> bytes:
    """Return a fingerprint that is the same for a repeat of a request."""
    digest = xxhash.xxh3_128()
    digest.update(owner.encode())
    digest.update(b'\0')
    digest.update(target)
    digest.update(b'\0')
    digest.update(body)
    return digest.digest()
