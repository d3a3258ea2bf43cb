"""Remember which engines have read which shared parts of prompts."""

from collections.abc import Callable

from arbutusvale.state import recentmap

# Some bytes an entry; 59 to a few thousand prompts are live on a fleet.
MAX_PROMPTS = 4096


class PromptMap:
    """Map a prompt to the engines that this router sent it to.

    Soft state, bounded: the least recently used part yields.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.prompts: recentmap.RecentMap[dict[str, float]] = (
            recentmap.RecentMap(MAX_PROMPTS)
        )

    def note(self, prompt: str, server_id: str) -> bool:
        """Remember that an engine reads a prompt; tell whether it's news."""
        holders = self.prompts.get(prompt, {})
        new = server_id not in holders
        holders[server_id] = self.clock()
        self.prompts.put(prompt, holders)
        return new

    def holders(self, prompt: str) -> dict[str, float]:
        """Return the engines that read a prompt and when, in seconds."""
        return self.prompts.get(prompt, {})

    def forget_server(self, server_id: str) -> None:
        """Drop an engine that is gone or has started again."""
        for holders in self.prompts.values():
            holders.pop(server_id, None)
