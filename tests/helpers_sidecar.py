"""Fakes and builders for tests of a sidecar's parts."""

from arbutusvale import errors
from arbutusvale.protocol import bundle
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports


class Clock:
    """A clock that tests set by hand."""

    def __init__(self, now: float = 100.0):
        self.now = now

    def __call__(self) -> float:
        return self.now


class FakeLink:
    """A link that records what was sent and may deliver it elsewhere."""

    def __init__(self, vm, deliver=None):
        self.vm = vm
        self.incarnation = 1
        self.role = messages.Role.SIDECAR
        self.deliver = deliver
        self.sent = []
        self.closed = False

    def send(self, message):
        if self.closed:
            raise errors.LinkClosed(self.vm, 'closed by the test')
        self.sent.append(message)
        if self.deliver is not None:
            self.deliver(message)

    def close(self):
        self.closed = True


class FakeLinks:
    """Links by VM name; other names are unreachable."""

    def __init__(self):
        self.links = {}

    async def get(self, vm):
        if vm not in self.links:
            raise errors.LinkClosed(vm, 'not reachable in the test')
        return self.links[vm]

    def drop(self, vm):
        self.links.pop(vm, None)


def make_load(vm, load, version=1, incarnation=1, state='live'):
    return messages.Load(vm, incarnation, version, load, state)


def make_vm(name, state='live', pool='panel'):
    return ports.Vm(
        name, 'sidecar', '127.0.0.1:1', '127.0.0.1:2', 'dc1', pool, state
    )


def make_submit(attempt='a1', **changes):
    fields = {
        'attempt': attempt,
        'request_id': f'request-{attempt}',
        'organisation': 'lumenwall',
        'service': 'summaries',
        'method': 'POST',
        'path': '/v1/chat/completions',
        'headers': [],
        'body': b'{}',
        'chat': 'c1',
        'home': 's1',
        'first_turn': False,
        'key': '',
        'idempotent': True,
        'fingerprint': b'f1',
        'time_left': 5.0,
        'priority': 0,
        'bundle_offset': 3,
        'hop': 1,
        'last_hop': False,
        'redirected': False,
        'loads': [],
    }
    return messages.Submit(**{**fields, **changes})


def make_pool(slots=2, queue=2, bound=1.25, kind='directory'):
    policies = {
        'directory': bundle.DirectoryPolicy,
        'rendezvous': bundle.RendezvousPolicy,
    }
    policy = policies[kind](kind=kind, bound=bound)
    return bundle.Pool(policy=policy, slots=slots, queue=queue)


def make_organisation(weight=1.0):
    return bundle.Organisation(keys=[], services=[], weight=weight)
