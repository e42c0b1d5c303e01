"""Requests that servers have not answered: which are overdue, and which are no longer there."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf
from typing import Protocol

from loguru import logger

from lychee_gateway.proxy.servers import InFlightRequest, ProxyServer
from lychee_http import ServerConnection
from lychee_policy import AbsenceProof, overdue_after_s, question_gap_s
from lychee_types.clock import Clock
from lychee_types.ids import ServiceName

CHECK_S = 0.2
"""Interval at which waits are checked, in seconds."""

LOG_INTERVAL_S = 1.0
"""Time in which at most `MAX_LOGGED` overdue waits are logged, in seconds."""

MAX_LOGGED = 10
"""Maximum number of overdue waits that are logged in `LOG_INTERVAL_S`; others are only counted."""

OnOverdue = Callable[[ServiceName, str], None]
"""Counts an overdue wait by service and way, "direct" or "carried"."""


OnDropped = Callable[[ServiceName], None]
"""Counts a request that its server no longer had, by service."""


def _ignore(*args: object) -> None:
    """Count nothing."""


class LoadQuestions(Protocol):
    """Asks servers for their load."""

    def can_ask_soon(self, server: ProxyServer) -> bool:
        """Return whether a server of a service that tells its load can be asked now."""
        ...

    def ask_soon(self, server: ProxyServer) -> None:
        """Ask a server; its answer is recorded when it comes."""
        ...


class ServerWait:
    """One request that was sent on a connection and has no answer yet.

    :param server: the server.
    :param conn: the connection.
    :param request_id: the request's id, empty if it has none.
    :param in_flight: what was expected of it when the server was selected.
    :param is_sent: returns whether the whole request has been written to the connection.
    :param sent_at: monotonic time in seconds at which its head was sent.
    :param deadline: monotonic time in seconds by which its answer is due.
    """

    def __init__(
        self,
        *,
        server: ProxyServer,
        conn: ServerConnection,
        request_id: str,
        in_flight: InFlightRequest,
        is_sent: Callable[[], bool],
        sent_at: float,
        deadline: float,
    ) -> None:
        self.server = server
        self.conn = conn
        self.request_id = request_id
        self.in_flight = in_flight
        self._is_sent = is_sent
        self.sent_at = sent_at
        self.deadline = deadline
        self.arrived_at = inf
        self.is_overdue = False
        self.is_dropped = False
        self.has_begun = False
        self.proof = AbsenceProof()
        self.questions = 0
        self._asked_at = -inf

    @property
    def way(self) -> str:
        """How it was sent: "direct", or "carried" by another gateway."""
        return "carried" if self.conn.is_carried else "direct"

    def check_arrival(self, now: float) -> None:
        """Look whether the whole request has arrived at the next system, and note when.

        That is the server's on a direct connection, and else the carrying gateway's.
        """
        stream = self.conn.stream
        if self.arrived_at < inf or stream.lost or not self._is_sent():
            return
        if stream.is_acknowledged():
            self.arrived_at = now

    def watch_closely(self) -> None:
        """Begin to collect evidence of whether its server still has the request."""
        self.is_overdue = True
        if not self.conn.is_carried:
            self.proof.arrived_at = self.arrived_at
            self.server.proofs.add(self.proof)

    def wants_load(self, now: float) -> bool:
        """Return whether its server is to be asked for its load now."""
        if not self.is_overdue or self.has_begun:
            return False
        is_due = now - self._asked_at >= question_gap_s(self.questions)
        return is_due and self.proof.is_worth_asking(now, deadline=self.deadline)

    def count_question(self, now: float) -> None:
        """Count that its server is asked for its load."""
        self._asked_at = now
        self.questions += 1

    def is_gone(self, now: float) -> bool:
        """Return whether its server no longer has it, and has sent no byte of an answer."""
        return self.proof.is_complete(now) and not self.has_begun and not self.conn.has_input()

    def end(self) -> None:
        """End the wait, as the server no longer has the request."""
        self.is_dropped = True
        self.conn.close()

    def note_input(self) -> None:
        """Note that bytes have come, so that the answer has begun."""
        self.has_begun = True

    def due_at(self, now: float) -> float:
        """Return the monotonic time in seconds from which on it is overdue."""
        return self.arrived_at + overdue_after_s(
            service_time_s=self.server.expected_service_time_s(now),
            slowdown=self.in_flight.slowdown,
        )


class ServerWaits:
    """The requests at servers, and a check of those that wait for long.

    :param clock: source of time.
    :param questions: asks servers for their load, None if nobody does.
    :param on_overdue: counts overdue waits.
    :param on_dropped: counts requests that their servers no longer had.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        questions: LoadQuestions | None = None,
        on_overdue: OnOverdue = _ignore,
        on_dropped: OnDropped = _ignore,
    ) -> None:
        self._questions = questions
        self._on_overdue = on_overdue
        self._on_dropped = on_dropped
        self._clock = clock
        self._waits: set[ServerWait] = set()
        self._logged_since = 0.0
        self._logged = 0

    @property
    def overdue(self) -> int:
        """Number of requests that are overdue now."""
        return sum(wait.is_overdue for wait in self._waits)

    @contextmanager
    def track(self, wait: ServerWait) -> Iterator[None]:
        """Watch a request inside the block, which ends when its answer begins or with it."""
        self._waits.add(wait)
        wait.conn.stream.on_input = wait.note_input
        try:
            yield
        finally:
            wait.conn.stream.on_input = _ignore
            self._waits.discard(wait)
            wait.server.proofs.discard(wait.proof)
            if wait.questions:
                self._log_asked(wait)

    async def run(self) -> None:
        """Check the waits regularly."""
        while True:
            await asyncio.sleep(CHECK_S)
            self.check()

    def check(self) -> None:
        """Find the waits that have become overdue, and end those whose requests are gone."""
        now = self._clock.monotonic()
        for wait in list(self._waits):
            wait.check_arrival(now)
            if not wait.is_overdue and now >= wait.due_at(now):
                wait.watch_closely()
                self._on_overdue(wait.server.record.service, wait.way)
                self._log_overdue(wait, now)
            if wait.is_gone(now):
                self._end(wait, now)
        self._ask(now)

    def _ask(self, now: float) -> None:
        """Ask the servers for their load at which overdue requests may be gone."""
        if self._questions is None:
            return
        waiting = [wait for wait in self._waits if wait.wants_load(now)]
        for server in {wait.server for wait in waiting}:
            if not self._questions.can_ask_soon(server):
                continue
            self._questions.ask_soon(server)
            for wait in waiting:
                if wait.server is server:
                    wait.count_question(now)

    def _end(self, wait: ServerWait, now: float) -> None:
        wait.end()
        self._on_dropped(wait.server.record.service)
        logger.bind(
            event="dropped",
            request=wait.request_id,
            server=wait.server.run.server,
            ms=round((now - wait.sent_at) * 1_000),
            idle_ms=round((now - wait.proof.idle_at) * 1_000),
            questions=wait.questions,
            left_ms=round((wait.deadline - now) * 1_000),
        ).info("a server has told that it runs and queues nothing, and has not answered a request")

    def _log_asked(self, wait: ServerWait) -> None:
        """Log what became of a request about which its server was asked."""
        logger.bind(
            event="overdue_over",
            request=wait.request_id,
            server=wait.server.run.server,
            ms=round((self._clock.monotonic() - wait.sent_at) * 1_000),
            is_answered=wait.has_begun,
            is_dropped=wait.is_dropped,
            questions=wait.questions,
            least_load=wait.proof.least,
        ).info("the wait for an overdue request is over")

    def _log_overdue(self, wait: ServerWait, now: float) -> None:
        if now - self._logged_since >= LOG_INTERVAL_S:
            self._logged_since, self._logged = now, 0
        self._logged += 1
        if self._logged > MAX_LOGGED:
            return
        server = wait.server
        logger.bind(
            event="overdue",
            request=wait.request_id,
            server=server.run.server,
            way=wait.way,
            address=wait.conn.stream.peer,
            ms=round((now - wait.sent_at) * 1_000),
            arrived_ms=round((now - wait.arrived_at) * 1_000),
            usual_ms=round(server.service_time_s * 1_000),
            left_ms=round((wait.deadline - now) * 1_000),
            load=server.last_load,
            load_age_ms=server.occupancy_age_ms(now),
        ).info("a request waits at a server for longer than work takes there")
