"""Fakes and request builders for tests of the router."""

import asyncio
import hashlib

import numpy

from arbutusvale import errors
from arbutusvale.coordination import caller_request
from arbutusvale.coordination import dispatch
from arbutusvale.protocol import bundle
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import bundle_chain
from arbutusvale.state import fleet

API_KEY = 'key-of-acme'
SEED = 20261203


def make_bundle(policy=None, **organisation):
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    policy = policy or {'kind': 'directory'}
    granted = organisation.pop('services', ['chat', 'booking'])
    return bundle.Bundle(
        version='v1',
        organisations={
            'acme': {
                'keys': [f'sha256:{digest}'],
                'services': granted,
                **organisation,
            }
        },
        services={
            'chat': {
                'kind': 'model',
                'pool': 'engines',
                'model': 'm-1',
                'timeout_s': 10,
            },
            'booking': {
                'kind': 'plain',
                'pool': 'engines',
                'timeout_s': 10,
            },
            'secret': {'kind': 'plain', 'pool': 'engines'},
        },
        pools={'engines': {'policy': policy}},
        operators={'ana': '00' * 32},
    )


def make_fleet(count=3):
    vm_fleet = fleet.Fleet()
    vm_fleet.replace(
        [
            ports.Vm(
                f's-{n}', 'sidecar', '127.0.0.1:1', '', 'dc', 'engines', 'live'
            )
            for n in range(1, count + 1)
        ]
    )
    return vm_fleet


class FakeLink:
    """A link whose messages are answered by a scripted sidecar."""

    def __init__(self, links, vm, incarnation):
        self.links = links
        self.vm = vm
        self.incarnation = incarnation
        self.role = 'sidecar'
        self.closed = False
        self.frozen = False

    def send(self, message):
        if self.closed:
            raise errors.LinkClosed(self.vm, 'closed')
        self.links.sent.append((self.vm, message))
        if not self.frozen:
            self.links.reply_to(self, message)

    def close(self):
        if not self.closed:
            self.closed = True
            task = asyncio.ensure_future(
                self.links.handler.on_link_closed(self)
            )
            self.links.tasks.append(task)


class FakeLinks:
    """A fake link pool with scripted sidecars behind it.

    ``scripts`` maps a VM to a function of (link, submit) that returns the
    reply messages; a VM without a script answers with its name.  A ``frozen``
    link stays open but carries no more replies.
    """

    def __init__(self):
        self.handler = None
        self.scripts = {}
        self.down = set()
        self.incarnations = {}
        self.open = {}
        self.sent = []
        self.tasks = []
        self.answers = {}

    async def get(self, vm):
        if vm in self.down:
            raise errors.LinkClosed(vm, 'refused')
        link = self.open.get(vm)
        if link is None or link.closed:
            link = FakeLink(self, vm, self.incarnations.get(vm, 1))
            self.open[vm] = link
        return link

    def drop(self, vm):
        self.open.pop(vm).close()

    def reply_to(self, link, message):
        match message:
            case messages.Submit():
                script = self.scripts.get(link.vm, answer_with_name)
                replies = script(link, message)
                self.answers[message.attempt] = replies
                self.deliver(link, replies)
            case messages.Reattach():
                replies = self.answers.get(message.attempt, [])
                self.deliver(link, replies)
            case messages.Ping(number=number):
                self.deliver(link, [messages.Pong(number)])

    def deliver(self, link, replies):
        async def send():
            for reply in replies:
                if link.frozen:
                    return
                if reply is FREEZE:
                    link.frozen = True
                else:
                    await self.handler.receive(link, reply)

        self.tasks.append(asyncio.ensure_future(send()))

    def submits(self):
        return [
            (vm, message)
            for vm, message in self.sent
            if isinstance(message, messages.Submit)
        ]


# In a list of replies: freeze the link here.
FREEZE = object()


def answer(attempt, *parts, status=200):
    """Return the messages of a complete answer."""
    return [
        messages.Accepted(attempt, 1, 1.0),
        messages.Head(attempt, status, [['Content-Type', 'text/plain']]),
        *[messages.Chunk(attempt, n, part) for n, part in enumerate(parts)],
        messages.End(attempt, len(parts), sum(map(len, parts))),
    ]


def answer_with_name(link, submit):
    return answer(submit.attempt, link.vm.encode())


def refuse(reason, *alternatives, retry_after=0.0):
    """Return a script that refuses and names alternative VMs."""
    loads = [messages.Load(vm, 1, 1, 0, 'live') for vm in alternatives]

    def script(link, submit):
        return [
            messages.Refused(
                submit.attempt, reason.value, '', retry_after, 3, 1.0, loads
            )
        ]

    return script


def make_dispatcher(links, current_bundle=None, vm_fleet=None, **options):
    current_bundle = current_bundle or make_bundle()
    head = bundle_chain.ActiveBundle(
        5, b'd', 'v1', current_bundle, b'', 'ana', 'p'
    )

    async def catch_up(_offset, _vm):
        return True

    async def before_call():
        return None

    options.setdefault('get_head', lambda: head)
    options.setdefault('catch_up', catch_up)
    options.setdefault('before_call', before_call)
    dispatcher = dispatch.Dispatcher(
        vm='r-1',
        incarnation=9,
        links=links,
        fleet=vm_fleet or make_fleet(),
        generator=numpy.random.default_rng(SEED),
        **options,
    )
    links.handler = dispatcher
    return dispatcher


def chat_request(body=None, **fields):
    body = body or (
        b'{"model": "m-1", "messages": [{"role": "user", "content": "hi"}]}'
    )
    return caller_request.CallerRequest(
        request_id='q-1',
        api_key=fields.pop('api_key', API_KEY),
        method='POST',
        path='/v1/chat/completions',
        headers=[],
        body=body,
        **fields,
    )


def plain_request(method='POST', path='/services/booking/rooms', **fields):
    return caller_request.CallerRequest(
        request_id='q-2',
        api_key=fields.pop('api_key', API_KEY),
        method=method,
        path=path,
        headers=[],
        body=fields.pop('body', b'{}'),
        **fields,
    )


async def collect_events(dispatcher, request):
    """Return all events of a call."""
    call = dispatcher.start_call(request)
    return [event async for event in dispatcher.events(call)]
