"""Remember which engines have read which shared parts of prompts."""

from collections.abc import Callable

from arbutusvale.state import bounded_map

# Some bytes an entry; 59 to a few thousand prompts are live on a fleet.
MAX_PROMPTS = 4096


class PromptCacheIndex:
    """Map a prompt to the engines that this router sent it to.

    Soft state, bounded: the least recently used part yields.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.by_prompt: bounded_map.BoundedMap[dict[str, float]] = (
            bounded_map.BoundedMap(MAX_PROMPTS)
        )

    def record(self, prompt: str, server_id: str) -> bool:
        """Remember that an engine reads a prompt; tell whether it's news."""
        engines = self.by_prompt.get(prompt, {})
        is_new = server_id not in engines
        engines[server_id] = self.clock()
        self.by_prompt.put(prompt, engines)
        return is_new

    def find_engines(self, prompt: str) -> dict[str, float]:
        """Return the engines that read a prompt and when, in seconds."""
        return self.by_prompt.get(prompt, {})

    def remove_engine(self, server_id: str) -> None:
        """Drop an engine that is gone or has started again."""
        for engines in self.by_prompt.values():
            engines.pop(server_id, None)
