"""Tracks the time until which backend servers may hold keys because of grants sent to them.

A grant holds from its arrival at the server, which may be any moment until its answer came or its
connection was closed. An unanswered one may start to hold at any moment after that.
"""

from dataclasses import dataclass

from lychee_types.registry import KeyRange, ServerIncarnation

MAX_CLOCK_SLOWDOWN = 1.02
"""Factor by which a slow server clock may prolong a hold."""

DELIVERY_MARGIN_S = 0.1
"""Time added to a hold for the delivery of the call, in seconds."""


def hold_limit_s(hold_s: float) -> float:
    """Return the maximum time that a grant may be in force after it was sent, in seconds."""
    return hold_s * MAX_CLOCK_SLOWDOWN + DELIVERY_MARGIN_S


@dataclass(kw_only=True, slots=True, eq=False)
class SentGrant:
    """A grant that was sent, and the keys that it may still hold.

    :param low: first key.
    :param high: last key.
    :param owner: the server incarnation that it was sent to.
    :param expires_at: monotonic time in seconds after which it cannot be in force.
    :param is_unanswered: whether it has no answer, so that it may start to hold at any moment.
    """

    low: int
    high: int
    owner: ServerIncarnation
    expires_at: float
    is_unanswered: bool = True


class OutstandingGrants:
    """Grants of one service that may still be in force.

    :param hold_s: hold time of a grant in seconds.
    :param former_leader_until: monotonic time in seconds at which all grants that a former leader
        may have sent have expired.
    """

    def __init__(self, *, hold_s: float, former_leader_until: float) -> None:
        self._limit_s = hold_limit_s(hold_s)
        self._former_leader_until = former_leader_until
        self._grants: list[SentGrant] = []

    def record_sent(self, key_range: KeyRange, now: float) -> SentGrant:
        """Record a grant just before it is sent."""
        owner = key_range.owner
        assert owner is not None
        sent = SentGrant(
            low=key_range.low, high=key_range.high, owner=owner, expires_at=now + self._limit_s
        )
        self._grants = [grant for grant in self._grants if grant.expires_at > now]
        self._grants.append(sent)
        return sent

    def record_answer(self, sent: SentGrant, now: float) -> None:
        """Record the answer to a grant; other grants stay unanswered and may still start to hold.

        :param sent: the grant that was answered.
        :param now: monotonic time in seconds; the grant may have arrived until then.
        """
        self._restart_hold(sent, now)
        sent.is_unanswered = False

    def record_abandoned(self, sent: SentGrant, now: float) -> None:
        """Record that an unanswered grant's connection has just been closed."""
        self._restart_hold(sent, now)

    def _restart_hold(self, sent: SentGrant, now: float) -> None:
        """Let a grant expire one hold after now, also if it has been dropped as expired."""
        if sent.expires_at <= now:
            self.remove_unsent(sent)
            self._grants.append(sent)
        sent.expires_at = now + self._limit_s

    def remove_unsent(self, sent: SentGrant) -> None:
        """Remove a grant that never left this process."""
        self._grants = [grant for grant in self._grants if grant is not sent]

    def record_release(self, key_range: KeyRange) -> None:
        """Record that the owner has released keys; unanswered grants of them stay in force."""
        kept = []
        for grant in self._grants:
            if (
                grant.owner != key_range.owner
                or grant.is_unanswered
                or not _overlaps(grant, key_range)
            ):
                kept.append(grant)
                continue
            kept += _rest(grant, key_range)
        self._grants = kept

    def has_unanswered(self, key_range: KeyRange, now: float) -> bool:
        """Return whether an unanswered grant of some of these keys may still start to hold.

        Until they expire, grants of a former leader count as unanswered.
        """
        if now < self._former_leader_until:
            return True
        return any(
            grant.is_unanswered and grant.expires_at > now and _overlaps(grant, key_range)
            for grant in self._grants
        )

    def record_incarnation_end(self, owner: ServerIncarnation) -> None:
        """Record that a server incarnation has ended and so holds no keys."""
        self._grants = [grant for grant in self._grants if grant.owner != owner]

    def free_at(self, key_range: KeyRange) -> float:
        """Return the monotonic time in seconds from which no server can hold any of these keys.

        0 if none can hold them now.
        """
        expiries = [grant.expires_at for grant in self._grants if _overlaps(grant, key_range)]
        if key_range.owner is not None:
            expiries.append(self._former_leader_until)
        return max(expiries, default=0.0)


def _overlaps(grant: SentGrant, key_range: KeyRange) -> bool:
    return grant.low <= key_range.high and key_range.low <= grant.high


def _rest(grant: SentGrant, key_range: KeyRange) -> list[SentGrant]:
    rest = []
    if grant.low < key_range.low:
        rest.append(_part(grant, grant.low, key_range.low - 1))
    if grant.high > key_range.high:
        rest.append(_part(grant, key_range.high + 1, grant.high))
    return rest


def _part(grant: SentGrant, low: int, high: int) -> SentGrant:
    return SentGrant(
        low=low,
        high=high,
        owner=grant.owner,
        expires_at=grant.expires_at,
        is_unanswered=grant.is_unanswered,
    )
