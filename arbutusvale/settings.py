"""Settings of the programs, which each reads from a YAML file at its start.

Times are in seconds, sizes in bytes, addresses are ``host:port``.
"""

import dataclasses
import enum

import pydantic
import pydantic.dataclasses

from arbutusvale import yaml_documents

FORBID_UNKNOWN_FIELDS = pydantic.ConfigDict(extra='forbid')
MIN_FLEET_KEY_LENGTH = 16
MIN_MEMORY_BYTES = 128 * 1024 * 1024
DEFAULT_MEMORY_BYTES = 2 * 1024 * 1024 * 1024


class ServerKind(enum.StrEnum):
    """Kinds of backend server: model engines and plain HTTP services."""

    ENGINE = 'engine'
    SERVICE = 'service'


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=FORBID_UNKNOWN_FIELDS
)
class ProcessSettings:
    """Hold what every process of the fleet has to be told.

    ``memory_bytes`` is the memory that the process may use.
    """

    vm: str = pydantic.Field(min_length=1)
    data_centre: str = pydantic.Field(min_length=1)
    listen: str
    admin: str
    platform: str
    fleet_key: str = pydantic.Field(min_length=MIN_FLEET_KEY_LENGTH)
    operators: dict[str, str] = dataclasses.field(default_factory=dict)
    grace_s: float = pydantic.Field(default=30.0, gt=0)
    memory_bytes: int = pydantic.Field(
        default=DEFAULT_MEMORY_BYTES, ge=MIN_MEMORY_BYTES
    )
    log_level: str = pydantic.Field(
        default='info', pattern='^(debug|info|warning|error)$'
    )

    @pydantic.field_validator('listen', 'admin')
    @classmethod
    def check_address(cls, value: str) -> str:
        """Check that a value is ``host:port``, with a port up to 65535."""
        split_address(value)
        return value


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=FORBID_UNKNOWN_FIELDS
)
class RouterSettings(ProcessSettings):
    """Hold the settings of ``arbutusvale-router``."""

    link_idle_s: float = pydantic.Field(default=60.0, gt=0)


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=FORBID_UNKNOWN_FIELDS
)
class SidecarSettings(ProcessSettings):
    """Hold the settings of ``arbutusvale-sidecar``.

    ``server`` is the address of the backend server beside it.
    """

    kind: ServerKind
    pool: str = pydantic.Field(min_length=1)
    server: str = pydantic.Field(min_length=1)


@pydantic.dataclasses.dataclass(
    frozen=True, kw_only=True, config=FORBID_UNKNOWN_FIELDS
)
class OperatorSettings:
    """Hold the settings of the operator's command line."""

    platform: str
    operators: dict[str, str] = dataclasses.field(default_factory=dict)
    name: str = ''
    key_file: str = ''


def read_router(path: str) -> RouterSettings:
    """Read the router's settings file."""
    return yaml_documents.read(path, RouterSettings)


def read_sidecar(path: str) -> SidecarSettings:
    """Read the sidecar's settings file."""
    return yaml_documents.read(path, SidecarSettings)


def read_operator(path: str) -> OperatorSettings:
    """Read the operator's settings file."""
    return yaml_documents.read(path, OperatorSettings)


@dataclasses.dataclass(frozen=True)
class Address:
    """The host and port of a TCP endpoint."""

    host: str
    port: int


def split_address(text: str) -> Address:
    """Parse ``host:port``; raise ValueError with the remedy."""
    host, separator, port = text.rpartition(':')
    if not (separator and host and port.isdigit() and int(port) < 65536):
        raise ValueError(f'{text!r} is not an address; write it as host:port')
    return Address(host, int(port))
