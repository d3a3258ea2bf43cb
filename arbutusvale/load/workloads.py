"""Seeded synthetic workloads: chats, bookings, reads, a burst and churn."""

import dataclasses

import numpy as np

# Share of the workload's duration.
BURST_START_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class Account:
    """API key of an organisation, and its share of the requests."""

    organisation: str
    api_key: str
    share: float


@dataclasses.dataclass(frozen=True)
class WorkloadParameters:
    """Size and seed of a workload; times in seconds, messages in words.

    ``burst_chats`` chats of the first account get one more turn each within
    ``burst_s`` seconds.  ``resent_share`` of the bookings are sent twice.
    ``leaves`` and ``joins`` count engines that leave and join the pool.
    """

    seed: int = 1
    seconds: float = 60.0
    chats: int = 220
    mean_turns: float = 6.0
    mean_first_words: int = 120
    mean_later_words: int = 20
    answer_tokens: int = 8
    burst_chats: int = 30
    burst_s: float = 2.0
    bookings: int = 120
    resent_share: float = 0.2
    reads: int = 240
    leaves: int = 1
    joins: int = 1


@dataclasses.dataclass(frozen=True)
class Turn:
    """User message of a chat, due in seconds after the start."""

    due_s: float
    text: str


@dataclasses.dataclass(frozen=True)
class Chat:
    """Chat with the user's messages in the order of their due times."""

    name: str
    account: Account
    turns: list[Turn]


@dataclasses.dataclass(frozen=True)
class Booking:
    """Booking, a non-idempotent request; sent twice if ``resent``."""

    due_s: float
    name: str
    account: Account
    resent: bool


@dataclasses.dataclass(frozen=True)
class Read:
    """Idempotent GET request to a plain service."""

    due_s: float
    path: str
    account: Account


@dataclasses.dataclass(frozen=True)
class Leave:
    """Graceful removal of an engine from the pool."""

    due_s: float


@dataclasses.dataclass(frozen=True)
class Join:
    """Addition of an engine to the pool."""

    due_s: float


@dataclasses.dataclass(frozen=True)
class Workload:
    """All requests and changes of the pool, with their due times."""

    parameters: WorkloadParameters
    chats: list[Chat]
    bookings: list[Booking]
    reads: list[Read]
    churn: list[Leave | Join]


def generate_workload(
    parameters: WorkloadParameters, accounts: list[Account]
) -> Workload:
    """Generate a workload, the same for the same seed."""
    rng = np.random.default_rng(parameters.seed)
    shares = np.array([account.share for account in accounts])
    shares = shares / shares.sum()
    chats = []
    for number in range(parameters.chats):
        account_of_chat = accounts[int(rng.choice(len(accounts), p=shares))]
        chats.append(_generate_chat(rng, parameters, number, account_of_chat))
    chats = _add_burst(rng, parameters, chats, accounts[0])
    return Workload(
        parameters,
        chats,
        _generate_bookings(rng, parameters, accounts, shares),
        _generate_reads(rng, parameters, accounts, shares),
        _generate_churn(parameters),
    )


def _generate_chat(
    rng: np.random.Generator,
    parameters: WorkloadParameters,
    number: int,
    account: Account,
) -> Chat:
    """Generate a chat with exponentially distributed pauses.

    Turns that would be due after the end are left out.
    """
    turn_count = 1 + int(rng.poisson(parameters.mean_turns - 1))
    start_s = rng.uniform(0, parameters.seconds * 0.6)
    mean_pause_s = (parameters.seconds - start_s) / (turn_count + 1)
    due_times = start_s + np.cumsum(rng.exponential(mean_pause_s, turn_count))
    name = f'chat-{number}'
    turns = [
        Turn(float(due_s), _generate_message(rng, parameters, name, index))
        for index, due_s in enumerate(due_times)
        if due_s < parameters.seconds
    ]
    return Chat(name, account, turns)


def _generate_message(
    rng: np.random.Generator,
    parameters: WorkloadParameters,
    chat: str,
    index: int,
) -> str:
    """Generate a message, unique by the chat and turn that it names."""
    mean_words = (
        parameters.mean_later_words if index else parameters.mean_first_words
    )
    word_count = 1 + int(rng.poisson(mean_words))
    words = ' '.join(f'w{word}' for word in rng.integers(0, 5000, word_count))
    return f'{chat}/{index} {words}'


def _add_burst(
    rng: np.random.Generator,
    parameters: WorkloadParameters,
    chats: list[Chat],
    account: Account,
) -> list[Chat]:
    """Add a turn to chats of one account, all at nearly the same time."""
    burst_start_s = parameters.seconds * BURST_START_SHARE
    candidates = [
        index
        for index, chat in enumerate(chats)
        if chat.account == account
        and chat.turns
        and chat.turns[0].due_s < burst_start_s
    ]
    chosen = rng.permutation(candidates)[: parameters.burst_chats]
    result = list(chats)
    for index in chosen:
        chat = result[index]
        returns_at_s = burst_start_s + rng.uniform(0, parameters.burst_s)
        text = _generate_message(rng, parameters, f'{chat.name}/burst', 1)
        turns = [*chat.turns, Turn(float(returns_at_s), text)]
        turns.sort(key=lambda turn: turn.due_s)
        result[index] = dataclasses.replace(chat, turns=turns)
    return result


def _generate_bookings(
    rng: np.random.Generator,
    parameters: WorkloadParameters,
    accounts: list[Account],
    shares: np.ndarray,
) -> list[Booking]:
    """Generate bookings at uniformly distributed times."""
    return [
        Booking(
            float(rng.uniform(0, parameters.seconds)),
            f'booking-{number}',
            accounts[int(rng.choice(len(accounts), p=shares))],
            bool(rng.random() < parameters.resent_share),
        )
        for number in range(parameters.bookings)
    ]


def _generate_reads(
    rng: np.random.Generator,
    parameters: WorkloadParameters,
    accounts: list[Account],
    shares: np.ndarray,
) -> list[Read]:
    """Generate status and history reads at uniformly distributed times."""
    return [
        Read(
            float(rng.uniform(0, parameters.seconds)),
            f'/status/room-{number}' if number % 2 else f'/history/h-{number}',
            accounts[int(rng.choice(len(accounts), p=shares))],
        )
        for number in range(parameters.reads)
    ]


def _generate_churn(parameters: WorkloadParameters) -> list[Leave | Join]:
    """Alternate leaves and joins at even intervals."""
    event_types: list[type] = []
    for index in range(max(parameters.leaves, parameters.joins)):
        if index < parameters.leaves:
            event_types.append(Leave)
        if index < parameters.joins:
            event_types.append(Join)
    interval_s = parameters.seconds / (len(event_types) + 1)
    return [
        event_type(interval_s * (index + 1))
        for index, event_type in enumerate(event_types)
    ]
