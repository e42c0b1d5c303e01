"""What a gateway knows of its own way to each server, as opposed to the servers' health."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from lychee_types.registry import ServerIncarnation

CUT_AFTER = 3
"""Servers in a row that accept no connection, after which no server is expected to."""

CHECK_S = (1.0, 2.0)
"""Shortest and longest random time after which a way that failed is tried again, in seconds.

It is random so that not all gateways try at once.
"""

UNREACHED_S = 1.0
"""Time for which a server that no gateway reached is not tried through another one, in seconds."""


@dataclass(kw_only=True, slots=True)
class _Doubt:
    """A server that did not accept a connection.

    :param check_at: monotonic time in seconds at which the way is tried again.
    :param unreached_until: monotonic time in seconds until which no other gateway is asked.
    :param is_confirmed: whether another gateway has reached the server meanwhile.
    """

    check_at: float
    unreached_until: float = 0.0
    is_confirmed: bool = False


class PathTable:
    """The servers that this gateway does not reach directly.

    A way is doubted once a connection does not open, and is direct again once one does.

    :param rng: source of random numbers.
    """

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._known: set[ServerIncarnation] = set()
        self._doubts: dict[ServerIncarnation, _Doubt] = {}
        self._failed_in_a_row: set[ServerIncarnation] = set()

    def __len__(self) -> int:
        """Return how many servers' ways are doubted."""
        return len(self._doubts)

    @property
    def reaches_none(self) -> bool:
        """Whether no server is expected to accept a connection from here."""
        return len(self._failed_in_a_row) >= CUT_AFTER

    @property
    def unreached(self) -> tuple[ServerIncarnation, ...]:
        """Return the servers that other gateways reach and this one does not."""
        return tuple(run for run, doubt in self._doubts.items() if doubt.is_confirmed)

    def keep_only(self, runs: Iterable[ServerIncarnation]) -> None:
        """Forget all servers but these."""
        self._known = set(runs)
        for run in self._doubts.keys() - self._known:
            del self._doubts[run]
        self._failed_in_a_row &= self._known

    def is_doubted(self, run: ServerIncarnation) -> bool:
        """Return whether a new connection to a server is not expected to open."""
        return run in self._doubts or self.reaches_none

    def is_own_fault(self, run: ServerIncarnation) -> bool:
        """Return whether the server is reached by other gateways, or may well be."""
        return self.reaches_none or run in self.unreached

    def is_unreached(self, run: ServerIncarnation, now: float) -> bool:
        """Return whether no gateway reached the server a moment ago."""
        doubt = self._doubts.get(run)
        return doubt is not None and now < doubt.unreached_until

    def record_heard(self) -> bool:
        """Record an answer on a direct connection; return whether no server was reached before."""
        reached_none = self.reaches_none
        self._failed_in_a_row.clear()
        return reached_none

    def record_opened(self, run: ServerIncarnation) -> bool:
        """Record that a connection has opened, and return whether the way was doubted."""
        return self._doubts.pop(run, None) is not None

    def record_failed(self, run: ServerIncarnation, now: float) -> bool:
        """Record that a connection did not open, and return whether the way was direct before."""
        if run not in self._known:
            return False
        self._failed_in_a_row.add(run)
        doubt = self._doubts.get(run)
        if doubt is not None:
            doubt.check_at = now + self._rng.uniform(*CHECK_S)
            return False
        self._doubts[run] = _Doubt(check_at=now + self._rng.uniform(*CHECK_S))
        return True

    def record_carried(self, run: ServerIncarnation) -> None:
        """Record that another gateway has reached the server."""
        doubt = self._doubts.get(run)
        if doubt is not None:
            doubt.is_confirmed = True
            doubt.unreached_until = 0.0

    def record_unreached(self, run: ServerIncarnation, now: float) -> None:
        """Record that no other gateway reached the server either."""
        doubt = self._doubts.get(run)
        if doubt is not None:
            doubt.is_confirmed = False
            doubt.unreached_until = now + UNREACHED_S

    def take_check(self, run: ServerIncarnation, now: float) -> bool:
        """Return whether to try the way again now; if so, the next time is later."""
        doubt = self._doubts.get(run)
        if doubt is None:
            # The server was not tried itself, as others were not reached.
            doubt = self._doubts[run] = _Doubt(check_at=now)
        if now < doubt.check_at:
            return False
        doubt.check_at = now + self._rng.uniform(*CHECK_S)
        return True
