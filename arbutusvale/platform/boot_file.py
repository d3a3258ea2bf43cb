"""Reader of the settings file that the platform gives a process."""

import tomllib

from arbutusvale import errors
from arbutusvale.protocol import edge_settings

PATH_VARIABLE = 'ARBUTUSVALE_BOOT'
READINESS_PATH = '/-/readyz'
# Set as `metrics` in deploy/system.toml; outside the internal port range.
METRICS_PORT = 9464
_MEBIBYTE = 1 << 20
# The platform reserves these of MaxFds for files; the rest is for sockets.
_RESERVED_DESCRIPTORS = 200
# The default limit of open files for a process on Linux.
_DEFAULT_DESCRIPTORS = 1024.0


def read(path: str) -> edge_settings.EdgeSettings:
    """Read the settings; raise DocumentError with all invalid fields."""
    try:
        with open(path, 'rb') as file:
            document = tomllib.load(file)
    except (OSError, ValueError) as error:
        raise errors.DocumentError(
            path, [f'it cannot be read: {error}']
        ) from error
    return _SettingsReader(path, document).read()


class _SettingsReader:
    """Typed access to the fields of a document, which collects its faults."""

    def __init__(self, path: str, document: dict):
        self.path = path
        self.document = document
        self.faults: list[str] = []

    def read(self) -> edge_settings.EdgeSettings:
        """Return the settings; raise DocumentError if any field is invalid."""
        settings = edge_settings.EdgeSettings(
            name=self._read_text('NodeName'),
            data_centre=self._read_text('Zone'),
            host=self._read_text('Ip'),
            callers=self._read_address('Listen.Frontend'),
            readiness=self._read_address('Listen.Ready'),
            store=self._read_address('Platform.Address'),
            seeds=self._read_seeds(),
            peer_port=self._read_peer_port(),
            metrics_port=METRICS_PORT,
            memory_bytes=int(self._read_number('Limits.MemoryMb') * _MEBIBYTE),
            link_mbit_per_s=self._read_number('Limits.LinkMbps', 0.0),
            max_sockets=self._compute_max_sockets(),
            bounds=self._read_bounds(),
            pace_all_pools=self._get('Pacing.AllPools') is True,
            is_first_start=self._get('Bootstrap') is True,
        )
        if self.faults:
            raise errors.DocumentError(self.path, self.faults)
        return settings

    def _compute_max_sockets(self) -> int:
        """Return the number of file descriptors left for sockets."""
        descriptors = int(
            self._read_number('Limits.MaxFds', _DEFAULT_DESCRIPTORS)
        )
        return max(1, descriptors - _RESERVED_DESCRIPTORS)

    def _read_bounds(self) -> edge_settings.Bounds:
        """Return the operators' limits, with times in seconds."""
        return edge_settings.Bounds(
            contact_s=self._read_number('Bounds.ContactMs') / 1000,
            drain_s=self._read_number('Bounds.DrainMs') / 1000,
            grace_s=self._read_number('Bounds.GraceS'),
            config_apply_s=self._read_number('Bounds.ConfigApplyMs') / 1000,
            retry_ratio=self._read_number('Bounds.RetryBudgetRatio'),
            retry_window_s=self._read_number('Bounds.BudgetWindowS'),
            retry_reserve=self._read_number('Bounds.RetryBudgetSlack'),
            load_factor=self._read_number('Bounds.CapacityFactor', 2.0),
            evacuation_s=self._read_evacuation_s(),
            warmup_overage=self._read_number('Bounds.WarmupOverage', 1.5),
            warmup_slack=self._read_number('Bounds.WarmupSlack', 5.0),
        )

    def _read_evacuation_s(self) -> float | None:
        """Return the bound of evacuations in seconds; None if not set."""
        name = 'Bounds.EvacuationMs'
        if self._get(name) is None:
            return None
        return self._read_number(name) / 1000

    def _get(self, name: str) -> object:
        """Return the value at a dotted name, or None."""
        value: object = self.document
        for key in name.split('.'):
            if not isinstance(value, dict):
                return None
            value = value.get(key)
        return value

    def _read_text(self, name: str) -> str:
        """Return a non-empty string, or record a fault."""
        value = self._get(name)
        if isinstance(value, str) and value:
            return value
        self.faults.append(f'{name}: give a non-empty string')
        return ''

    def _read_number(self, name: str, default: float | None = None) -> float:
        """Return a non-negative number, or record a fault."""
        value = self._get(name)
        if value is None and default is not None:
            return default
        if isinstance(value, int | float) and value >= 0:
            return float(value)
        self.faults.append(f'{name}: give a number of 0 or more')
        return 0.0

    def _read_address(self, name: str) -> edge_settings.Address:
        """Return an address, or record a fault."""
        address = _parse_address(self._get(name))
        if address is None:
            self.faults.append(f'{name}: give IP:PORT')
            return edge_settings.Address('', 0)
        return address

    def _read_seeds(self) -> tuple[edge_settings.Address, ...]:
        """Return the valid seeds only; any seed may be stale anyway."""
        seeds = self._get('Seeds')
        if not isinstance(seeds, list):
            return ()
        parsed = (_parse_address(seed) for seed in seeds)
        return tuple(seed for seed in parsed if seed is not None)

    def _read_peer_port(self) -> int:
        """Return the first port of the internal range, or record a fault."""
        ports = self._get('InternalPortRange')
        match ports:
            case [int(first), int()]:
                return first
        self.faults.append('InternalPortRange: give [FIRST, LAST]')
        return 0


def _parse_address(value: object) -> edge_settings.Address | None:
    """Parse IP:PORT; return None if it is malformed."""
    if not isinstance(value, str):
        return None
    host, _, port = value.rpartition(':')
    if not host or not port.isdigit():
        return None
    return edge_settings.Address(host, int(port))
