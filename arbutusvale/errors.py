"""Exceptions whose messages state a problem and its remedy."""


class ArbutusvaleError(Exception):
    """Base class of this package's exceptions.

    The message consists of ``problem`` and ``remedy``, both full sentences.
    """

    def __init__(self, problem: str, remedy: str):
        super().__init__(f'{problem} {remedy}')
        self.problem = problem
        self.remedy = remedy


class DocumentError(ArbutusvaleError):
    """A settings file or a bundle is invalid.

    ``faults`` has a line for each invalid field: file, line, field, remedy.
    """

    def __init__(self, path: str, faults: list[str]):
        super().__init__(
            f'{path} is not valid: {"; ".join(faults)}',
            'Correct the named fields and run the command again.',
        )
        self.path = path
        self.faults = faults


class UsageError(ArbutusvaleError):
    """The command line arguments are invalid."""


class LogUnavailable(ArbutusvaleError):
    """The log service didn't append or return records."""

    def __init__(self, stream: str, cause: str):
        super().__init__(
            f'The log service did not answer for stream {stream}: {cause}.',
            'Try again when the log service is back.',
        )
        self.stream = stream


class AppendOutcomeUnknown(LogUnavailable):
    """An append got no answer and may or may not have taken effect."""


class OffsetExpired(ArbutusvaleError):
    """The wanted offset is older than the records that the log retains."""

    def __init__(self, stream: str, wanted: int, oldest: int):
        super().__init__(
            f'Stream {stream} no longer retains offset {wanted}.',
            f'Continue reading at offset {oldest}.',
        )
        self.oldest = oldest


class LinkClosed(ArbutusvaleError):
    """A link to another VM was closed or could not be opened."""

    def __init__(self, vm: str, cause: str):
        super().__init__(
            f'The link to {vm} is closed: {cause}.',
            'Open a new link or choose another VM.',
        )
        self.vm = vm


class FrameError(ArbutusvaleError):
    """A frame on a link isn't a list of known messages."""

    def __init__(self, problem: str):
        super().__init__(problem, 'Run the same version on both VMs.')


class ServerUnreachable(ArbutusvaleError):
    """A backend server accepted no connection, so the request didn't run."""

    def __init__(self, address: str, cause: str):
        super().__init__(
            f'The backend server at {address} is unreachable: {cause}.',
            'Send the request to another server.',
        )


class ServerResponseError(ArbutusvaleError):
    """A backend server failed after a request was sent to it."""

    def __init__(self, address: str, cause: str):
        super().__init__(
            f'The backend server at {address} gave no valid answer: {cause}.',
            'Treat the outcome of the request as unknown.',
        )


class RecordError(ArbutusvaleError):
    """A record of the platform can't be decoded."""

    def __init__(self, field: str, remedy: str):
        super().__init__(f'Field {field} is missing or mistyped.', remedy)
        self.field = field


class StoreUnavailable(ArbutusvaleError):
    """The platform's store gave no usable answer."""

    def __init__(self, cause: str):
        super().__init__(
            f'The store did not answer: {cause}.',
            'Use the last known state and retry.',
        )


class StoreHistoryGone(ArbutusvaleError):
    """The store's log doesn't contain the wanted offset.

    ``era`` is the store's era, None if unknown.
    """

    def __init__(self, topic: str, offset: int, era: int | None = None):
        super().__init__(
            f'Topic {topic} does not contain offset {offset}.',
            'Read the topic in full and continue from there.',
        )
        self.era = era


class ServerFailed(ArbutusvaleError):
    """A backend server gave the edge router no complete, valid response.

    ``sent`` is whether any byte of the request may have reached it;
    ``refused`` whether nothing accepts connections at its address.
    """

    def __init__(self, cause: str, sent: bool, refused: bool = False):
        super().__init__(
            f'The backend server failed: {cause}.',
            'Send the request elsewhere only if it may be retried.',
        )
        self.cause = cause
        self.sent = sent
        self.refused = refused


class ResponseOrderError(ArbutusvaleError):
    """A part of a response was about to be sent out of its order."""

    def __init__(self, part: str, expected: str):
        super().__init__(
            f'A response got its {part} where {expected} may follow.',
            'Close the connection, so that the response looks incomplete.',
        )
