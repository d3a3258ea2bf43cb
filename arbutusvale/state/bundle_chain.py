"""Chain of signed bundles that decides which one is active.

The records of the ``config`` stream form a hash chain: each one contains
the digest of its parent.  Every process applies them in log order by the
same rule, so that all agree on the head, which is the active bundle.  A
record is accepted if and only if a trusted operator signed it, its parent
is the head and its body is a valid bundle.  The trusted operators are those
of the head's bundle, and before the first bundle those of the settings.

A reader that starts after the start of the stream has expired cannot check
the parent of the first record that it reads: its chain is not *anchored*.
Until it is, its head is the last record in the log that is signed by an
operator of its settings or of its head.  That is the head of the other
processes, since they append their head again after each signed record that
they reject, and before it expires.  A copy from a peer anchors the chain at
once; otherwise the reader calls :meth:`BundleChain.anchor` when it has
reached the end of the log and the records do not conflict.
"""

import copy
import dataclasses

from arbutusvale import errors
from arbutusvale.protocol import bundle
from arbutusvale.protocol import signing

MAX_HISTORY = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveBundle:
    """The active bundle and the record that contains it.

    ``offset`` is that of the record's last copy in the log; it grows when
    the record is appended again.  ``record`` is the encoded record and
    ``digest`` its digest.
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
    """Outcome: the record is the new head."""

    offset: int
    version: str
    operator: str
    publication: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Outcome: the record was rejected and changed nothing.

    ``signed`` is set if a trusted operator signed it; only then are
    operator, version and publication set, as far as they could be decoded.
    """

    offset: int
    reason: str
    signed: bool = False
    operator: str = ''
    version: str = ''
    publication: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Refresh:
    """Outcome: the record is another copy of the head."""

    offset: int
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Passed:
    """Outcome: the offset was read before; the record was skipped."""

    offset: int


Outcome = Accepted | Rejected | Refresh | Passed


class BundleChain:
    """State machine that applies records in log order.

    ``operators`` maps names to public keys, as in the settings.  ``head``
    is the last accepted bundle and ``position`` the next offset to read.
    ``has_conflict`` is set while the chain is not anchored and has replaced
    its head by a record that is not the head's child.  ``history`` has the
    last outcomes.
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
        outcome = self._evaluate(offset, data)
        self.history.append(outcome)
        del self.history[:-MAX_HISTORY]
        return outcome

    def preview(self, data: bytes) -> Outcome:
        """Return the outcome of a record if it came next; apply nothing."""
        return copy.copy(self)._evaluate(self.position, data)

    def skip_expired(self, oldest: int) -> None:
        """Continue at ``oldest``; the records before it expired unread."""
        if oldest > self.position:
            self.position = oldest
            self.anchored = False
            self.has_conflict = False

    def anchor(self) -> None:
        """Treat the head as confirmed; all of the log has been read."""
        if self.head is not None:
            self.anchored = True
            self.has_conflict = False

    def adopt(self, offset: int, data: bytes) -> Outcome:
        """Adopt the newer head of an authenticated peer.

        The peer applied the rule to all records in between, so the parent
        is not checked.  The signature must be that of an operator of the
        settings or of this process's head.
        """
        if self.anchored and offset < self.position:
            return Passed(offset)
        if self.head is not None and offset <= self.head.offset:
            return Passed(offset)
        candidate = self._verify(offset, data, self._list_all_operators())
        if isinstance(candidate, Rejected):
            return candidate
        previous_head = self.head
        self._set_head(candidate)
        self.position = max(self.position, offset + 1)
        self.anchored = True
        self.has_conflict = False
        if (
            previous_head is not None
            and previous_head.digest == candidate.digest
        ):
            return Refresh(offset, candidate.version)
        outcome = _make_accepted(candidate)
        self.history.append(outcome)
        return outcome

    def _evaluate(self, offset: int, data: bytes) -> Outcome:
        """Apply the rule of acceptance to one record."""
        head = self.head
        if head is not None and data == head.record:
            self.head = dataclasses.replace(head, offset=offset)
            return Refresh(offset, head.version)
        operators = self._list_trusted_operators()
        candidate = self._verify(offset, data, operators)
        if isinstance(candidate, Rejected):
            return candidate
        if not self._follows_head(candidate):
            if self.anchored:
                return _reject_parent(candidate, head)
            self.has_conflict = head is not None
        self._set_head(candidate)
        return _make_accepted(candidate)

    def _follows_head(self, candidate: ActiveBundle) -> bool:
        """Return whether the record's parent is the head."""
        parent = signing.decode(candidate.record).parent
        return parent == (self.head.digest if self.head else b'')

    def _set_head(self, candidate: ActiveBundle) -> None:
        """Make a verified record the head."""
        self.head = candidate

    def _list_trusted_operators(self) -> dict[str, str]:
        """Return the keys of the operators whose signatures are accepted."""
        if not self.anchored:
            return self._list_all_operators()
        return self.head.bundle.operators if self.head else self.operators

    def _list_all_operators(self) -> dict[str, str]:
        """Return the keys of the operators of the settings and the head."""
        if self.head is None:
            return self.operators
        return {**self.operators, **self.head.bundle.operators}

    def _verify(
        self, offset: int, data: bytes, operators: dict[str, str]
    ) -> ActiveBundle | Rejected:
        """Decode a record; reject it if signature or body is invalid."""
        try:
            record = signing.decode(data)
        except signing.BundleRecordError as error:
            return Rejected(offset, error.problem)
        public_key = operators.get(record.operator)
        if public_key is None:
            return Rejected(offset, 'its operator is not known')
        if not signing.verify(record, public_key):
            return Rejected(offset, 'its signature does not hold')
        try:
            parsed_bundle = signing.read_bundle(record)
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
            parsed_bundle.version,
            parsed_bundle,
            data,
            record.operator,
            record.publication,
        )


def _make_accepted(candidate: ActiveBundle) -> Accepted:
    """Build the outcome of an accepted record."""
    return Accepted(
        candidate.offset,
        candidate.version,
        candidate.operator,
        candidate.publication,
    )


def _reject_parent(
    candidate: ActiveBundle, head: ActiveBundle | None
) -> Rejected:
    """Build the outcome of a record whose parent is not the head."""
    if head is None:
        reason = 'it names a parent, but no bundle is in force'
    else:
        reason = (
            f'its parent is not the head, version {head.version} by '
            f'{head.operator}'
        )
    return Rejected(
        candidate.offset,
        reason,
        True,
        candidate.operator,
        candidate.version,
        candidate.publication,
    )
