"""The session lease and the fencing of a stand-in server."""

from collections import Counter

from lychee_types.clock import Clock
from lychee_types.ids import Token
from lychee_types.messages import (
    ServerGrant,
)


class ServerLease:
    """State of a server's lease, and the fence below which it refuses fencing tokens.

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
        """Whether the lease has not expired."""
        return self._clock.monotonic() < self._expires_at

    @property
    def confirmed_fence(self) -> Token:
        """Highest fence such that no request with a lower token runs any more."""
        below_fence = [token for token in self._running_by_token if token < self.fence]
        return Token(min(below_fence, default=self.fence))

    def apply_grant(self, grant: ServerGrant, *, sent_at: float) -> None:
        """Extend the lease and raise the fence as a grant says.

        :param grant: the reply to an announcement.
        :param sent_at: monotonic time at which the announcement was sent, in seconds; the lease
            is counted from it.
        """
        self.fence = max(self.fence, grant.fence)
        self.leaving = grant.leaving
        if grant.lease_ms > 0:
            self._expires_at = max(self._expires_at, sent_at + grant.lease_ms / 1_000)

    def start_run(self, token: Token) -> None:
        """Record the start of a request with that token."""
        self._running_by_token[token] += 1

    def end_run(self, token: Token) -> None:
        """Record the end of a request with that token."""
        self._running_by_token[token] -= 1
        if not self._running_by_token[token]:
            del self._running_by_token[token]
