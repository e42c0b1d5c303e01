"""Until when a server may hold keys that were granted to it.

A grant holds from its arrival at the server. One whose answer is missing may have arrived at any
moment until its connection was given up, and may begin to hold at any moment after that.
"""

from dataclasses import dataclass

from lychee_types.registry import KeyRange, ServerRun

SLOW_CLOCK = 1.02
"""How much longer a server's clock may make a hold, as a factor."""

MARGIN_S = 0.1
"""Time added to a hold for the way of the call, in seconds."""


def hold_limit_s(hold_s: float) -> float:
    """Return how long after its sending a grant may hold, in seconds."""
    return hold_s * SLOW_CLOCK + MARGIN_S


@dataclass(kw_only=True, slots=True, eq=False)
class SentGrant:
    """One grant that was sent, and the keys that it may hold still.

    :param low: first key.
    :param high: last key.
    :param owner: the run that it went to.
    :param until: when it can hold no more, clock seconds.
    :param is_open: whether it has no answer: it may begin to hold at any moment.
    """

    low: int
    high: int
    owner: ServerRun
    until: float
    is_open: bool = True


class Exposures:
    """What grants may still be in force, for one service.

    :param hold_s: hold time of a grant in seconds.
    :param unknown_until: end of the grants that a former leader may have sent, clock seconds.
    """

    def __init__(self, *, hold_s: float, unknown_until: float) -> None:
        self._limit_s = hold_limit_s(hold_s)
        self._unknown_until = unknown_until
        self._held: list[SentGrant] = []

    def sent(self, key_range: KeyRange, now: float) -> SentGrant:
        """Take note of a grant just before it is sent."""
        owner = key_range.owner
        assert owner is not None
        grant = SentGrant(
            low=key_range.low, high=key_range.high, owner=owner, until=now + self._limit_s
        )
        self._held = [held for held in self._held if held.until > now]
        self._held.append(grant)
        return grant

    def answered(self, grant: SentGrant) -> None:
        """Take note of the answer to a grant; others without one may still begin to hold."""
        for held in self._held:
            if held is grant:
                held.is_open = False

    def given_up(self, grant: SentGrant, now: float) -> None:
        """Take note that a grant has no answer and that its connection has just been ended."""
        grant.until = now + self._limit_s

    def withdrawn(self, grant: SentGrant) -> None:
        """Take note that a grant never left this process."""
        self._held = [held for held in self._held if held is not grant]

    def released(self, key_range: KeyRange) -> None:
        """Take note that the owner has given the keys up; unanswered grants still count."""
        kept = []
        for held in self._held:
            if held.owner != key_range.owner or held.is_open or not _overlaps(held, key_range):
                kept.append(held)
                continue
            kept += _rest(held, key_range)
        self._held = kept

    def has_open(self, key_range: KeyRange, now: float) -> bool:
        """Return whether a grant of some of these keys has no answer and may begin to hold.

        What a former leader sent has none here.
        """
        if now < self._unknown_until:
            return True
        return any(
            held.is_open and held.until > now and _overlaps(held, key_range) for held in self._held
        )

    def ended(self, owner: ServerRun) -> None:
        """Take note that a run has ended: it holds nothing any more."""
        self._held = [held for held in self._held if held.owner != owner]

    def free_at(self, key_range: KeyRange) -> float:
        """Return when nobody can hold these keys any more, clock seconds."""
        until = [held.until for held in self._held if _overlaps(held, key_range)]
        if key_range.owner is not None:
            until.append(self._unknown_until)
        return max(until, default=0.0)


def _overlaps(held: SentGrant, key_range: KeyRange) -> bool:
    return held.low <= key_range.high and key_range.low <= held.high


def _rest(held: SentGrant, key_range: KeyRange) -> list[SentGrant]:
    rest = []
    if held.low < key_range.low:
        rest.append(_part(held, held.low, key_range.low - 1))
    if held.high > key_range.high:
        rest.append(_part(held, key_range.high + 1, held.high))
    return rest


def _part(held: SentGrant, low: int, high: int) -> SentGrant:
    return SentGrant(low=low, high=high, owner=held.owner, until=held.until, is_open=held.is_open)
