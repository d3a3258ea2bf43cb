"""Index of the engines that probably have a prompt in their cache."""

from collections.abc import Callable

from arbutusvale.state import bounded_map

# An entry takes some bytes; a fleet has 59 to a few thousand prompts in use.
MAX_PROMPTS = 4096


class PromptCacheIndex:
    """Engines by prompt part, learned from this router and its peers.

    Soft state of bounded size: the least recently used part is evicted.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.by_prompt: bounded_map.BoundedMap[dict[str, float]] = (
            bounded_map.BoundedMap(MAX_PROMPTS)
        )

    def record(self, prompt: str, server_id: str) -> bool:
        """Record that an engine reads a prompt; return whether it is new."""
        engines = self.by_prompt.get(prompt, {})
        is_new = server_id not in engines
        engines[server_id] = self.clock()
        self.by_prompt.put(prompt, engines)
        return is_new

    def find_engines(self, prompt: str) -> dict[str, float]:
        """Return engines that read a prompt, with the last monotonic time."""
        return self.by_prompt.get(prompt, {})

    def remove_engine(self, server_id: str) -> None:
        """Remove an engine that is gone or has restarted."""
        for engines in self.by_prompt.values():
            engines.pop(server_id, None)
