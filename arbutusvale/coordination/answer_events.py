"""Events of one answer to a caller.

An answer is either a single ErrorResponse, or a Head, any number of Data and
finally an End (the body is complete) or an Aborted (it is not).
"""

import dataclasses

from arbutusvale.protocol import caller_api


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The start of an answer; ``headers`` are [name, value] pairs."""

    status: int
    headers: list


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """One piece of the body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end of a complete answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Aborted:
    """The end of an answer whose rest was lost, and the reason."""

    error: caller_api.ErrorResponse


Event = Head | Data | End | Aborted | caller_api.ErrorResponse
