"""The log in memory: the entries after a base, and the membership changes among them."""

from collections.abc import Sequence

from lychee_log.records import Entry, EntryId, Membership
from lychee_types.exceptions import require
from lychee_types.ids import LogIndex


class MembershipChange:
    """A membership and the index from which it is in effect."""

    __slots__ = ("index", "members")

    def __init__(self, *, index: LogIndex, members: Membership) -> None:
        self.index = index
        self.members = members


class EntryLog:
    """Log entries with contiguous indexes, starting just after a base.

    :param base: id of the entry before the first one; index 0 and term 0 for an empty log.
    :param members: the membership at the base.
    """

    def __init__(self, *, base: EntryId, members: Membership) -> None:
        self.base = base
        self._entries: list[Entry] = []
        self._size = 0
        self._changes = [MembershipChange(index=base.index, members=members)]

    @property
    def last(self) -> EntryId:
        """Return the id of the last entry, or the base if there is none."""
        return self._entries[-1].id if self._entries else self.base

    @property
    def members(self) -> Membership:
        """Return the current membership: the latest one appended, committed or not."""
        return self._changes[-1].members

    @property
    def members_index(self) -> LogIndex:
        """Return the index from which the current membership is in effect."""
        return self._changes[-1].index

    def __len__(self) -> int:
        """Return the number of entries in memory."""
        return len(self._entries)

    @property
    def size(self) -> int:
        """Return the size of the data of the entries in memory, in bytes."""
        return self._size

    def first_within(self, index: LogIndex, *, max_entries: int, max_bytes: int) -> LogIndex:
        """Return the first index from which the entries up to another one are within bounds.

        :param index: the last index, which is not counted.
        :param max_entries: maximum number of entries.
        :param max_bytes: maximum size of their data, in bytes.
        """
        first, size = index, 0
        while first - 1 > self.base.index and index - first < max_entries:
            size += len(self._entries[first - 2 - self.base.index].data)
            if size > max_bytes:
                break
            first = LogIndex(first - 1)
        return first

    def members_at(self, index: LogIndex) -> Membership:
        """Return the membership at an index, which must not be before the base."""
        return next(change.members for change in reversed(self._changes) if change.index <= index)

    def members_since(self, index: LogIndex) -> tuple[Membership, ...]:
        """Return the membership at an index, and all later ones."""
        later = (change.members for change in self._changes if change.index > index)
        return (self.members_at(index), *later)

    def term_at(self, index: LogIndex) -> int | None:
        """Return the term of an entry, None if the log does not hold it."""
        if index == self.base.index:
            return self.base.term
        offset = index - self.base.index - 1
        return self._entries[offset].term if 0 <= offset < len(self._entries) else None

    def slice(self, *, start: LogIndex, end: LogIndex) -> tuple[Entry, ...]:
        """Return the entries from ``start`` to ``end``, both included.

        :param start: first index; must be after the base.
        """
        require(start > self.base.index, "entries up to the base are never read")
        first = start - self.base.index - 1
        return tuple(self._entries[first : end - self.base.index])

    def append(self, entry: Entry) -> None:
        """Append one entry after the last."""
        last = self.last
        require(entry.index == last.index + 1, "log indexes are contiguous")
        require(entry.term >= last.term, "terms in the log never go down")
        self._entries.append(entry)
        self._size += len(entry.data)
        if entry.members is not None:
            self._changes.append(MembershipChange(index=entry.index, members=entry.members))

    def truncate(self, index: LogIndex) -> None:
        """Remove the entries from an index on.

        :param index: index of the first entry to remove; must be after the base.
        """
        require(index > self.base.index, "the base is never truncated")
        first = index - self.base.index - 1
        self._size -= _size_of(self._entries[first:])
        del self._entries[first:]
        while self._changes[-1].index >= index:
            self._changes.pop()

    def compact(self, index: LogIndex) -> None:
        """Remove the entries up to an index, which becomes the base."""
        if index <= self.base.index:
            return
        term = self.term_at(index)
        require(term is not None, "only entries in memory are compacted")
        members = self.members_at(index)
        count = index - self.base.index
        self._size -= _size_of(self._entries[:count])
        del self._entries[:count]
        self.base = EntryId(index=index, term=term or 0)
        later = [change for change in self._changes if change.index > index]
        self._changes = [MembershipChange(index=index, members=members), *later]

    def first_of_term(self, index: LogIndex) -> LogIndex:
        """Return the lowest index in memory from which all entries up to this one have its term."""
        term = self.term_at(index)
        first = index
        while first - 1 > self.base.index and self.term_at(LogIndex(first - 1)) == term:
            first = LogIndex(first - 1)
        return first

    def extend(self, entries: Sequence[Entry]) -> None:
        """Append entries in order."""
        for entry in entries:
            self.append(entry)


def _size_of(entries: Sequence[Entry]) -> int:
    return sum(len(entry.data) for entry in entries)
