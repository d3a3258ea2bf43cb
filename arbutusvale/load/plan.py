"""Plan a seeded day in small: chats, bookings, a burst and churn."""

import dataclasses

import numpy as np

MORNING_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class Customer:
    """Name an organisation, its API key and its share of the chats."""

    organisation: str
    api_key: str
    share: float


@dataclasses.dataclass(frozen=True)
class DayShape:
    """Hold the size of a day; times in seconds, texts in words.

    ``burst_chats`` chats of the first customer return within ``burst_s``.
    """

    seed: int = 1
    seconds: float = 60.0
    chats: int = 220
    turns: float = 6.0
    first_words: int = 120
    later_words: int = 20
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

    time: float
    text: str


@dataclasses.dataclass(frozen=True)
class Chat:
    """Hold one chat with all its turns."""

    name: str
    customer: Customer
    turns: list[Turn]


@dataclasses.dataclass(frozen=True)
class Booking:
    """Hold one booking, which some callers send twice."""

    time: float
    name: str
    customer: Customer
    resent: bool


@dataclasses.dataclass(frozen=True)
class Read:
    """Hold one idempotent call of a plain service."""

    time: float
    path: str
    customer: Customer


@dataclasses.dataclass(frozen=True)
class Leave:
    """Take an engine out of the pool."""

    time: float


@dataclasses.dataclass(frozen=True)
class Join:
    """Add an engine to the pool."""

    time: float


@dataclasses.dataclass(frozen=True)
class Day:
    """Hold everything that happens in a planned day."""

    shape: DayShape
    chats: list[Chat]
    bookings: list[Booking]
    reads: list[Read]
    churn: list[Leave | Join]


def plan_day(shape: DayShape, customers: list[Customer]) -> Day:
    """Draw a day from the shape's seed."""
    generator = np.random.default_rng(shape.seed)
    shares = np.array([customer.share for customer in customers])
    shares = shares / shares.sum()
    chats = []
    for number in range(shape.chats):
        owner = customers[int(generator.choice(len(customers), p=shares))]
        chats.append(_plan_chat(generator, shape, number, owner))
    chats = _add_burst(generator, shape, chats, customers[0])
    return Day(
        shape,
        chats,
        _plan_bookings(generator, shape, customers, shares),
        _plan_reads(generator, shape, customers, shares),
        _plan_churn(shape),
    )


def _plan_chat(
    generator: np.random.Generator,
    shape: DayShape,
    number: int,
    customer: Customer,
) -> Chat:
    """Draw a chat that starts at any time and returns after pauses."""
    count = 1 + int(generator.poisson(shape.turns - 1))
    start = generator.uniform(0, shape.seconds * 0.6)
    mean_pause = (shape.seconds - start) / (count + 1)
    moments = start + np.cumsum(generator.exponential(mean_pause, count))
    name = f'chat-{number}'
    turns = [
        Turn(float(moment), _text(generator, shape, name, index))
        for index, moment in enumerate(moments)
        if moment < shape.seconds
    ]
    return Chat(name, customer, turns)


def _text(
    generator: np.random.Generator, shape: DayShape, chat: str, index: int
) -> str:
    """Draw a message that names its chat and turn."""
    mean = shape.later_words if index else shape.first_words
    count = 1 + int(generator.poisson(mean))
    words = ' '.join(f'w{word}' for word in generator.integers(0, 5000, count))
    return f'{chat}/{index} {words}'


def _add_burst(
    generator: np.random.Generator,
    shape: DayShape,
    chats: list[Chat],
    customer: Customer,
) -> list[Chat]:
    """Let chats of one customer return all at once."""
    start = shape.seconds * MORNING_SHARE
    own = [
        index
        for index, chat in enumerate(chats)
        if chat.customer == customer
        and chat.turns
        and chat.turns[0].time < start
    ]
    chosen = generator.permutation(own)[: shape.burst_chats]
    result = list(chats)
    for index in chosen:
        chat = result[index]
        moment = start + generator.uniform(0, shape.burst_s)
        text = _text(generator, shape, f'{chat.name}/burst', 1)
        turns = [*chat.turns, Turn(float(moment), text)]
        turns.sort(key=lambda turn: turn.time)
        result[index] = dataclasses.replace(chat, turns=turns)
    return result


def _plan_bookings(
    generator: np.random.Generator,
    shape: DayShape,
    customers: list[Customer],
    shares: np.ndarray,
) -> list[Booking]:
    """Draw bookings over the day."""
    return [
        Booking(
            float(generator.uniform(0, shape.seconds)),
            f'booking-{number}',
            customers[int(generator.choice(len(customers), p=shares))],
            bool(generator.random() < shape.resent_share),
        )
        for number in range(shape.bookings)
    ]


def _plan_reads(
    generator: np.random.Generator,
    shape: DayShape,
    customers: list[Customer],
    shares: np.ndarray,
) -> list[Read]:
    """Draw status and history calls over the day."""
    return [
        Read(
            float(generator.uniform(0, shape.seconds)),
            f'/status/room-{number}' if number % 2 else f'/history/h-{number}',
            customers[int(generator.choice(len(customers), p=shares))],
        )
        for number in range(shape.reads)
    ]


def _plan_churn(shape: DayShape) -> list[Leave | Join]:
    """Spread leaves and joins evenly, in turn."""
    kinds: list[type] = []
    for index in range(max(shape.leaves, shape.joins)):
        if index < shape.leaves:
            kinds.append(Leave)
        if index < shape.joins:
            kinds.append(Join)
    step = shape.seconds / (len(kinds) + 1)
    return [kind(step * (index + 1)) for index, kind in enumerate(kinds)]
