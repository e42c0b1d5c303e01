"""Placing requests: which server a request is sent to, and the queues in front of servers."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from math import ceil
from random import Random
from time import monotonic

from lychee_gateway.calls import Call, NotRun
from lychee_gateway.lease import SessionLease
from lychee_gateway.servers import SHED_PAUSE_S, BackendServer, ServerBook
from lychee_gateway.view import StateView
from lychee_policy import (
    ChoiceRule,
    DeadlineQueue,
    PowerOfTwo,
    Waiter,
    can_meet_deadline,
    choose,
)
from lychee_types.exceptions import require
from lychee_types.ids import ServerId, ServiceName, Token
from lychee_types.records import ServerStatus

LEAST_ANSWER_S = 0.001
"""Time that an answer takes at least, for servers that have not answered yet, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Placed:
    """A request has a place at a server.

    :param server: the server.
    :param token: the fencing token to send along, None for a free service.
    """

    server: BackendServer
    token: Token | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueId:
    """Where a request waits.

    :param service: its service.
    :param server: the owner that it waits for; None for any server of a free service, and for a
        keyed request that has no owner yet.
    """

    service: ServiceName
    server: ServerId | None = None


@dataclass(eq=False, kw_only=True, slots=True)
class _Waiting:
    """A request that waits, and the queue that it waits in."""

    call: Call
    where: QueueId
    place: "asyncio.Future[Placed | NotRun]"


