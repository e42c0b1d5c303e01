"""Whether the wall clocks of backend servers agree with this VM's.

A server that does not check tokens is protected after a freeze by the deadline on each request,
which is wall time: a clock that is behind would let it run a request too late.
"""

from lychee_types.ids import ServerId

MEMORY_MS = 5_000
"""Time for which one agreement excuses messages that arrive late, in milliseconds."""

OWN_DOUBTS = 2
"""Number of servers that must disagree, and none agree, before this VM's clock is in doubt."""


class ClockChecker:
    """Compares wall times that servers send with the time of their arrival.

    :param limit_ms: largest difference of two clocks that the protocol allows, in milliseconds.
    """

    def __init__(self, *, limit_ms: int) -> None:
        self._limit_ms = limit_ms
        self._agreed: dict[ServerId, int] = {}
        self._disagreed: dict[ServerId, int] = {}

    def is_in_sync(self, *, server: ServerId, sent_ms: int, received_ms: int) -> bool:
        """Return whether a server's clock may be relied upon.

        A message never arrives before it is sent, so a clock that is ahead shows at once. One that
        arrives late may have been delayed, which a recent agreement excuses.

        :param server: the server's id.
        :param sent_ms: its wall time at the sending, Unix ms.
        :param received_ms: this VM's wall time at the arrival, Unix ms.
        """
        lag_ms = received_ms - sent_ms
        if abs(lag_ms) <= self._limit_ms:
            self._agreed[server] = received_ms
            self._disagreed.pop(server, None)
            return True
        if lag_ms > 0 and received_ms - self._agreed.get(server, 0) <= MEMORY_MS:
            return True
        self._disagreed[server] = received_ms
        return False

    def is_local_clock_suspect(self, now_ms: int) -> bool:
        """Return whether several servers disagree with this VM's clock and none agrees.

        :param now_ms: this VM's wall time, Unix ms.
        """
        self._agreed = _recent(self._agreed, now_ms)
        self._disagreed = _recent(self._disagreed, now_ms)
        return not self._agreed and len(self._disagreed) >= OWN_DOUBTS


def _recent(times: dict[ServerId, int], now_ms: int) -> dict[ServerId, int]:
    return {server: at for server, at in times.items() if abs(now_ms - at) <= MEMORY_MS}
