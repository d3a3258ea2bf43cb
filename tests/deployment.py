"""Build a whole deployment of real processes for tests."""

import base64
import dataclasses
import hashlib
import pathlib

import yaml

from arbutusvale.protocol import signing
from tests import processes

FLEET_KEY = 'fleet-key-of-the-tests'
OPERATOR = 'ana'
API_KEY = 'key-of-autosul'
OTHER_API_KEY = 'key-of-motolitoral'
CHAT_SERVICE = 'drafts'
PLAIN_SERVICE = 'bookings'
CHAT_POOL = 'drafts-pool'
PLAIN_POOL = 'bookings-pool'


@dataclasses.dataclass
class Shape:
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
class Guarded:
    """Hold a backend server and its sidecar."""

    name: str
    pool: str
    server_address: str
    link_address: str
    admin: str
    server: processes.Program
    sidecar: processes.Program
    link_control: str = ''
    server_control: str = ''
    listed_address: str = ''

    def stats(self) -> dict:
        """Return the backend server's own counts."""
        return processes.call(
            'GET', f'http://{self.server_address}/stats'
        ).json()


@dataclasses.dataclass
class Entry:
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

    def __init__(self, folder: pathlib.Path, shape: Shape | None = None):
        self.folder = folder
        self.shape = shape or Shape()
        self.ports = processes.PortBlock()
        self.programs: list[processes.Program] = []
        self.keys = signing.generate_keys()
        self.operators = {OPERATOR: self.keys.public}
        self.platform_address = self.ports.address()
        self.platform = self.make_program(
            'platform',
            ['standin', 'platform', f'--listen={self.platform_address}'],
        )
        self.log_controls: dict[str, str] = {}
        self.guarded: dict[str, Guarded] = {}
        self.routers: dict[str, Entry] = {}
        self.version = 0

    # Building

    def make_program(
        self, name: str, arguments: list[str]
    ) -> processes.Program:
        """Make a process that is ended with the deployment."""
        program = processes.Program(name, arguments, self.folder)
        self.programs.append(program)
        return program

    def _proxy(self, name: str, target: str) -> tuple[str, str]:
        """Start a fault proxy; returns its address and control address."""
        address, control = self.ports.address(), self.ports.address()
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

    def _platform_for(self, vm: str) -> str:
        """Return the platform's URL as this VM reaches it."""
        if vm not in self.shape.log_proxies:
            return f'http://{self.platform_address}'
        if vm not in self.log_controls:
            address, control = self._proxy(
                f'{vm}-log-proxy', self.platform_address
            )
            self.log_controls[vm] = control
            return f'http://{address}'
        raise AssertionError(f'{vm} has its proxy already')

    def write_settings(self, vm: str, **fields) -> str:
        """Write a settings file; returns its path."""
        path = self.folder / f'{vm}.yaml'
        fields = {
            'vm': vm,
            'data_centre': 'poa-1',
            'platform': self._platform_for(vm),
            'fleet_key': FLEET_KEY,
            'operators': self.operators,
            'grace_s': 10.0,
            **fields,
        }
        path.write_text(yaml.safe_dump(fields))
        return str(path)

    def add_engine(self, name: str, pool: str = CHAT_POOL) -> Guarded:
        """Make an engine and its sidecar; starts neither."""
        address = self.ports.address()
        server = self.make_program(
            f'{name}-server',
            [
                'standin',
                'engine',
                f'--listen={address}',
                f'--name={name}',
                f'--slots={self.shape.slots}',
                *([] if self.shape.fencing else ['--no-fencing']),
            ],
        )
        return self._guard(name, pool, address, server, 'engine')

    def add_service(self, name: str, pool: str = PLAIN_POOL) -> Guarded:
        """Make a plain service and its sidecar; starts neither."""
        address = self.ports.address()
        server = self.make_program(
            f'{name}-server',
            ['standin', 'service', f'--listen={address}', f'--name={name}'],
        )
        return self._guard(name, pool, address, server, 'service')

    def _guard(
        self,
        name: str,
        pool: str,
        server_address: str,
        server: processes.Program,
        kind: str,
    ) -> Guarded:
        """Make the sidecar of a server, behind proxies at need."""
        link_address, admin = self.ports.address(), self.ports.address()
        server_seen, server_control = server_address, ''
        if self.shape.server_proxies:
            server_seen, server_control = self._proxy(
                f'{name}-server-proxy', server_address
            )
        listed, link_control = link_address, ''
        if self.shape.link_proxies:
            listed, link_control = self._proxy(
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
        made = Guarded(
            name=name,
            pool=pool,
            server_address=server_address,
            link_address=link_address,
            admin=admin,
            server=server,
            sidecar=sidecar,
            link_control=link_control,
            server_control=server_control,
            listed_address=listed,
        )
        self.guarded[name] = made
        return made

    def add_router(self, name: str) -> Entry:
        """Make a router; does not start it."""
        address, admin = self.ports.address(), self.ports.address()
        path = self.write_settings(name, listen=address, admin=admin)
        program = self.make_program(name, ['router', path])
        self.routers[name] = Entry(name, address, admin, program)
        return self.routers[name]

    # Running

    def start(self) -> 'Deployment':
        """Start everything, roll out a bundle and wait until ready."""
        self.platform.start()
        shape = self.shape
        wait_for_http(f'http://{self.platform_address}/vms')
        for number in range(1, shape.engines + 1):
            self.add_engine(f'engine-{number}')
        for number in range(1, shape.services + 1):
            self.add_service(f'service-{number}')
        for number in range(1, shape.routers + 1):
            self.add_router(f'entry-{number}')
        self.publish(self.make_bundle())
        for guarded in self.guarded.values():
            self.start_guarded(guarded, wait=False)
        for entry in self.routers.values():
            self.start_router(entry, wait=False)
        self.wait_ready()
        return self

    def start_guarded(self, guarded: Guarded, wait: bool = True) -> None:
        """Start a server and its sidecar and list the VM."""
        guarded.server.start()
        guarded.sidecar.start()
        self.list_vm(guarded)
        if wait:
            wait_for_ready(guarded.admin, guarded.sidecar)

    def start_router(self, entry: Entry, wait: bool = True) -> None:
        """Start a router and list its VM."""
        entry.program.start()
        self.put_vm(entry.name, 'router', entry.address, entry.admin, '')
        if wait:
            wait_for_ready(entry.admin, entry.program)

    def wait_ready(self) -> None:
        """Wait until every started process is ready and knows the list."""
        for guarded in self.guarded.values():
            if guarded.sidecar.running():
                wait_for_ready(guarded.admin, guarded.sidecar)
        for entry in self.routers.values():
            if entry.program.running():
                wait_for_ready(entry.admin, entry.program)

    def list_vm(self, guarded: Guarded, state: str = 'live') -> None:
        """Put a sidecar's VM on the platform's list."""
        self.put_vm(
            guarded.name,
            'sidecar',
            guarded.listed_address,
            guarded.admin,
            guarded.pool,
            state,
        )

    def put_vm(
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
        self.platform_call('PUT', f'/vms/{name}', fields)

    def unlist_vm(self, name: str) -> None:
        """Take a VM off the platform's list."""
        self.platform_call('DELETE', f'/vms/{name}')

    def platform_call(self, method: str, path: str, body=None):
        """Call the platform stand-in."""
        answer = processes.call(
            method, f'http://{self.platform_address}{path}', body
        )
        assert answer.status < 300, (path, answer)
        return answer

    def platform_faults(self, **faults) -> None:
        """Set faults of the platform stand-in."""
        self.platform_call('POST', '/faults', faults)

    @staticmethod
    def set_faults(address: str, **faults) -> None:
        """Set faults of a server stand-in or at a proxy's control."""
        answer = processes.call('POST', f'http://{address}/faults', faults)
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
                    'slots': self.shape.slots,
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
            OPERATOR,
            self.keys.private,
            self.head_digest(),
            f'publication-{self.version}',
        )
        record = signing.encode(signed)
        answer = processes.call(
            'POST', f'http://{self.platform_address}/log/config', record
        )
        return answer.json()['offset']

    def head_digest(self) -> bytes:
        """Return the digest of the stream's last record, or none."""
        page = self.read_log('config')
        if not page:
            return b''
        return signing.digest(page[-1])

    def read_log(self, stream: str) -> list[bytes]:
        """Return all retained records of a stream."""
        path = f'/log/{stream}?wait=0&from='
        root = f'http://{self.platform_address}'
        answer = processes.call('GET', f'{root}{path}0')
        if answer.status == 410:
            oldest = answer.json()['oldest']
            answer = self.platform_call('GET', f'{path}{oldest}')
        return [
            base64.b64decode(record['data'])
            for record in answer.json()['records']
        ]

    def operator_settings(self) -> str:
        """Write the operator's settings; returns their path."""
        key_path = self.folder / 'operator.key'
        if not key_path.exists():
            key_path.write_text(self.keys.private)
        path = self.folder / 'operator.yaml'
        fields = {
            'platform': f'http://{self.platform_address}',
            'operators': self.operators,
            'name': OPERATOR,
            'key_file': str(key_path),
        }
        path.write_text(yaml.safe_dump(fields))
        return str(path)

    # Calls

    def chat(
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
        return processes.call(
            'POST',
            f'{self.routers[router].url}/v1/chat/completions',
            body,
            headers={'Authorization': f'Bearer {key}', **(headers or {})},
            timeout_s=timeout_s,
        )

    def book(
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
        return processes.call(
            'POST',
            f'{url}/services/{PLAIN_SERVICE}/bookings',
            {'booking': booking, 'token': token or booking},
            headers=sent,
            timeout_s=timeout_s,
        )

    def count_bookings(self) -> dict[str, int]:
        """Add up the runs of each booking over all services."""
        total: dict[str, int] = {}
        for guarded in self.guarded.values():
            if guarded.pool != PLAIN_POOL or not guarded.server.running():
                continue
            for booking, runs in guarded.stats()['bookings'].items():
                total[booking] = total.get(booking, 0) + runs
        return total

    def close(self) -> None:
        """End every process of the deployment."""
        for program in reversed(self.programs):
            program.close()
        self.ports.guard.close()


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
        lambda: processes.try_call('GET', url), what=f'no answer from {url}'
    )


def wait_for_ready(admin: str, program: processes.Program) -> None:
    """Wait until a process is ready and, beside a server, knows claims."""

    def is_ready() -> bool:
        if not program.running():
            raise AssertionError(
                f'{program.name} ended: {program.output()[-2000:]}'
            )
        answer = processes.try_call('GET', f'http://{admin}/health/ready')
        if answer is None or answer.status != 200:
            return False
        status = processes.call('GET', f'http://{admin}/status').json()
        return status.get('claims_ready', True)

    processes.wait_until(is_ready, what=f'{program.name} is not ready')
