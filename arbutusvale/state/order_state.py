"""Derive from the ``orders`` stream who may give orders, and when.

Every sidecar applies the same records in log order, so all agree on the
newest incarnation of each VM and on whose turn it is.  A record counts as
long as the log retains it.
"""

import dataclasses

from arbutusvale.protocol import order_records


@dataclasses.dataclass(frozen=True, slots=True)
class Newest:
    """Hold the newest incarnation of a VM; ``fence`` is its offset."""

    fence: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """Hold an open claim of a turn; ``offset`` decides the order."""

    offset: int
    vm: str
    fence: int
    pool: str


class OrderState:
    """Apply the stream; ``position`` is the next offset to read."""

    def __init__(self):
        self.position = 0
        self.newest: dict[str, Newest] = {}
        self.turns: list[Turn] = []

    def apply(self, offset: int, record: order_records.Record) -> None:
        """Apply the record at ``offset``; passes over one read before."""
        if offset < self.position:
            return
        self.position = offset + 1
        match record:
            case order_records.Incarnation(vm=vm, token=token):
                self._start(offset, vm, token)
            case order_records.TurnClaim():
                self._claim(offset, record)
            case order_records.TurnRelease(vm=vm, fence=fence, pool=pool):
                self.turns = [
                    turn
                    for turn in self.turns
                    if (turn.vm, turn.fence, turn.pool) != (vm, fence, pool)
                ]

    def skip_to(self, offset: int) -> None:
        """Pass over records; those before ``offset`` are not retained."""
        self.position = max(self.position, offset)

    def forget_before(self, oldest: int) -> None:
        """Drop the turns whose claim is no longer retained."""
        self.turns = [turn for turn in self.turns if turn.offset >= oldest]

    def find_turn(self, vm: str, fence: int) -> Turn | None:
        """Return the open turn of a VM's incarnation."""
        for turn in self.turns:
            if turn.vm == vm and turn.fence == fence:
                return turn
        return None

    def list_holders(self, pool: str, count: int) -> list[Turn]:
        """List the ``count`` oldest open turns of a pool: they may act."""
        return self.list_open(pool)[:count]

    def list_open(self, pool: str) -> list[Turn]:
        """List all open turns of a pool in the order of their claims."""
        return [turn for turn in self.turns if turn.pool == pool]

    def _start(self, offset: int, vm: str, token: str) -> None:
        """Note an incarnation; its predecessors' turns are over."""
        known = self.newest.get(vm)
        if known is not None and known.token == token:
            return
        self.newest[vm] = Newest(offset, token)
        self.turns = [turn for turn in self.turns if turn.vm != vm]

    def _claim(self, offset: int, claim: order_records.TurnClaim) -> None:
        """Queue a claim, unless it is old or stands already."""
        newest = self.newest.get(claim.vm)
        if newest is not None and newest.fence != claim.fence:
            return
        if self.find_turn(claim.vm, claim.fence) is None:
            self.turns.append(Turn(offset, claim.vm, claim.fence, claim.pool))
