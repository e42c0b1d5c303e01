"""The time up to which a follower knows its state to hold everything acknowledged."""

from collections import deque
from secrets import randbits

from msgspec import Struct

from lychee_types.ids import LogIndex

NUMBER_BITS = 48
"""Size of the random first number, in bits.

Numbers of an earlier process must not be taken for this one's, whose clock may have begun anew.
"""

KEPT_REPLIES = 256
"""Number of replies whose times are kept; the leader returns the number of a recent one."""


class _Confirmation(Struct, frozen=True, kw_only=True):
    """What a leader has confirmed.

    :param as_of: time by this replica's clock, in seconds.
    :param commit: index of the last entry acknowledged before that time.
    """

    as_of: float
    commit: LogIndex


class Confirmations:
    """Numbers this replica's replies, and takes them back from the leader.

    A leader returns the number of the last reply that it has received, while it holds its lease.
    All that any leader had acknowledged when that reply was sent is then at or below the commit
    index beside it. No clocks are compared: the time is that of this replica's own reply.
    """

    def __init__(self) -> None:
        self.confirmed_at = 0.0
        self._last_number = randbits(NUMBER_BITS)
        self._sent_at: deque[tuple[int, float]] = deque(maxlen=KEPT_REPLIES)
        self._pending: deque[_Confirmation] = deque(maxlen=KEPT_REPLIES)

    def number_reply(self, now: float) -> int:
        """Return the number of a reply that is made now."""
        self._last_number += 1
        self._sent_at.append((self._last_number, now))
        return self._last_number

    def record(self, number: int, *, commit: LogIndex, applied: LogIndex) -> None:
        """Record the number that a leader has returned.

        :param number: the number of a reply; 0 if the leader confirms nothing.
        :param commit: the leader's commit index.
        :param applied: index of the last entry that the state machine has applied.
        """
        as_of = next((sent_at for known, sent_at in self._sent_at if known == number), None)
        if as_of is None:
            return
        self._pending.append(_Confirmation(as_of=as_of, commit=commit))
        self.note_applied(applied)

    def note_applied(self, applied: LogIndex) -> None:
        """Move the confirmed time up to the newest commit index that has been applied."""
        while self._pending and self._pending[0].commit <= applied:
            self.confirmed_at = max(self.confirmed_at, self._pending.popleft().as_of)
