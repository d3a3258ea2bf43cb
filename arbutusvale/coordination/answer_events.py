"""Define the events of one answer to a caller.

An answer is either one ErrorAnswer, or a Head, any number of Data and at
last an End (the body is whole) or a Aborted (it is not).
"""

import dataclasses

from arbutusvale.protocol import callerapi


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Open an answer; ``headers`` are pairs of name and value."""

    status: int
    headers: list


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """Carry one piece of the body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Close a whole answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Aborted:
    """Close an answer whose rest was lost; ``error`` says why."""

    error: callerapi.ErrorAnswer


Event = Head | Data | End | Aborted | callerapi.ErrorAnswer
