"""Define the family of errors that callers, operators and logs are shown."""


class ArbutusvaleError(Exception):
    """Report a failure together with what its reader can do about it.

    ``remedy`` is a full sentence; it is part of the message.
    """

    def __init__(self, problem: str, remedy: str):
        super().__init__(f'{problem} {remedy}')
        self.problem = problem
        self.remedy = remedy


class DocumentError(ArbutusvaleError):
    """Report an invalid settings file or bundle.

    ``faults`` holds one line per invalid field: file, line, field, remedy.
    """

    def __init__(self, path: str, faults: list[str]):
        super().__init__(
            f'{path} is not valid: {"; ".join(faults)}',
            'Correct the named fields and run the command again.',
        )
        self.path = path
        self.faults = faults


class UsageError(ArbutusvaleError):
    """Report wrong command line arguments."""


class LogUnavailable(ArbutusvaleError):
    """Report that the log service did not take or serve a record."""

    def __init__(self, stream: str, cause: str):
        super().__init__(
            f'The log service did not answer for stream {stream}: {cause}.',
            'Try again when the log service is back.',
        )
        self.stream = stream


class AppendOutcomeUnknown(LogUnavailable):
    """Report that an append may or may not have taken effect."""


class OffsetExpired(ArbutusvaleError):
    """Report that the wanted offset is older than the retained records."""

    def __init__(self, stream: str, wanted: int, oldest: int):
        super().__init__(
            f'Stream {stream} no longer holds offset {wanted}.',
            f'Read on from offset {oldest}.',
        )
        self.oldest = oldest


class LinkClosed(ArbutusvaleError):
    """Report that a link to another VM is closed or could not be opened."""

    def __init__(self, vm: str, cause: str):
        super().__init__(
            f'The link to {vm} is closed: {cause}.',
            'Open a new link or choose another VM.',
        )
        self.vm = vm


class FrameError(ArbutusvaleError):
    """Report a link frame that is not a list of known messages."""

    def __init__(self, problem: str):
        super().__init__(problem, 'Run the same version on both VMs.')


class ServerUnreachable(ArbutusvaleError):
    """Report that a backend server took no connection: nothing ran."""

    def __init__(self, address: str, cause: str):
        super().__init__(
            f'The backend server at {address} took no connection: {cause}.',
            'Send the request to another server.',
        )


class ServerResponseError(ArbutusvaleError):
    """Report that a backend server failed after it was given a request."""

    def __init__(self, address: str, cause: str):
        super().__init__(
            f'The backend server at {address} broke off its answer: {cause}.',
            'Treat the outcome of the request as unknown.',
        )


class RecordError(ArbutusvaleError):
    """Report a record of the platform that can't be decoded."""

    def __init__(self, field: str, remedy: str):
        super().__init__(f'Field {field} is missing or mistyped.', remedy)
        self.field = field


class StoreUnavailable(ArbutusvaleError):
    """Report that the platform's store gave no usable answer."""

    def __init__(self, cause: str):
        super().__init__(
            f'The store did not answer: {cause}.',
            'Go on with what is known and ask again.',
        )


class StoreHistoryGone(ArbutusvaleError):
    """Report that the wanted offset is not in the store's log."""

    def __init__(self, topic: str, offset: int):
        super().__init__(
            f'Topic {topic} does not hold offset {offset}.',
            'Read the newest records and go on from there.',
        )


class ServerFailed(ArbutusvaleError):
    """Report that a backend server gave no whole, valid answer.

    ``sent`` tells whether any byte of the request may have reached it.
    """

    def __init__(self, cause: str, sent: bool):
        super().__init__(
            f'The backend server failed: {cause}.',
            'Send the request elsewhere only if it may be repeated.',
        )
        self.cause = cause
        self.sent = sent
