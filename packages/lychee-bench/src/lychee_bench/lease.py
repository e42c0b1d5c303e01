"""The session lease and the fence that a stand-in server holds."""

from collections import Counter

from lychee_types.clock import Clock
from lychee_types.ids import Token
from lychee_types.messages import (
    ServerGrant,
)


class ServerLease:
    """What a server knows of its lease and of the tokens that it must refuse.

    :param clock: source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.fence = Token(0)
        self.leaving = False
        self._clock = clock
        self._until = float("-inf")
        self._running: Counter[int] = Counter()

    @property
    def held(self) -> bool:
        """Whether the lease lasts."""
        return self._clock.monotonic() < self._until

    @property
    def confirmed(self) -> Token:
        """The highest fence below whose token no request runs any more."""
        below = [token for token in self._running if token < self.fence]
        return Token(min(below, default=self.fence))

    def take_over(self, grant: ServerGrant, *, sent_at: float) -> None:
        """Take over a grant.

        :param grant: the answer to an announcement.
        :param sent_at: monotonic time at which the announcement was sent.
        """
        self.fence = max(self.fence, grant.fence)
        self.leaving = grant.leaving
        if grant.lease_ms > 0:
            self._until = max(self._until, sent_at + grant.lease_ms / 1_000)

    def begin(self, token: Token) -> None:
        """Note that a run with that token begins."""
        self._running[token] += 1

    def end(self, token: Token) -> None:
        """Note that a run with that token ended."""
        self._running[token] -= 1
        if not self._running[token]:
            del self._running[token]
