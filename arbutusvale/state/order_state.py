"""Replicated state of the ``orders`` stream: which sidecar may send orders.

Every sidecar applies the same records in log order, so that all agree on
the newest incarnation of each VM and on which turns are active.  During its
turn a sidecar may take its engine out of service to load a model version.
A claim of a turn is valid as long as the log retains it.
"""

import dataclasses

from arbutusvale.protocol import order_records


@dataclasses.dataclass(frozen=True, slots=True)
class NewestIncarnation:
    """The newest incarnation of a VM's sidecar; ``fence`` is its offset."""

    fence: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A claimed turn that has not ended; ``offset`` is its claim's."""

    offset: int
    vm: str
    fence: int
    pool: str


class OrderState:
    """State machine over the stream.

    ``position`` is the next offset to read; ``turns`` are the open turns
    in the log order of their claims.
    """

    def __init__(self):
        self.position = 0
        self.newest_incarnations: dict[str, NewestIncarnation] = {}
        self.turns: list[Turn] = []

    def apply(self, offset: int, record: order_records.Record) -> None:
        """Apply the record at ``offset``; ignore one that was read before."""
        if offset < self.position:
            return
        self.position = offset + 1
        match record:
            case order_records.Incarnation(vm=vm, token=token):
                self._apply_incarnation(offset, vm, token)
            case order_records.TurnClaim():
                self._apply_claim(offset, record)
            case order_records.TurnRelease(vm=vm, fence=fence, pool=pool):
                self.turns = [
                    turn
                    for turn in self.turns
                    if (turn.vm, turn.fence, turn.pool) != (vm, fence, pool)
                ]

    def skip_to(self, offset: int) -> None:
        """Continue at ``offset``, unless the position is already past it."""
        self.position = max(self.position, offset)

    def drop_expired(self, oldest: int) -> None:
        """Drop the turns whose claims the log no longer retains."""
        self.turns = [turn for turn in self.turns if turn.offset >= oldest]

    def find_turn(self, vm: str, fence: int) -> Turn | None:
        """Return the open turn of a VM's incarnation."""
        for turn in self.turns:
            if turn.vm == vm and turn.fence == fence:
                return turn
        return None

    def list_active_turns(self, pool: str, count: int) -> list[Turn]:
        """List the active turns of a pool: the ``count`` oldest open ones."""
        return self.list_open_turns(pool)[:count]

    def list_open_turns(self, pool: str) -> list[Turn]:
        """List the open turns of a pool in the log order of their claims."""
        return [turn for turn in self.turns if turn.pool == pool]

    def _apply_incarnation(self, offset: int, vm: str, token: str) -> None:
        """Record a newer incarnation; end the turns of the older ones."""
        known = self.newest_incarnations.get(vm)
        if known is not None and known.token == token:
            return
        self.newest_incarnations[vm] = NewestIncarnation(offset, token)
        self.turns = [turn for turn in self.turns if turn.vm != vm]

    def _apply_claim(
        self, offset: int, claim: order_records.TurnClaim
    ) -> None:
        """Queue a claim unless it is outdated or the turn is open already."""
        newest = self.newest_incarnations.get(claim.vm)
        if newest is not None and newest.fence != claim.fence:
            return
        if self.find_turn(claim.vm, claim.fence) is None:
            self.turns.append(Turn(offset, claim.vm, claim.fence, claim.pool))
