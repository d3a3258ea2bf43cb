"""Configuration of a trial fleet, and the bundle made from it."""

import dataclasses
import hashlib

import yaml

from arbutusvale.protocol import bundle
from arbutusvale.standins import engine

MODEL = 'trial-model'
CHAT_SERVICE = 'drafts'
CHAT_POOL = 'drafts-pool'
PLAIN_SERVICE = 'desk'
PLAIN_POOL = 'desk-pool'
LARGE_ORGANISATION_SHARE = 0.3
SMALL_ORGANISATION_SHARE = 0.05


@dataclasses.dataclass(frozen=True)
class FleetConfig:
    """Sizes, delays and placement policy of a trial fleet.

    ``slots``, ``queue_size``, ``policy`` and ``load_bound`` apply to the
    model pool.  The first ``large_organisations`` send more chats than the
    others.  ``link_delay_s`` is the one-way delay between routers and
    sidecars.
    """

    name: str = 'trial'
    engines: int = 6
    services: int = 3
    routers: int = 2
    slots: int = 8
    queue_size: int = 16
    cache_entries: int = 200
    policy: str = 'directory'
    load_bound: float = bundle.DEFAULT_LOAD_BOUND
    organisations: int = 10
    large_organisations: int = 2
    event_lag_s: float = 0.2
    event_drop_share: float = 0.02
    vm_lag_s: float = 1.0
    link_delay_s: float = 0.0
    data_centres: int = 3
    seed: int = 1
    latencies: engine.EngineLatencies = dataclasses.field(
        default_factory=lambda: engine.EngineLatencies(
            first_token_s=0.05, prompt_token_s=0.001, token_s=0.14
        )
    )


LEMBRETE_SUL = FleetConfig(
    name='lembrete-sul',
    engines=6,
    services=3,
    link_delay_s=0.001,
    data_centres=3,
)
LUMENWALL = FleetConfig(
    name='lumenwall',
    engines=5,
    services=4,
    link_delay_s=0.0015,
    data_centres=4,
)


@dataclasses.dataclass(frozen=True)
class Account:
    """An organisation of the trial, its API key and its share of chats."""

    organisation: str
    api_key: str
    share: float


def list_accounts(config: FleetConfig) -> list[Account]:
    """List the organisations, the large ones first."""
    accounts = []
    for number in range(config.organisations):
        share = (
            LARGE_ORGANISATION_SHARE
            if number < config.large_organisations
            else SMALL_ORGANISATION_SHARE
        )
        name = f'organisation-{number}'
        accounts.append(Account(name, f'key-of-{name}', share))
    return accounts


def format_bundle(
    config: FleetConfig, operators: dict[str, str], version: str
) -> str:
    """Return the trial's configuration bundle as YAML."""
    document = {
        'version': version,
        'organisations': {
            account.organisation: {
                'keys': [_hash_api_key(account.api_key)],
                'services': [CHAT_SERVICE, PLAIN_SERVICE],
                'rate': 1000.0,
                'burst': 1000,
                'concurrency': 1000,
            }
            for account in list_accounts(config)
        },
        'services': {
            CHAT_SERVICE: {
                'kind': 'model',
                'pool': CHAT_POOL,
                'model': MODEL,
            },
            PLAIN_SERVICE: {'kind': 'plain', 'pool': PLAIN_POOL},
        },
        'pools': {
            CHAT_POOL: {
                'policy': {'kind': config.policy, 'bound': config.load_bound},
                'slots': config.slots,
                'queue': config.queue_size,
            },
            PLAIN_POOL: {
                'policy': {'kind': 'least_loaded', 'bound': 2.0},
                'slots': 32,
            },
        },
        'operators': operators,
    }
    return yaml.safe_dump(document, sort_keys=False)


def _hash_api_key(api_key: str) -> str:
    """Return the hash that a bundle has in place of an API key."""
    return 'sha256:' + hashlib.sha256(api_key.encode()).hexdigest()