class Dispatcher:
    """Gives requests a place at a server, at once or in order of deadline.

    :param view: the replicated state.
    :param lease: the gateway's session lease.
    :param servers: the backend servers.
    :param rule: how servers of free services are chosen.
    :param draw: source of random numbers.
    """

    def __init__(
        self,
        *,
        view: StateView,
        lease: SessionLease,
        servers: ServerBook,
        rule: ChoiceRule | None = None,
        draw: Random | None = None,
    ) -> None:
        self._view = view
        self._lease = lease
        self._servers = servers
        self._rule: ChoiceRule = rule or PowerOfTwo()
        self._draw = draw or Random()
        self._turn = 0
        self._tokens: dict[ServiceName, Token] = {}
        self._queues: dict[QueueId, DeadlineQueue[_Waiting]] = {}
        self._waiting: dict[ServiceName, int] = {}

    async def place(self, call: Call) -> Placed | NotRun:
        """Return a place for a request, waiting for one while its deadline allows it."""
        call.attempts += 1
        found = self._try(call)
        if isinstance(found, Placed) and not self._queue(self._queue_id(found, call)):
            return self._occupy(found)
        where = self._queue_id(found, call)
        refused = self._refuse_wait(call, where)
        if refused is not None:
            return refused
        return await self._wait(call, where)

    def still_holds(self, call: Call, placed: Placed) -> Token | None:
        """Return the token of a place just before the write, None if it must not be written.

        Only for keyed requests: the lease must last and the owner must be the same.
        """
        assert call.key is not None
        if not self._lease.held(monotonic()):
            return None
        route = self._view.state.route(call.service.name, call.key)
        if route.server is None or self._servers.get(route.server.id) is not placed.server:
            return None
        self._check_token(call.service.name, route.token)
        return route.token

    def _check_token(self, service: ServiceName, token: Token) -> None:
        last = self._tokens.get(service, token)
        require(token >= last, f"fencing token {token} of {service} sent after {last}")
        self._tokens[service] = token

    @contextmanager
    def occupied(self, placed: Placed) -> Iterator[None]:
        """Give a place back when the block ends, to the next request that waits for it."""
        try:
            yield
        finally:
            placed.server.in_flight -= 1
            require(placed.server.in_flight >= 0, "a place was given back twice")
            record = placed.server.record
            self._pump(QueueId(service=record.service, server=record.id))
            self._pump(QueueId(service=record.service))

    def pause(self, placed: Placed) -> None:
        """Spare a server that shed a request, and look at its queue again afterwards."""
        self._servers.pause(placed.server)
        where = QueueId(service=placed.server.record.service)
        asyncio.get_running_loop().call_later(SHED_PAUSE_S, self._pump, where)

    def state_changed(self) -> None:
        """Look again at everything that waits, after the state or the lease has changed."""
        for where in list(self._queues):
            self._pump_all(where)

    def waiting(self, service: ServiceName) -> int:
        """Return how many requests of a service wait."""
        return self._waiting.get(service, 0)

    def waiting_in_all(self) -> int:
        """Return how many requests wait."""
        return sum(self._waiting.values())

    def _try(self, call: Call) -> Placed | QueueId:
        if call.key is not None:
            return self._try_owner(call)
        return self._try_any(call)

    def _try_owner(self, call: Call) -> Placed | QueueId:
        assert call.key is not None
        name = call.service.name
        if not self._lease.held(monotonic()):
            return QueueId(service=name)
        route = self._view.state.route(name, call.key)
        server = self._servers.get(route.server.id) if route.server is not None else None
        if server is None or server.record.status is ServerStatus.LOST:
            return QueueId(service=name)
        if not server.has_room:
            return QueueId(service=name, server=server.record.id)
        return Placed(server=server, token=route.token)

    def _try_any(self, call: Call) -> Placed | QueueId:
        name = call.service.name
        candidates = self._servers.candidates(name, monotonic())
        if not candidates:
            return QueueId(service=name)
        candidates = [c for c in candidates if c.server not in call.avoid] or candidates
        chosen = choose(self._rule, candidates, rng=self._draw, choices_made=self._turn)
        self._turn += 1
        server = self._servers.get(chosen.server)
        assert server is not None
        return Placed(server=server)

    def _queue_id(self, found: Placed | QueueId, call: Call) -> QueueId:
        if isinstance(found, QueueId):
            return found
        owner = found.server.record.id if call.key is not None else None
        return QueueId(service=call.service.name, server=owner)

    def _queue(self, where: QueueId) -> DeadlineQueue[_Waiting]:
        queue = self._queues.get(where)
        if queue is None:
            queue = self._queues[where] = DeadlineQueue()
        return queue

    def _occupy(self, placed: Placed) -> Placed:
        server = placed.server
        server.in_flight += 1
        require(
            server.in_flight <= server.limits.in_flight,
            f"server {server.record.id} was given more requests than its limit",
        )
        return placed

    def _refuse_wait(self, call: Call, where: QueueId) -> NotRun | None:
        if self.waiting(where.service) >= call.service.queue:
            return _overloaded("too many requests wait for this service", self._come_back(where))
        takers = self._takers(where)
        if call.key is None and not takers:
            return NotRun(
                status=503,
                detail="no backend server of this service is there",
                remedy="come back after Retry-After",
                retry_after_s=1,
            )
        if takers and not can_meet_deadline(
            now=monotonic(),
            deadline=call.deadline,
            ahead=len(self._queue(where)),
            parallel=sum(server.limits.in_flight for server in takers),
            service_s=_mean_answer_s(takers),
        ):
            return _overloaded("the request cannot be answered in time", self._come_back(where))
        return None

    def _takers(self, where: QueueId) -> list[BackendServer]:
        if where.server is not None:
            server = self._servers.get(where.server)
            return [server] if server is not None else []
        return self._servers.takers(where.service)

    def _come_back(self, where: QueueId) -> int:
        takers = self._takers(where)
        parallel = max(1, sum(server.limits.in_flight for server in takers))
        return max(1, ceil(len(self._queue(where)) * _mean_answer_s(takers) / parallel))

    async def _wait(self, call: Call, where: QueueId) -> Placed | NotRun:
        loop = asyncio.get_running_loop()
        waiting = _Waiting(call=call, where=where, place=loop.create_future())
        self._queue(where).push(waiting, deadline=call.deadline)
        self._waiting[where.service] = self.waiting(where.service) + 1
        give_up_at = call.deadline - max(LEAST_ANSWER_S, _mean_answer_s(self._takers(where)))
        timer = loop.call_at(give_up_at, self._give_up, waiting)
        self._pump(where)
        try:
            return await waiting.place
        except asyncio.CancelledError:
            self._undo(waiting)
            raise
        finally:
            timer.cancel()
            self._waiting[where.service] -= 1
            self._pump(waiting.where)

    def _give_up(self, waiting: _Waiting) -> None:
        if waiting.place.done():
            return
        keyed_without_owner = waiting.call.key is not None and waiting.where.server is None
        detail = (
            "the key has had no owner for as long as the request could wait"
            if keyed_without_owner
            else "no server had room for as long as the request could wait"
        )
        waiting.place.set_result(_overloaded(detail, self._come_back(waiting.where)))

    def _undo(self, waiting: _Waiting) -> None:
        """Give back the place of a request that was cancelled before it could use it."""
        if waiting.place.done() and not waiting.place.cancelled():
            placed = waiting.place.result()
            if isinstance(placed, Placed):
                with self.occupied(placed):
                    pass

    def _pump(self, where: QueueId) -> None:
        """Place waiting requests in order of deadline while there is room."""
        queue = self._queues.get(where)
        if queue is None:
            return
        while (head := queue.head()) is not None:
            if head.item.place.done():
                queue.remove(head)
            elif not self._settle(queue, head, where):
                return

    def _pump_all(self, where: QueueId) -> None:
        """Look at each waiting request, since their routes may differ."""
        queue = self._queues[where]
        for waiter in queue.waiting():
            if waiter.item.place.done():
                queue.remove(waiter)
            else:
                self._settle(queue, waiter, where)
        if not len(queue):
            del self._queues[where]

    def _settle(
        self, queue: DeadlineQueue[_Waiting], waiter: Waiter[_Waiting], where: QueueId
    ) -> bool:
        """Place one waiting request, or move it to another queue; False if it must wait on."""
        found = self._try(waiter.item.call)
        if isinstance(found, Placed):
            queue.remove(waiter)
            waiter.item.place.set_result(self._occupy(found))
            return True
        if found != where:
            queue.remove(waiter)
            waiter.item.where = found
            self._queue(found).push(waiter.item, deadline=waiter.deadline)
            return True
        return False


def _mean_answer_s(servers: list[BackendServer]) -> float:
    known = [server.time.mean_s for server in servers if server.time.response_count]
    return sum(known) / len(known) if known else 0.0


def _overloaded(detail: str, retry_after_s: int) -> NotRun:
    return NotRun(
        status=503,
        detail=detail,
        remedy="come back after Retry-After",
        retry_after_s=retry_after_s,
    )
