"""Watches whether a caller receives its answers after they have been written."""

import asyncio
from collections.abc import Callable
from time import monotonic

from lychee_http.delivery import (
    DELIVERY_CHECK_S,
    MAX_REMEMBERED,
    MAX_REMEMBERED_ID,
    SentResponses,
    StallWatch,
)
from lychee_http.endings import EndReason, UndeliveredAnswers, log_undelivered
from lychee_http.tally import RequestTally
from lychee_http.tcp import TcpStream


class DeliveryWatch:
    """Remembers a connection's whole answers until they are acknowledged.

    :param stream: the connection.
    :param tally: counts answers, and those that were not acknowledged at the end.
    :param stall_s: maximum time in which a caller acknowledges nothing, in seconds.
    :param has_requests: returns whether requests are in flight.
    :param on_stalled: called if the caller has stalled while none is.
    """

    def __init__(
        self,
        *,
        stream: TcpStream,
        tally: RequestTally,
        stall_s: float,
        has_requests: Callable[[], bool],
        on_stalled: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._tally = tally
        self._has_requests = has_requests
        self._on_stalled = on_stalled
        self._sent = SentResponses()
        self._stall = StallWatch(stall_s=stall_s)
        self._check: asyncio.TimerHandle | None = None
        self._quiet_since = monotonic()

    @property
    def quiet_s(self) -> float:
        """Time since the caller has had its last answer, within the check's interval."""
        return monotonic() - self._quiet_since

    def add(self, request: str) -> None:
        """Count a request whose whole answer was written last."""
        self._tally.count_answered()
        self._sent.add(end=self._stream.written, request=request[:MAX_REMEMBERED_ID])
        if len(self._sent) > MAX_REMEMBERED:
            self._forget_delivered()

    def begin_quiet_time(self) -> None:
        """Let the quiet time begin now, or once the caller has what is on its way."""
        self._quiet_since = monotonic()
        if self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(DELIVERY_CHECK_S, self._check_delivery)

    def forget(self) -> None:
        """Forget all answers, which have been delivered."""
        self._sent.take()

    def report(self, reason: EndReason) -> None:
        """Report the answers that are not known to be acknowledged, each once.

        :param reason: why the connection ends.
        """
        self._forget_delivered()
        size = self._stream.written - self._stream.acknowledged
        requests = self._sent.take()
        if not requests:
            return
        answers = UndeliveredAnswers(reason=reason, requests=requests, size=size)
        log_undelivered(answers)
        self._tally.count_undelivered(answers)

    def stop(self) -> None:
        """Stop to watch."""
        if self._check is not None:
            self._check.cancel()

    def _forget_delivered(self) -> None:
        self._sent.forget(acknowledged=self._stream.acknowledged)

    def _check_delivery(self) -> None:
        self._check = None
        if self._has_requests() or self._stream.transport.is_closing():
            return
        acknowledged, written = self._stream.acknowledged, self._stream.written
        if self._stall.is_stalled(now=monotonic(), acknowledged=acknowledged, written=written):
            self._on_stalled()
        elif acknowledged < written:
            self.begin_quiet_time()
