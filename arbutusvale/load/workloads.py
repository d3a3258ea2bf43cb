"""Plan a seeded day in small: chats, bookings, a burst and churn."""

import dataclasses

import numpy as np

MORNING_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class Account:
    """Name an organisation, its API key and its share of the chats."""

    organisation: str
    api_key: str
    share: float


@dataclasses.dataclass(frozen=True)
class WorkloadParameters:
    """Hold the size of a day; times in seconds, texts in words.

    ``burst_chats`` chats of the first account return within ``burst_s``.
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
    """Hold one turn of a chat: when it is due and what the user says."""

    due_s: float
    text: str


@dataclasses.dataclass(frozen=True)
class Chat:
    """Hold one chat with all its turns."""

    name: str
    account: Account
    turns: list[Turn]


@dataclasses.dataclass(frozen=True)
class Booking:
    """Hold one booking, which some callers send twice."""

    due_s: float
    name: str
    account: Account
    resent: bool


@dataclasses.dataclass(frozen=True)
class Read:
    """Hold one idempotent call of a plain service."""

    due_s: float
    path: str
    account: Account


@dataclasses.dataclass(frozen=True)
class Leave:
    """Take an engine out of the pool."""

    due_s: float


@dataclasses.dataclass(frozen=True)
class Join:
    """Add an engine to the pool."""

    due_s: float


@dataclasses.dataclass(frozen=True)
class Workload:
    """Hold everything that happens in a planned day."""

    parameters: WorkloadParameters
    chats: list[Chat]
    bookings: list[Booking]
    reads: list[Read]
    churn: list[Leave | Join]


def generate_workload(
    parameters: WorkloadParameters, accounts: list[Account]
) -> Workload:
    """Draw a day from the seed of ``parameters``."""
    generator = np.random.default_rng(parameters.seed)
    shares = np.array([account.share for account in accounts])
    shares = shares / shares.sum()
    chats = []
    for number in range(parameters.chats):
        owner = accounts[int(generator.choice(len(accounts), p=shares))]
        chats.append(_plan_chat(generator, parameters, number, owner))
    chats = _add_burst(generator, parameters, chats, accounts[0])
    return Workload(
        parameters,
        chats,
        _plan_bookings(generator, parameters, accounts, shares),
        _plan_reads(generator, parameters, accounts, shares),
        _plan_churn(parameters),
    )


def _plan_chat(
    generator: np.random.Generator,
    parameters: WorkloadParameters,
    number: int,
    account: Account,
) -> Chat:
    """Draw a chat that starts at any time and returns after pauses."""
    count = 1 + int(generator.poisson(parameters.mean_turns - 1))
    start = generator.uniform(0, parameters.seconds * 0.6)
    mean_pause = (parameters.seconds - start) / (count + 1)
    moments = start + np.cumsum(generator.exponential(mean_pause, count))
    name = f'chat-{number}'
    turns = [
        Turn(float(moment), _text(generator, parameters, name, index))
        for index, moment in enumerate(moments)
        if moment < parameters.seconds
    ]
    return Chat(name, account, turns)


def _text(
    generator: np.random.Generator,
    parameters: WorkloadParameters,
    chat: str,
    index: int,
) -> str:
    """Draw a message that names its chat and turn."""
    mean = (
        parameters.mean_later_words if index else parameters.mean_first_words
    )
    count = 1 + int(generator.poisson(mean))
    words = ' '.join(f'w{word}' for word in generator.integers(0, 5000, count))
    return f'{chat}/{index} {words}'


def _add_burst(
    generator: np.random.Generator,
    parameters: WorkloadParameters,
    chats: list[Chat],
    account: Account,
) -> list[Chat]:
    """Let chats of one account return all at once."""
    start = parameters.seconds * MORNING_SHARE
    own = [
        index
        for index, chat in enumerate(chats)
        if chat.account == account
        and chat.turns
        and chat.turns[0].due_s < start
    ]
    chosen = generator.permutation(own)[: parameters.burst_chats]
    result = list(chats)
    for index in chosen:
        chat = result[index]
        moment = start + generator.uniform(0, parameters.burst_s)
        text = _text(generator, parameters, f'{chat.name}/burst', 1)
        turns = [*chat.turns, Turn(float(moment), text)]
        turns.sort(key=lambda turn: turn.due_s)
        result[index] = dataclasses.replace(chat, turns=turns)
    return result


def _plan_bookings(
    generator: np.random.Generator,
    parameters: WorkloadParameters,
    accounts: list[Account],
    shares: np.ndarray,
) -> list[Booking]:
    """Draw bookings over the day."""
    return [
        Booking(
            float(generator.uniform(0, parameters.seconds)),
            f'booking-{number}',
            accounts[int(generator.choice(len(accounts), p=shares))],
            bool(generator.random() < parameters.resent_share),
        )
        for number in range(parameters.bookings)
    ]


def _plan_reads(
    generator: np.random.Generator,
    parameters: WorkloadParameters,
    accounts: list[Account],
    shares: np.ndarray,
) -> list[Read]:
    """Draw status and history calls over the day."""
    return [
        Read(
            float(generator.uniform(0, parameters.seconds)),
            f'/status/room-{number}' if number % 2 else f'/history/h-{number}',
            accounts[int(generator.choice(len(accounts), p=shares))],
        )
        for number in range(parameters.reads)
    ]


def _plan_churn(parameters: WorkloadParameters) -> list[Leave | Join]:
    """Spread leaves and joins evenly, in turn."""
    kinds: list[type] = []
    for index in range(max(parameters.leaves, parameters.joins)):
        if index < parameters.leaves:
            kinds.append(Leave)
        if index < parameters.joins:
            kinds.append(Join)
    step = parameters.seconds / (len(kinds) + 1)
    return [kind(step * (index + 1)) for index, kind in enumerate(kinds)]
