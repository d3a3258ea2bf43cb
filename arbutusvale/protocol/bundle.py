"""Schema of the configuration bundle that operators sign and roll out.

The models are validated when a YAML document is read and are ordinary
frozen data classes afterwards.  Times are in seconds, sizes in bytes.
"""

import dataclasses
import fnmatch
import typing

import pydantic
import pydantic.dataclasses

from arbutusvale import yaml_documents

_STRICT = pydantic.ConfigDict(extra='forbid')
_validated = pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=_STRICT
)
Name = typing.Annotated[str, pydantic.Field(pattern='^[a-z0-9][a-z0-9-]*$')]
PublicKey = typing.Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')]
NON_IDEMPOTENT_METHODS = frozenset({'POST', 'PATCH'})
DEFAULT_LOAD_BOUND = 1.25


@_validated
class RandomPolicy:
    """Choose any live server of the pool; a baseline."""

    kind: typing.Literal['random']
    bound: float = pydantic.Field(default=DEFAULT_LOAD_BOUND, gt=1.0)


@_validated
class LeastLoadedPolicy:
    """Choose the server with the lowest load last seen; a baseline."""

    kind: typing.Literal['least_loaded']
    bound: float = pydantic.Field(default=DEFAULT_LOAD_BOUND, gt=1.0)


@_validated
class RendezvousPolicy:
    """Choose by rendezvous hash of the chat alone; a baseline."""

    kind: typing.Literal['rendezvous']
    bound: float = pydantic.Field(default=DEFAULT_LOAD_BOUND, gt=1.0)


@_validated
class DirectoryPolicy:
    """Choose the cache holder that the chat's home knows, within bound."""

    kind: typing.Literal['directory']
    bound: float = pydantic.Field(default=DEFAULT_LOAD_BOUND, gt=1.0)
    entries: int = pydantic.Field(default=4096, gt=0)
    horizon_s: float = pydantic.Field(default=21600.0, gt=0)


Policy = typing.Annotated[
    RandomPolicy | LeastLoadedPolicy | RendezvousPolicy | DirectoryPolicy,
    pydantic.Field(discriminator='kind'),
]


@_validated
class Organisation:
    """Grant an organisation services, a request rate and a share.

    ``keys`` are ``sha256:`` digests of its API keys; ``weight`` is its fair
    share of a full queue; higher ``priority`` runs first.
    """

    keys: list[
        typing.Annotated[str, pydantic.Field(pattern='^sha256:[0-9a-f]{64}$')]
    ]
    services: list[Name]
    rate: float = pydantic.Field(default=50.0, gt=0)
    burst: int = pydantic.Field(default=100, gt=0)
    concurrency: int = pydantic.Field(default=64, gt=0)
    weight: float = pydantic.Field(default=1.0, gt=0)
    priority: int = pydantic.Field(default=0, ge=0, le=9)


@_validated
class Route:
    """Say for matching calls of a plain service if they may repeat.

    ``path`` is a shell-style pattern below the service's root; the first
    matching route of a service decides.
    """

    path: str
    method: str = '*'
    idempotent: bool = True

    def matches(self, method: str, path: str) -> bool:
        """Return whether this route applies to the request."""
        if self.method not in ('*', method):
            return False
        return fnmatch.fnmatchcase(path, self.path)


@_validated
class ModelService:
    """Serve a model through the chat completions API."""

    kind: typing.Literal['model']
    pool: Name
    model: str
    timeout_s: float = pydantic.Field(default=120.0, gt=0)


@_validated
class PlainService:
    """Pass calls below ``/services/NAME/`` to an application."""

    kind: typing.Literal['plain']
    pool: Name
    routes: list[Route] = dataclasses.field(default_factory=list)
    timeout_s: float = pydantic.Field(default=30.0, gt=0)


Service = typing.Annotated[
    ModelService | PlainService, pydantic.Field(discriminator='kind')
]


@_validated
class Model:
    """Name a model and the version that a pool should serve."""

    name: str
    version: str


@_validated
class Pool:
    """Describe a group of interchangeable backend servers.

    ``slots`` is what one server runs at once, ``queue`` what its sidecar
    lets wait; ``checks_fencing`` says that its engines refuse orders with
    an old fencing number.  ``role`` is ordered from the pool's engines;
    when empty they keep theirs.
    """

    policy: Policy
    slots: int = pydantic.Field(default=8, gt=0)
    queue: int = pydantic.Field(default=16, ge=0)
    models: list[Model] = dataclasses.field(default_factory=list)
    checks_fencing: bool = False
    max_unavailable: int = pydantic.Field(default=1, gt=0)
    role: str = ''


@_validated
class Limits:
    """Hold limits that apply to every request."""

    max_body_bytes: int = pydantic.Field(default=4 * 1024 * 1024, gt=0)
    max_attempts: int = pydantic.Field(default=3, gt=0, le=5)
    retry_share: float = pydantic.Field(default=0.1, ge=0, le=1)
    claim_window_s: float = pydantic.Field(default=3600.0, gt=0)


@_validated
class Bundle:
    """Hold one whole configuration of the fleet."""

    version: str = pydantic.Field(min_length=1, max_length=64)
    organisations: dict[Name, Organisation]
    services: dict[Name, Service]
    pools: dict[Name, Pool]
    operators: typing.Annotated[
        dict[Name, PublicKey], pydantic.Field(min_length=1)
    ]
    limits: Limits = dataclasses.field(default_factory=Limits)

    @pydantic.model_validator(mode='after')
    def check_references(self) -> 'Bundle':
        """Check that every referenced service and pool is defined."""
        yaml_documents.raise_faults(
            [*self.find_unknown_services(), *self.find_unknown_pools()]
        )
        return self

    def find_unknown_services(self) -> list[yaml_documents.Fault]:
        """List the undefined services that organisations refer to."""
        return [
            yaml_documents.Fault(
                ('organisations', name, 'services', str(index)),
                f'names the unknown service {service}',
                'define it under services or remove it here',
            )
            for name, organisation in self.organisations.items()
            for index, service in enumerate(organisation.services)
            if service not in self.services
        ]

    def find_unknown_pools(self) -> list[yaml_documents.Fault]:
        """List the undefined pools that services refer to."""
        return [
            yaml_documents.Fault(
                ('services', name, 'pool'),
                f'names the unknown pool {service.pool}',
                'define it under pools or correct the name',
            )
            for name, service in self.services.items()
            if service.pool not in self.pools
        ]


def is_idempotent(service: Service, method: str, path: str) -> bool:
    """Return whether the bundle allows a request to be retried."""
    match service:
        case ModelService():
            return True
        case PlainService(routes=routes):
            for route in routes:
                if route.matches(method, path):
                    return route.idempotent
            return method not in NON_IDEMPOTENT_METHODS
