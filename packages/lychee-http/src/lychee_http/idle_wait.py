"""Waits for the next request of a caller's connection, and decides when it has been idle."""

from collections.abc import Callable

from loguru import logger

from lychee_http.reader import RequestReader
from lychee_http.tcp import TcpStream
from lychee_http.watching import DeliveryWatch

KEPT_SHARE = 1.5
"""Time for which an idle connection is kept, as a share of the time for which callers may be idle.

A caller counts from the arrival of its answer, and not every caller keeps to the time.
"""

CROSSING_S = 2.0
"""Time for which it is kept beyond that, in seconds, for a request that is on its way."""


def kept_s(idle_s: float) -> float:
    """Return how long an idle connection is kept, in seconds.

    :param idle_s: how long its caller may be idle, in seconds.
    """
    return idle_s * KEPT_SHARE + CROSSING_S


class IdleWait:
    """Waits for requests on one connection.

    :param stream: the connection.
    :param reader: reads its requests.
    :param delivery: knows since when the caller has its answers.
    :param idle_s: returns how long callers may be idle now, in seconds.
    :param has_requests: returns whether requests are in flight.
    :param is_over: returns whether the last response has been sent.
    """

    def __init__(
        self,
        *,
        stream: TcpStream,
        reader: RequestReader,
        delivery: DeliveryWatch,
        idle_s: Callable[[], float],
        has_requests: Callable[[], bool],
        is_over: Callable[[], bool],
    ) -> None:
        self.is_ended = False
        self._stream = stream
        self._reader = reader
        self._delivery = delivery
        self._idle_s = idle_s
        self._has_requests = has_requests
        self._is_over = is_over
        self._is_waiting = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight or has begun to arrive, and no answer is on its way."""
        if not self._is_waiting or self._has_requests() or self._stream.unacknowledged:
            return False
        return self._stream.is_quiet()

    def end_if_idle(self) -> bool:
        """End the wait if the connection is idle; return whether it is.

        A request that arrives before the wait has ended is read all the same.
        """
        if not self.is_idle:
            return False
        self.is_ended = True
        self._stream.stop_reading()
        return True

    async def wait(self) -> bool:
        """Wait for the first bytes of a request; return whether there are any."""
        self._is_waiting = True
        try:
            while True:
                has_data = await self._reader.receive(self._left_s())
                if self.is_ended and (has_data or self._has_input()):
                    self._resume()
                if has_data or self._stream.eof or self._is_over() or self.is_ended:
                    return has_data
                if self._has_requests() or self._left_s() > 0:
                    continue
                if not self._begin_anew():
                    logger.bind(event="idle_closed").debug(
                        "a caller's connection was idle for {:.1f} s", self._delivery.quiet_s
                    )
                    return False
        finally:
            self._is_waiting = False

    def _left_s(self) -> float:
        """Return how long to wait for the next request, from the last response, in seconds."""
        limit_s = kept_s(self._idle_s())
        if self._has_requests():
            return limit_s
        return limit_s - self._delivery.quiet_s

    def _has_input(self) -> bool:
        """Return whether bytes of a request have arrived that were not read yet."""
        return not self._stream.eof and not self._stream.is_quiet()

    def _resume(self) -> None:
        """Read on a connection that was ended as idle, as a request came in the same turn."""
        self.is_ended = False
        self._stream.stop_reading(stopped=False)

    def _begin_anew(self) -> bool:
        """Begin the idle time anew if the caller still receives an answer; return whether so."""
        if self._stream.is_acknowledged():
            return False
        self._delivery.begin_quiet_time()
        return True
