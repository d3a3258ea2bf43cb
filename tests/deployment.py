"""Deployments of real processes on loopback: platform, routers, sidecars."""

import base64
import dataclasses
import hashlib
import pathlib

import yaml

from arbutusvale.protocol import signing
from tests import processes

FLEET_KEY = 'fleet-key-of-the-tests'
OPERATOR_NAME = 'ana'
API_KEY = 'key-of-autosul'
OTHER_API_KEY = 'key-of-motolitoral'
CHAT_SERVICE = 'drafts'
PLAIN_SERVICE = 'bookings'
CHAT_POOL = 'drafts-pool'
PLAIN_POOL = 'bookings-pool'


@dataclasses.dataclass
class DeploymentConfig:
    """The size of a deployment and its fault proxies.

    ``engines``, ``services`` and ``routers`` count processes; ``slots`` is
    the concurrency of each engine. ``link_proxies`` puts a fault proxy
    between the routers and each sidecar, ``server_proxies`` one between each
    sidecar and its server. Each VM in ``log_proxies`` reaches the platform,
    and with it the log service, through a fault proxy of its own. Without
    ``fencing`` the engines accept orders with outdated fencing numbers.
    ``memory_bytes`` and ``descriptors`` limit each router and sidecar.
    """

    engines: int = 2
    services: int = 1
    routers: int = 2
    slots: int = 8
    link_proxies: bool = False
    server_proxies: bool = False
    log_proxies: tuple[str, ...] = ()
    fencing: bool = True
    memory_bytes: int | None = None
    descriptors: int | None = None


@dataclasses.dataclass
class ServerWithSidecar:
    """A backend server, its sidecar and their addresses.

    ``registered_address`` is where routers reach the sidecar: that of its
    fault proxy if there is one, else ``link_address``. ``admin`` is the
    address of the sidecar's admin server.
    """

    name: str
    pool: str
    server_address: str
    link_address: str
    admin: str
    server: processes.Program
    sidecar: processes.Program
    link_proxy_control: str = ''
    server_proxy_control: str = ''
    registered_address: str = ''

    def read_stats(self) -> dict:
        """Return the counters that the backend server keeps."""
        return processes.send_request(
            'GET', f'http://{self.server_address}/stats'
        ).json()


@dataclasses.dataclass
class RouterProcess:
    """A router process and its addresses."""

    name: str
    address: str
    admin: str
    program: processes.Program

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f'http://{self.address}'


