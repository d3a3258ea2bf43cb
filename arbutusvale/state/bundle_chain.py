"""Decide by one rule which record of the ``config`` stream is in force.

Every process applies the records in log order.  A record is accepted iff
an operator known to the head signed it, its parent is the head and its
body is a valid bundle.  The operators known to the head are those of its
bundle; before the first bundle they are those of the settings.

A reader that starts after the beginning of the stream has expired cannot
check the parent of the first record that it sees: it is not *anchored*.
Until it is, it takes the last record in the log that is signed by an
operator of its settings (or of the head that it has).  This finds the head
of the others, as these restate the head, by appending it again, after each
signed record that they reject, and before it expires.  A copy from a peer
anchors at once; otherwise :meth:`BundleChain.anchor` does when the reader
has reached the end of the log and nothing contradicts.
"""

import copy
import dataclasses

from arbutusvale import errors
from arbutusvale.protocol import bundle
from arbutusvale.protocol import signing

MAX_HISTORY = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveBundle:
    """Hold the bundle in force.

    ``offset`` is where the log last held the record; it grows when the
    record is appended again.  ``record`` are its bytes.
    """

    offset: int
    digest: bytes
    version: str
    bundle: bundle.Bundle
    record: bytes
    operator: str
    publication: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Report that a record is in force now."""

    offset: int
    version: str
    operator: str
    publication: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Report a record that changed nothing.

    ``signed`` says that a known operator signed it; then operator, version
    and publication are true as far as they could be read.
    """

    offset: int
    reason: str
    signed: bool = False
    operator: str = ''
    version: str = ''
    publication: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Refresh:
    """Report that the head was appended again."""

    offset: int
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Passed:
    """Report a record at an offset that was read before."""

    offset: int


Outcome = Accepted | Rejected | Refresh | Passed


class BundleChain:
    """Apply records in log order and hold the bundle in force.

    ``operators`` are names and public keys from the settings; ``position``
    is the next offset to read; ``history`` holds the last outcomes.
    """

    def __init__(self, operators: dict[str, str]):
        self.operators = operators
        self.head: ActiveBundle | None = None
        self.position = 0
        self.anchored = True
        self.has_conflict = False
        self.history: list[Outcome] = []

    def apply(self, offset: int, data: bytes) -> Outcome:
        """Apply the log's record at ``offset``."""
        if offset < self.position:
            return Passed(offset)
        self.position = offset + 1
        outcome = self._judge(offset, data)
        self.history.append(outcome)
        del self.history[:-MAX_HISTORY]
        return outcome

    def preview(self, data: bytes) -> Outcome:
        """Judge a record as if it came next, without applying it."""
        return copy.copy(self)._judge(self.position, data)

    def skip_expired(self, oldest: int) -> None:
        """Note that records before ``oldest`` expired unread."""
        if oldest > self.position:
            self.position = oldest
            self.anchored = False
            self.has_conflict = False

    def anchor(self) -> None:
        """Anchor at the head; all of the log has been read."""
        if self.head is not None:
            self.anchored = True
            self.has_conflict = False

    def adopt(self, offset: int, data: bytes) -> Outcome:
        """Take the head of an authenticated peer that is ahead.

        The peer applied the rule to all records in between, so the parent
        is not checked; the signature has to be that of an operator of the
        settings or of this process's head.
        """
        if self.anchored and offset < self.position:
            return Passed(offset)
        if self.head is not None and offset <= self.head.offset:
            return Passed(offset)
        read = self._read(offset, data, self._list_all_operators())
        if isinstance(read, Rejected):
            return read
        known = self.head
        self._put_in_force(read)
        self.position = max(self.position, offset + 1)
        self.anchored = True
        self.has_conflict = False
        if known is not None and known.digest == read.digest:
            return Refresh(offset, read.version)
        outcome = _accepted(read)
        self.history.append(outcome)
        return outcome

    def _judge(self, offset: int, data: bytes) -> Outcome:
        """Apply the rule to one record."""
        head = self.head
        if head is not None and data == head.record:
            self.head = dataclasses.replace(head, offset=offset)
            return Refresh(offset, head.version)
        operators = self._list_operators()
        read = self._read(offset, data, operators)
        if isinstance(read, Rejected):
            return read
        if not self._follows_head(read):
            if self.anchored:
                return _reject_parent(read, head)
            self.has_conflict = head is not None
        self._put_in_force(read)
        return _accepted(read)

    def _follows_head(self, read: ActiveBundle) -> bool:
        """Tell whether the record's parent is the head."""
        parent = signing.decode(read.record).parent
        return parent == (self.head.digest if self.head else b'')

    def _put_in_force(self, read: ActiveBundle) -> None:
        """Make a record the head."""
        self.head = read

    def _list_operators(self) -> dict[str, str]:
        """List the operators whose signature counts now."""
        if not self.anchored:
            return self._list_all_operators()
        return self.head.bundle.operators if self.head else self.operators

    def _list_all_operators(self) -> dict[str, str]:
        """List the operators of the settings and of the head."""
        if self.head is None:
            return self.operators
        return {**self.operators, **self.head.bundle.operators}

    def _read(
        self, offset: int, data: bytes, operators: dict[str, str]
    ) -> ActiveBundle | Rejected:
        """Check signature and body of a record."""
        try:
            record = signing.decode(data)
        except signing.BundleRecordError as error:
            return Rejected(offset, error.problem)
        public = operators.get(record.operator)
        if public is None:
            return Rejected(offset, 'its operator is not known')
        if not signing.verify(record, public):
            return Rejected(offset, 'its signature does not hold')
        try:
            body = signing.read_bundle(record)
        except errors.ArbutusvaleError as error:
            return Rejected(
                offset,
                f'its bundle is not valid: {error.problem}',
                True,
                record.operator,
                publication=record.publication,
            )
        return ActiveBundle(
            offset,
            signing.digest(data),
            body.version,
            body,
            data,
            record.operator,
            record.publication,
        )


def _accepted(read: ActiveBundle) -> Accepted:
    """Report a record as accepted."""
    return Accepted(read.offset, read.version, read.operator, read.publication)


def _reject_parent(read: ActiveBundle, head: ActiveBundle | None) -> Rejected:
    """Report a record whose parent is not the head."""
    if head is None:
        reason = 'it names a parent, but no bundle is in force'
    else:
        reason = (
            f'its parent is not the head, version {head.version} by '
            f'{head.operator}'
        )
    return Rejected(
        read.offset,
        reason,
        True,
        read.operator,
        read.version,
        read.publication,
    )
