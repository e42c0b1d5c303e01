"""Until when a server may hold keys that were granted to it.

A grant holds from its arrival at the server, so one whose answer is missing may begin to hold at
any moment after it was sent; the network delivers it within the connection's life.
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


@dataclass(kw_only=True, slots=True)
class _Held:
    low: int
    high: int
    owner: ServerRun
    until: float
    is_open: bool


class Exposures:
    """What grants may still be in force, for one service.

    :param hold_s: hold time of a grant in seconds.
    :param unknown_until: end of the grants that a former leader may have sent, clock seconds.
    """

    def __init__(self, *, hold_s: float, unknown_until: float) -> None:
        self._limit_s = hold_limit_s(hold_s)
        self._unknown_until = unknown_until
        self._held: list[_Held] = []

    def sent(self, key_range: KeyRange, now: float) -> None:
        """Take note of a grant just before it is sent."""
        owner = key_range.owner
        assert owner is not None
        held = _Held(
            low=key_range.low,
            high=key_range.high,
            owner=owner,
            until=now + self._limit_s,
            is_open=True,
        )
        self._held = [other for other in self._held if other.until > now]
        self._held.append(held)

    def answered(self, key_range: KeyRange) -> None:
        """Take note that all grants of these keys to this owner have been answered."""
        for held in self._held:
            if held.owner == key_range.owner and _overlaps(held, key_range):
                held.is_open = False

    def released(self, key_range: KeyRange) -> None:
        """Take note that the owner has given the keys up; unanswered grants still count."""
        kept = []
        for held in self._held:
            if held.owner != key_range.owner or held.is_open or not _overlaps(held, key_range):
                kept.append(held)
                continue
            kept += _rest(held, key_range)
        self._held = kept

    def ended(self, owner: ServerRun) -> None:
        """Take note that a run has ended: it holds nothing any more."""
        self._held = [held for held in self._held if held.owner != owner]

    def free_at(self, key_range: KeyRange) -> float:
        """Return when nobody can hold these keys any more, clock seconds."""
        until = [held.until for held in self._held if _overlaps(held, key_range)]
        if key_range.owner is not None:
            until.append(self._unknown_until)
        return max(until, default=0.0)


def _overlaps(held: _Held, key_range: KeyRange) -> bool:
    return held.low <= key_range.high and key_range.low <= held.high


def _rest(held: _Held, key_range: KeyRange) -> list[_Held]:
    rest = []
    if held.low < key_range.low:
        rest.append(_part(held, held.low, key_range.low - 1))
    if held.high > key_range.high:
        rest.append(_part(held, key_range.high + 1, held.high))
    return rest


def _part(held: _Held, low: int, high: int) -> _Held:
    return _Held(low=low, high=high, owner=held.owner, until=held.until, is_open=held.is_open)
