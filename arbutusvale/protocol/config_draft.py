"""An edge router's configuration as operators wrote it, to be checked.

Unlike :class:`routing.Configuration` it keeps what has no effect.
"""

import dataclasses

from arbutusvale.protocol import routing


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDraft:
    """A service; ``warmup_rate`` is what a cold server takes, in 1/s."""

    name: str
    max_connections: int
    warmup_s: float
    warmup_rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationDraft:
    """An organisation and its API keys, in the order of the document."""

    name: str
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigDraft:
    """A configuration without the entries that are malformed.

    Routes contain splits of weight 0.  ``faults`` name each malformed field
    and what to write there.
    """

    version: int
    routes: tuple[routing.Route, ...]
    services: tuple[ServiceDraft, ...]
    limits: routing.CallerLimits
    organisations: tuple[OrganisationDraft, ...]
    faults: tuple[str, ...] = ()
