"""Search for the version that began a stream that no router knows.

The engine that began a stream has read the caller's whole prompt; its last
part belongs to that request or session alone, so an engine that has this part
cached tells the version.

Load patterns covered:

- *all routers are lost beside several versions*: hundreds of callers come back
  at once; each engine is asked in the order in which placement ranks engines
  for the prompt, a few at a time, until one has the last part;
- *the old version has left while no router watched*: no engine that is left
  has the part, so the only version that a fresh router sees isn't taken for
  the one that began the stream;
- *a session whose turns ran at several versions*: an earlier turn read less of
  the last part, and isn't taken for the one that began the stream; if engines
  of two versions have read it all, neither is.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

ROUND_SIZE = 8
# Engines cache whole blocks of tokens; vLLM's have 16 or 32 of them.
MAX_BLOCK_TOKENS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class PoolHistory:
    """What a router has seen of a pool's versions.

    ``recent_versions`` are those listed at any time in ``window_s``;
    ``watched_s`` is for how long it has read the server list without a gap;
    ``is_current`` means that the list has just been read.
    """

    recent_versions: frozenset[str]
    watched_s: float
    window_s: float
    is_current: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """An engine that has ``tokens`` of a prompt's last part cached."""

    software_version: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """One version only can have begun the stream."""

    software_version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ambiguous:
    """Engines of several versions may have begun the stream."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotFound:
    """None of the engines that answered has begun the stream."""


def find_only_version(history: PoolHistory, names_attempt: bool) -> str | None:
    """Return the version that any stream of now began at, None if unsure.

    A caller that names no attempt doesn't expect several versions, so what a
    fresh router sees is enough.
    """
    if len(history.recent_versions) != 1:
        return None
    is_sure = history.watched_s >= history.window_s and history.is_current
    if names_attempt and not is_sure:
        return None
    return next(iter(history.recent_versions))


def divide_into_rounds(ranking: Sequence[str]) -> Iterable[Sequence[str]]:
    """Return the engines to ask at once, those that rank highest first."""
    for start in range(0, len(ranking), ROUND_SIZE):
        yield ranking[start : start + ROUND_SIZE]


def judge(
    holders: Sequence[Holder], part_tokens: int
) -> Found | Ambiguous | NotFound:
    """Return which version began the stream, by who has its last part.

    An engine sends no event before it has read the whole part; what it keeps
    of the last block's tokens isn't in its cache.
    """
    versions = {
        holder.software_version
        for holder in holders
        if holder.tokens > part_tokens - MAX_BLOCK_TOKENS
    }
    match list(versions):
        case []:
            return NotFound()
        case [software_version]:
            return Found(software_version)
    return Ambiguous()
