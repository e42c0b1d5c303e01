"""Tracks until when backend servers may hold keys that answers to their heartbeats grant.

A hold counts from when the server sent the heartbeat, so it ends at the latest one hold time after
the heartbeat was received, whether or not the answer arrives. A server sends its heartbeats one
after the other: a later one shows what became of the answers to earlier ones.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lychee_ranges.outstanding_grants import MAX_CLOCK_SLOWDOWN
from lychee_types.registry import HeldKeys, KeyRange, ServerIncarnation


@dataclass(frozen=True, kw_only=True, slots=True)
class _AnsweredRow:
    """Keys that an answer granted.

    :param low: first key.
    :param high: last key.
    :param expires_at: monotonic time in seconds after which the grant can't be in force.
    :param left_out_of: sequence number of the first heartbeat whose answer did not grant the keys
        any more, None if the last one did.
    """

    low: int
    high: int
    expires_at: float
    left_out_of: int | None = None


class AnsweredGrants:
    """Grants of one service that answers to heartbeats have named and that may be in force.

    :param hold_s: hold time of a grant, in seconds.
    :param elected_at: monotonic time in seconds at which this replica became the leader; former
        leaders have answered heartbeats until then.
    """

    def __init__(self, *, hold_s: float, elected_at: float) -> None:
        self._limit_s = hold_s * MAX_CLOCK_SLOWDOWN
        self._former_leader_until = elected_at + self._limit_s
        self._rows: dict[ServerIncarnation, tuple[_AnsweredRow, ...]] = {}

    def may_be_former_leaders(self, now: float) -> bool:
        """Return whether a grant of a former leader may still be in force."""
        return now < self._former_leader_until

    def record_heartbeat(
        self, owner: ServerIncarnation, *, sequence: int, holds: Iterable[HeldKeys], now: float
    ) -> None:
        """Record what a server says that it holds.

        Keys are not held if the server has had an answer without them and does not list them.

        :param owner: the server incarnation.
        :param sequence: number of the heartbeat, above those of all earlier ones.
        :param holds: the keys that it lists.
        :param now: monotonic time in seconds.
        """
        listed = tuple(holds)
        self._rows[owner] = tuple(
            row
            for row in self._rows.get(owner, ())
            if row.expires_at > now and not _is_given_up(row, sequence, listed)
        )

    def record_answer(
        self,
        owner: ServerIncarnation,
        *,
        sequence: int,
        ranges: Iterable[KeyRange],
        received_at: float,
    ) -> None:
        """Record the answer to a heartbeat just before it is sent.

        :param owner: the server incarnation.
        :param sequence: number of the heartbeat.
        :param ranges: all that the answer grants.
        :param received_at: when the heartbeat was received, as monotonic time in seconds.
        """
        granted = tuple(ranges)
        kept: list[_AnsweredRow] = []
        for row in self._rows.get(owner, ()):
            for rest in _without(row, granted):
                is_new = rest.left_out_of is None
                kept.append(replace(rest, left_out_of=sequence) if is_new else rest)
        expires_at = received_at + self._limit_s
        kept += (
            _AnsweredRow(low=item.low, high=item.high, expires_at=expires_at) for item in granted
        )
        self._rows[owner] = tuple(kept)

    def record_incarnation_end(self, owner: ServerIncarnation) -> None:
        """Record that a server incarnation has ended and so holds no keys."""
        self._rows.pop(owner, None)

    def free_at(self, keys: KeyRange) -> float:
        """Return the monotonic time in seconds from which the owner can't hold any of the keys.

        0 if it can't hold them now.

        :param keys: the keys with their owner.
        """
        if keys.owner is None:
            return 0.0
        rows = self._rows.get(keys.owner, ())
        expiries = [row.expires_at for row in rows if _overlaps(row, keys)]
        return max((*expiries, self._former_leader_until))


def _is_given_up(row: _AnsweredRow, sequence: int, listed: tuple[HeldKeys, ...]) -> bool:
    if row.left_out_of is None or sequence <= row.left_out_of:
        return False
    return not any(_overlaps(row, held) for held in listed)


def _overlaps(row: _AnsweredRow, keys: KeyRange | HeldKeys) -> bool:
    return row.low <= keys.high and keys.low <= row.high


def _without(row: _AnsweredRow, granted: tuple[KeyRange, ...]) -> list[_AnsweredRow]:
    """Return the parts of a row that none of the granted ranges covers."""
    parts = [row]
    for item in granted:
        parts = [rest for part in parts for rest in _cut(part, item)]
    return parts


def _cut(row: _AnsweredRow, item: KeyRange) -> list[_AnsweredRow]:
    if not _overlaps(row, item):
        return [row]
    rest = []
    if row.low < item.low:
        rest.append(replace(row, high=item.low - 1))
    if row.high > item.high:
        rest.append(replace(row, low=item.high + 1))
    return rest