class Deployment:
    """The processes of one deployment, killed by :meth:`close`."""

    def __init__(
        self, folder: pathlib.Path, config: DeploymentConfig | None = None
    ):
        self.folder = folder
        self.config = config or DeploymentConfig()
        self.ports = processes.PortBlock()
        self.programs: list[processes.Program] = []
        self.keys = signing.generate_keys()
        self.operators = {OPERATOR_NAME: self.keys.public}
        self.platform_address = self.ports.new_address()
        self.platform = self.make_program(
            'platform',
            ['standin', 'platform', f'--listen={self.platform_address}'],
        )
        self.log_proxy_controls: dict[str, str] = {}
        self.backends: dict[str, ServerWithSidecar] = {}
        self.routers: dict[str, RouterProcess] = {}
        self.version = 0

    # Definition of processes

    def make_program(
        self, name: str, arguments: list[str]
    ) -> processes.Program:
        """Define a process that :meth:`close` kills; does not start it."""
        program = processes.Program(name, arguments, self.folder)
        self.programs.append(program)
        return program

    def _start_fault_proxy(self, name: str, target: str) -> tuple[str, str]:
        """Start a fault proxy; return its address and control address."""
        address, control = self.ports.new_address(), self.ports.new_address()
        self.make_program(
            name,
            [
                'standin',
                'faults',
                f'--listen={address}',
                f'--target={target}',
                f'--control={control}',
            ],
        ).start()
        wait_for_http(f'http://{control}/stats')
        return address, control

    def _platform_url(self, vm: str) -> str:
        """Return the platform's URL as this VM reaches it."""
        if vm not in self.config.log_proxies:
            return f'http://{self.platform_address}'
        if vm not in self.log_proxy_controls:
            address, control = self._start_fault_proxy(
                f'{vm}-log-proxy', self.platform_address
            )
            self.log_proxy_controls[vm] = control
            return f'http://{address}'
        raise AssertionError(f'{vm} already has a proxy to the platform')

    def write_settings(self, vm: str, **fields) -> str:
        """Write the settings file of a VM; return its path."""
        path = self.folder / f'{vm}.yaml'
        fields = {
            'vm': vm,
            'data_centre': 'poa-1',
            'platform': self._platform_url(vm),
            'fleet_key': FLEET_KEY,
            'operators': self.operators,
            'grace_s': 10.0,
            **fields,
        }
        if self.config.memory_bytes is not None:
            fields['memory_bytes'] = self.config.memory_bytes
        path.write_text(yaml.safe_dump(fields))
        return str(path)

    def add_engine(
        self, name: str, pool: str = CHAT_POOL
    ) -> ServerWithSidecar:
        """Define an engine and its sidecar; starts neither."""
        address = self.ports.new_address()
        server = self.make_program(
            f'{name}-server',
            [
                'standin',
                'engine',
                f'--listen={address}',
                f'--name={name}',
                f'--slots={self.config.slots}',
                *([] if self.config.fencing else ['--no-fencing']),
            ],
        )
        return self._make_sidecar(name, pool, address, server, 'engine')

    def add_service(
        self, name: str, pool: str = PLAIN_POOL
    ) -> ServerWithSidecar:
        """Define a plain service and its sidecar; starts neither."""
        address = self.ports.new_address()
        server = self.make_program(
            f'{name}-server',
            ['standin', 'service', f'--listen={address}', f'--name={name}'],
        )
        return self._make_sidecar(name, pool, address, server, 'service')

    def _make_sidecar(
        self,
        name: str,
        pool: str,
        server_address: str,
        server: processes.Program,
        kind: str,
    ) -> ServerWithSidecar:
        """Define the sidecar of a server and start the fault proxies."""
        link_address, admin = (
            self.ports.new_address(),
            self.ports.new_address(),
        )
        sidecar_target, server_proxy_control = server_address, ''
        if self.config.server_proxies:
            sidecar_target, server_proxy_control = self._start_fault_proxy(
                f'{name}-server-proxy', server_address
            )
        registered, link_proxy_control = link_address, ''
        if self.config.link_proxies:
            registered, link_proxy_control = self._start_fault_proxy(
                f'{name}-link-proxy', link_address
            )
        path = self.write_settings(
            name,
            listen=link_address,
            admin=admin,
            pool=pool,
            kind=kind,
            server=sidecar_target,
        )
        sidecar = self.make_program(name, ['sidecar', path])
        sidecar.descriptors = self.config.descriptors
        backend = ServerWithSidecar(
            name=name,
            pool=pool,
            server_address=server_address,
            link_address=link_address,
            admin=admin,
            server=server,
            sidecar=sidecar,
            link_proxy_control=link_proxy_control,
            server_proxy_control=server_proxy_control,
            registered_address=registered,
        )
        self.backends[name] = backend
        return backend

    def add_router(self, name: str) -> RouterProcess:
        """Define a router; does not start it."""
        address, admin = self.ports.new_address(), self.ports.new_address()
        path = self.write_settings(name, listen=address, admin=admin)
        program = self.make_program(name, ['router', path])
        program.descriptors = self.config.descriptors
        self.routers[name] = RouterProcess(name, address, admin, program)
        return self.routers[name]

    # Start and registration

    def start(self) -> 'Deployment':
        """Start all processes, publish a bundle and wait until ready."""
        self.platform.start()
        config = self.config
        wait_for_http(f'http://{self.platform_address}/vms')
        for number in range(1, config.engines + 1):
            self.add_engine(f'engine-{number}')
        for number in range(1, config.services + 1):
            self.add_service(f'service-{number}')
        for number in range(1, config.routers + 1):
            self.add_router(f'entry-{number}')
        self.publish(self.make_bundle())
        for backend in self.backends.values():
            self.start_backend(backend, wait=False)
        for router in self.routers.values():
            self.start_router(router, wait=False)
        self.wait_until_ready()
        return self

    def start_backend(
        self, backend: ServerWithSidecar, wait: bool = True
    ) -> None:
        """Start a server and its sidecar and register their VM."""
        backend.server.start()
        backend.sidecar.start()
        self.register_backend(backend)
        if wait:
            wait_for_ready(backend.admin, backend.sidecar)

    def start_router(self, router: RouterProcess, wait: bool = True) -> None:
        """Start a router and register its VM."""
        router.program.start()
        self.register_vm(
            router.name, 'router', router.address, router.admin, ''
        )
        if wait:
            wait_for_ready(router.admin, router.program)

    def wait_until_ready(self) -> None:
        """Wait until every running sidecar and router is ready."""
        for backend in self.backends.values():
            if backend.sidecar.is_running():
                wait_for_ready(backend.admin, backend.sidecar)
        for router in self.routers.values():
            if router.program.is_running():
                wait_for_ready(router.admin, router.program)

    def register_backend(
        self, backend: ServerWithSidecar, state: str = 'live'
    ) -> None:
        """Add a sidecar's VM to the platform's VM list, or update it."""
        self.register_vm(
            backend.name,
            'sidecar',
            backend.registered_address,
            backend.admin,
            backend.pool,
            state,
        )

    def register_vm(
        self,
        name: str,
        role: str,
        address: str,
        admin: str,
        pool: str,
        state: str = 'live',
    ) -> None:
        """Add a VM to the platform's VM list, or update it."""
        fields = {
            'name': name,
            'role': role,
            'address': address,
            'admin': admin,
            'data_centre': 'poa-1',
            'pool': pool,
            'state': state,
        }
        self.call_platform('PUT', f'/vms/{name}', fields)

    def deregister_vm(self, name: str) -> None:
        """Remove a VM from the platform's VM list."""
        self.call_platform('DELETE', f'/vms/{name}')

    def call_platform(self, method: str, path: str, body=None):
        """Send a request to the platform stand-in; fail on an error status."""
        answer = processes.send_request(
            method, f'http://{self.platform_address}{path}', body
        )
        assert answer.status < 300, (path, answer)
        return answer

    def set_platform_faults(self, **faults) -> None:
        """Set the faults that the platform stand-in injects."""
        self.call_platform('POST', '/faults', faults)

    @staticmethod
    def set_faults(address: str, **faults) -> None:
        """Set faults of a server stand-in or of a proxy (control address)."""
        answer = processes.send_request(
            'POST', f'http://{address}/faults', faults
        )
        assert answer.status < 300, answer

    # Bundles

    def make_bundle(self, **changes) -> dict:
        """Make the next bundle version; ``changes`` replace top-level keys."""
        self.version += 1
        document = {
            'version': f'v{self.version}',
            'organisations': {
                'autosul': make_organisation(API_KEY),
                'motolitoral': make_organisation(OTHER_API_KEY),
            },
            'services': {
                CHAT_SERVICE: {
                    'kind': 'model',
                    'pool': CHAT_POOL,
                    'model': 'lembrete-1',
                },
                PLAIN_SERVICE: {'kind': 'plain', 'pool': PLAIN_POOL},
            },
            'pools': {
                CHAT_POOL: {
                    'policy': {'kind': 'directory', 'bound': 1.25},
                    'slots': self.config.slots,
                },
                PLAIN_POOL: {'policy': {'kind': 'least_loaded'}},
            },
            'operators': self.operators,
        }
        return {**document, **changes}

    def write_bundle(self, document: dict, name: str = 'bundle') -> str:
        """Write a bundle document to a file; return its path."""
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(document))
        return str(path)

    def publish(self, document: dict) -> int:
        """Sign a bundle, append it to the config stream, return its offset."""
        body = yaml.safe_dump(document)
        signed = signing.sign(
            body,
            OPERATOR_NAME,
            self.keys.private,
            self.head_digest(),
            f'publication-{self.version}',
        )
        record = signing.encode(signed)
        answer = processes.send_request(
            'POST', f'http://{self.platform_address}/log/config', record
        )
        return answer.json()['offset']

    def head_digest(self) -> bytes:
        """Return the digest of the last config record, or b''."""
        records = self.read_stream('config')
        if not records:
            return b''
        return signing.digest(records[-1])

    def read_stream(self, stream: str) -> list[bytes]:
        """Return all retained records of a stream of the log service."""
        path = f'/log/{stream}?wait=0&from='
        base_url = f'http://{self.platform_address}'
        answer = processes.send_request('GET', f'{base_url}{path}0')
        if answer.status == 410:
            oldest = answer.json()['oldest']
            answer = self.call_platform('GET', f'{path}{oldest}')
        return [
            base64.b64decode(record['data'])
            for record in answer.json()['records']
        ]

    def write_operator_settings(self) -> str:
        """Write the operator's key and settings file; return its path."""
        key_path = self.folder / 'operator.key'
        if not key_path.exists():
            key_path.write_text(self.keys.private)
        path = self.folder / 'operator.yaml'
        fields = {
            'platform': f'http://{self.platform_address}',
            'operators': self.operators,
            'name': OPERATOR_NAME,
            'key_file': str(key_path),
        }
        path.write_text(yaml.safe_dump(fields))
        return str(path)

    # Requests

    def send_chat(
        self,
        turns: list[str],
        router: str = 'entry-1',
        key: str = API_KEY,
        headers: dict | None = None,
        stream: bool = False,
        timeout_s: float = 30.0,
    ) -> processes.Answer:
        """Send a chat whose user and assistant turns alternate."""
        roles = ['user', 'assistant']
        body = {
            'model': 'lembrete-1',
            'stream': stream,
            'messages': [
                {'role': roles[number % 2], 'content': text}
                for number, text in enumerate(turns)
            ],
        }
        return processes.send_request(
            'POST',
            f'{self.routers[router].url}/v1/chat/completions',
            body,
            headers={'Authorization': f'Bearer {key}', **(headers or {})},
            timeout_s=timeout_s,
        )

    def post_booking(
        self,
        booking: str,
        router: str = 'entry-1',
        key: str = API_KEY,
        idempotency_key: str = '',
        headers: dict | None = None,
        timeout_s: float = 30.0,
        token: str = '',
    ) -> processes.Answer:
        """Send a booking; non-idempotent, the bundle's default."""
        request_headers = {'Authorization': f'Bearer {key}', **(headers or {})}
        if idempotency_key:
            request_headers['Idempotency-Key'] = idempotency_key
        url = self.routers[router].url
        return processes.send_request(
            'POST',
            f'{url}/services/{PLAIN_SERVICE}/bookings',
            {'booking': booking, 'token': token or booking},
            headers=request_headers,
            timeout_s=timeout_s,
        )

    def count_booking_runs(self) -> dict[str, int]:
        """Count how often each booking ran, over all running services."""
        total: dict[str, int] = {}
        for backend in self.backends.values():
            if backend.pool != PLAIN_POOL or not backend.server.is_running():
                continue
            for booking, runs in backend.read_stats()['bookings'].items():
                total[booking] = total.get(booking, 0) + runs
        return total

    def close(self) -> None:
        """Kill every process of the deployment."""
        for program in reversed(self.programs):
            program.close()
        self.ports.guard_socket.close()


def make_organisation(key: str, **fields) -> dict:
    """Make an organisation that may use both services."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return {
        'keys': [f'sha256:{digest}'],
        'services': [CHAT_SERVICE, PLAIN_SERVICE],
        'rate': 1000.0,
        'burst': 1000,
        'concurrency': 500,
        **fields,
    }


def wait_for_http(url: str) -> None:
    """Wait until a URL returns any HTTP response."""
    processes.wait_until(
        lambda: processes.try_request('GET', url), what=f'no answer from {url}'
    )


def wait_for_ready(admin: str, program: processes.Program) -> None:
    """Wait until a process is ready and a sidecar has read all claims."""

    def is_ready() -> bool:
        if not program.is_running():
            raise AssertionError(
                f'{program.name} ended: {program.read_output()[-2000:]}'
            )
        answer = processes.try_request('GET', f'http://{admin}/health/ready')
        if answer is None or answer.status != 200:
            return False
        status = processes.send_request('GET', f'http://{admin}/status').json()
        return status.get('claims_ready', True)

    processes.wait_until(is_ready, what=f'{program.name} is not ready')
