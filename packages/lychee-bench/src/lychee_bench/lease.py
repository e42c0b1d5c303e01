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
        self._expires_at = float("-inf")
        self._running_by_token: Counter[int] = Counter()

    @property
    def is_held(self) -> bool:
        """Whether the lease lasts."""
        return self._clock.monotonic() < self._expires_at

    @property
    def confirmed_fence(self) -> Token:
        """The highest fence below whose token no request runs any more."""
        below = [token for token in self._running_by_token if token < self.fence]
        return Token(min(below, default=self.fence))

    def apply_grant(self, grant: ServerGrant, *, sent_at: float) -> None:
        """Take over a grant.

        :param grant: the answer to an announcement.
        :param sent_at: monotonic time at which the announcement was sent.
        """
        self.fence = max(self.fence, grant.fence)
        self.leaving = grant.leaving
        if grant.lease_ms > 0:
            self._expires_at = max(self._expires_at, sent_at + grant.lease_ms / 1_000)

    def start_run(self, token: Token) -> None:
        """Note that a run with that token begins."""
        self._running_by_token[token] += 1

    def end_run(self, token: Token) -> None:
        """Note that a run with that token ended."""
        self._running_by_token[token] -= 1
        if not self._running_by_token[token]:
            del self._running_by_token[token]
