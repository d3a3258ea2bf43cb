"""Index of the engines that probably have a prompt in their cache."""

from collections.abc import Callable
import math

from arbutusvale.state import bounded_map

# An entry takes some bytes; a fleet has 59 to a few thousand prompts in use.
MAX_PROMPTS = 4096
# A part that an engine began to read this long ago is taken as cached, as the
# news of it may be lost.
MAX_READING_S = 2.0


class PromptCacheIndex:
    """Engines by prompt part, learned from this router and its peers.

    Soft state of bounded size: the least recently used part is evicted.
    Times are monotonic seconds; those of an engine that still reads a part
    are in the future.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.by_prompt: bounded_map.BoundedMap[dict[str, float]] = (
            bounded_map.BoundedMap(MAX_PROMPTS)
        )

    def record(self, prompt: str, server_id: str) -> bool:
        """Record that an engine has a prompt cached; return whether it is new.

        An engine that was reading it until now counts as new.
        """
        engines = self.by_prompt.get(prompt, {})
        now = self.clock()
        is_new = engines.get(server_id, math.inf) > now
        engines[server_id] = now
        self.by_prompt.put(prompt, engines)
        return is_new

    def start_reading(self, prompt: str, server_id: str) -> bool:
        """Record that an engine begins to read a prompt that it lacks.

        Return False if it has the prompt cached or is reading it.
        """
        engines = self.by_prompt.get(prompt, {})
        is_new = server_id not in engines
        if is_new:
            engines[server_id] = self.clock() + MAX_READING_S
        self.by_prompt.put(prompt, engines)
        return is_new

    def abandon_reading(self, prompt: str, server_id: str) -> None:
        """Forget an engine that didn't read a prompt to its end."""
        engines = self.by_prompt.get(prompt, {})
        if engines.get(server_id, 0.0) > self.clock():
            del engines[server_id]

    def find_engines(self, prompt: str) -> dict[str, float]:
        """Return engines that have a prompt cached, with the time of that."""
        now = self.clock()
        return {
            server_id: cached_at
            for server_id, cached_at in self.by_prompt.get(prompt, {}).items()
            if cached_at <= now
        }

    def find_readers(self, prompt: str) -> dict[str, float]:
        """Return engines that are reading a prompt, with a time after now."""
        now = self.clock()
        return {
            server_id: cached_at
            for server_id, cached_at in self.by_prompt.get(prompt, {}).items()
            if cached_at > now
        }

    def remove_engine(self, server_id: str) -> None:
        """Remove an engine that is gone or has restarted."""
        for engines in self.by_prompt.values():
            engines.pop(server_id, None)
