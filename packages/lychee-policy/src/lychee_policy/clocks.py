"""Checks that the wall clocks of backend servers agree with the clock of this VM.

A server that does not check tokens relies on the deadline of each request to refuse stale requests
after a process has been suspended. The deadline is wall time, so a server whose clock is behind
would run a request too late.
"""

from lychee_types.ids import ServerId

OBSERVATION_VALIDITY_MS = 5_000
"""Time in milliseconds for which the result of a comparison is valid.

For that time after a server's clock agreed, a late message is attributed to network delay.
"""

MIN_DISAGREEING_SERVERS = 2
"""Number of servers that must disagree, with none that agrees, to suspect the clock of this VM."""


class ClockChecker:
    """Compares the wall times in the messages of servers with the times of their arrival.

    :param limit_ms: maximum difference of two clocks that the protocol allows, in milliseconds.
    """

    def __init__(self, *, limit_ms: int) -> None:
        self._limit_ms = limit_ms
        self._agreed_at_ms: dict[ServerId, int] = {}
        self._disagreed_at_ms: dict[ServerId, int] = {}

    def is_in_sync(self, *, server: ServerId, sent_ms: int, received_ms: int) -> bool:
        """Return whether a server's clock agrees with the clock of this VM.

        A message cannot arrive before it is sent, so a clock that is ahead is detected at once. A
        message that arrives late may have been delayed on the network, so it is tolerated for
        :data:`OBSERVATION_VALIDITY_MS` after the server's clock agreed.

        :param server: the server's id.
        :param sent_ms: wall time of the server when it sent the message, in Unix milliseconds.
        :param received_ms: wall time of this VM when the message arrived, in Unix milliseconds.
        """
        lag_ms = received_ms - sent_ms
        if abs(lag_ms) <= self._limit_ms:
            self._agreed_at_ms[server] = received_ms
            self._disagreed_at_ms.pop(server, None)
            return True
        if (
            lag_ms > 0
            and received_ms - self._agreed_at_ms.get(server, 0) <= OBSERVATION_VALIDITY_MS
        ):
            return True
        self._disagreed_at_ms[server] = received_ms
        return False

    def is_local_clock_suspect(self, now_ms: int) -> bool:
        """Return whether several servers disagree with the clock of this VM and none agrees.

        :param now_ms: wall time of this VM, in Unix milliseconds.
        """
        self._agreed_at_ms = _recent(self._agreed_at_ms, now_ms)
        self._disagreed_at_ms = _recent(self._disagreed_at_ms, now_ms)
        return not self._agreed_at_ms and len(self._disagreed_at_ms) >= MIN_DISAGREEING_SERVERS


def _recent(times: dict[ServerId, int], now_ms: int) -> dict[ServerId, int]:
    return {
        server: at for server, at in times.items() if abs(now_ms - at) <= OBSERVATION_VALIDITY_MS
    }
