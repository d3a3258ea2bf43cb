"""Build a whole deployment of real processes for tests."""

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
    """Say what a deployment consists of.

    ``link_proxies`` and ``server_proxies`` put a fault proxy before the
    sidecars or before their servers; ``log_proxies`` names the VMs that
    reach the platform through a proxy of their own.
    """

    engines: int = 2
    services: int = 1
    routers: int = 2
    slots: int = 8
    link_proxies: bool = False
    server_proxies: bool = False
    log_proxies: tuple[str, ...] = ()
    fencing: bool = True


@dataclasses.dataclass
class ServerWithSidecar:
    """Hold a backend server and its sidecar."""

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
        """Return the backend server's own counts."""
        return processes.send_request(
            'GET', f'http://{self.server_address}/stats'
        ).json()


@dataclasses.dataclass
class RouterProcess:
    """Hold a router."""

    name: str
    address: str
    admin: str
    program: processes.Program

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f'http://{self.address}'


class Deployment:
    """Start, steer and end the processes of one deployment."""

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

    # Building

    def make_program(
        self, name: str, arguments: list[str]
    ) -> processes.Program:
        """Make a process that is ended with the deployment."""
        program = processes.Program(name, arguments, self.folder)
        self.programs.append(program)
        return program

    def _start_fault_proxy(self, name: str, target: str) -> tuple[str, str]:
        """Start a fault proxy; returns its address and control address."""
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
        raise AssertionError(f'{vm} has its proxy already')

    def write_settings(self, vm: str, **fields) -> str:
        """Write a settings file; returns its path."""
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
        path.write_text(yaml.safe_dump(fields))
        return str(path)

    def add_engine(
        self, name: str, pool: str = CHAT_POOL
    ) -> ServerWithSidecar:
        """Make an engine and its sidecar; starts neither."""
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
        """Make a plain service and its sidecar; starts neither."""
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
        """Make the sidecar of a server, behind proxies at need."""
        link_address, admin = (
            self.ports.new_address(),
            self.ports.new_address(),
        )
        server_seen, server_proxy_control = server_address, ''
        if self.config.server_proxies:
            server_seen, server_proxy_control = self._start_fault_proxy(
                f'{name}-server-proxy', server_address
            )
        listed, link_proxy_control = link_address, ''
        if self.config.link_proxies:
            listed, link_proxy_control = self._start_fault_proxy(
                f'{name}-link-proxy', link_address
            )
        path = self.write_settings(
            name,
            listen=link_address,
            admin=admin,
            pool=pool,
            kind=kind,
            server=server_seen,
        )
        sidecar = self.make_program(name, ['sidecar', path])
        made = ServerWithSidecar(
            name=name,
            pool=pool,
            server_address=server_address,
            link_address=link_address,
            admin=admin,
            server=server,
            sidecar=sidecar,
            link_proxy_control=link_proxy_control,
            server_proxy_control=server_proxy_control,
            registered_address=listed,
        )
        self.backends[name] = made
        return made

    def add_router(self, name: str) -> RouterProcess:
        """Make a router; does not start it."""
        address, admin = self.ports.new_address(), self.ports.new_address()
        path = self.write_settings(name, listen=address, admin=admin)
        program = self.make_program(name, ['router', path])
        self.routers[name] = RouterProcess(name, address, admin, program)
        return self.routers[name]

    # Running

    def start(self) -> 'Deployment':
        """Start everything, roll out a bundle and wait until ready."""
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
        """Start a server and its sidecar and list the VM."""
        backend.server.start()
        backend.sidecar.start()
        self.register_backend(backend)
        if wait:
            wait_for_ready(backend.admin, backend.sidecar)

    def start_router(self, router: RouterProcess, wait: bool = True) -> None:
        """Start a router and list its VM."""
        router.program.start()
        self.register_vm(
            router.name, 'router', router.address, router.admin, ''
        )
        if wait:
            wait_for_ready(router.admin, router.program)

    def wait_until_ready(self) -> None:
        """Wait until every started process is ready and knows the list."""
        for backend in self.backends.values():
            if backend.sidecar.is_running():
                wait_for_ready(backend.admin, backend.sidecar)
        for router in self.routers.values():
            if router.program.is_running():
                wait_for_ready(router.admin, router.program)

    def register_backend(
        self, backend: ServerWithSidecar, state: str = 'live'
    ) -> None:
        """Put a sidecar's VM on the platform's list."""
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
        """Put one VM on the platform's list."""
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
        """Take a VM off the platform's list."""
        self.call_platform('DELETE', f'/vms/{name}')

    def call_platform(self, method: str, path: str, body=None):
        """Call the platform stand-in."""
        answer = processes.send_request(
            method, f'http://{self.platform_address}{path}', body
        )
        assert answer.status < 300, (path, answer)
        return answer

    def set_platform_faults(self, **faults) -> None:
        """Set faults of the platform stand-in."""
        self.call_platform('POST', '/faults', faults)

    @staticmethod
    def set_faults(address: str, **faults) -> None:
        """Set faults of a server stand-in or at a proxy's control."""
        answer = processes.send_request(
            'POST', f'http://{address}/faults', faults
        )
        assert answer.status < 300, answer

    # Bundles

    def make_bundle(self, **changes) -> dict:
        """Make a bundle document; ``changes`` replace its top fields."""
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
        """Write a bundle document; returns its path."""
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(document))
        return str(path)

    def publish(self, document: dict) -> int:
        """Sign a first bundle and append it; returns its offset."""
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
        """Return the digest of the stream's last record, or none."""
        page = self.read_stream('config')
        if not page:
            return b''
        return signing.digest(page[-1])

    def read_stream(self, stream: str) -> list[bytes]:
        """Return all retained records of a stream."""
        path = f'/log/{stream}?wait=0&from='
        root = f'http://{self.platform_address}'
        answer = processes.send_request('GET', f'{root}{path}0')
        if answer.status == 410:
            oldest = answer.json()['oldest']
            answer = self.call_platform('GET', f'{path}{oldest}')
        return [
            base64.b64decode(record['data'])
            for record in answer.json()['records']
        ]

    def write_operator_settings(self) -> str:
        """Write the operator's settings; returns their path."""
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

    # Calls

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
        """Send a booking, non-idempotent by the bundle's default."""
        sent = {'Authorization': f'Bearer {key}', **(headers or {})}
        if idempotency_key:
            sent['Idempotency-Key'] = idempotency_key
        url = self.routers[router].url
        return processes.send_request(
            'POST',
            f'{url}/services/{PLAIN_SERVICE}/bookings',
            {'booking': booking, 'token': token or booking},
            headers=sent,
            timeout_s=timeout_s,
        )

    def count_booking_runs(self) -> dict[str, int]:
        """Add up the runs of each booking over all services."""
        total: dict[str, int] = {}
        for backend in self.backends.values():
            if backend.pool != PLAIN_POOL or not backend.server.is_running():
                continue
            for booking, runs in backend.read_stats()['bookings'].items():
                total[booking] = total.get(booking, 0) + runs
        return total

    def close(self) -> None:
        """End every process of the deployment."""
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
    """Wait until a URL answers at all."""
    processes.wait_until(
        lambda: processes.try_request('GET', url), what=f'no answer from {url}'
    )


def wait_for_ready(admin: str, program: processes.Program) -> None:
    """Wait until a process is ready and, beside a server, knows claims."""

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
