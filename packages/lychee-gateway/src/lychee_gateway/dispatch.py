"""Assignment of requests to backend servers, and the queues of requests that wait for one."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from math import ceil
from random import Random
from time import monotonic

from lychee_gateway.calls import Call, NotRun
from lychee_gateway.lease import SessionLease
from lychee_gateway.servers import SHED_PAUSE_S, BackendServer, BackendServers
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

MIN_RESPONSE_S = 0.001
"""Lower bound of the expected response time, in seconds.

It also applies to servers that have not responded yet.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """A server that a request is assigned to, with one of its request slots.

    :param server: the server.
    :param token: the fencing token to send with the request, None for a free service.
    """

    server: BackendServer
    token: Token | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueId:
    """Identifies a queue of waiting requests.

    :param service: the service of the requests.
    :param server: the owner that the requests wait for; None for requests of a free service, which
        any server may run, and for keyed requests that cannot be sent to an owner yet.
    """

    service: ServiceName
    server: ServerId | None = None


@dataclass(eq=False, kw_only=True, slots=True)
class _WaitingRequest:
    """A waiting request.

    :param call: the request.
    :param queue_id: the queue that it waits in.
    :param assignment: future for the assignment, or for the reason why the request is not run.
    """

    call: Call
    queue_id: QueueId
    assignment: "asyncio.Future[Assignment | NotRun]"


class Dispatcher:
    """Assigns requests to servers, immediately or after waiting in order of their deadlines.

    :param view: the replicated state.
    :param lease: the gateway's session lease.
    :param servers: the backend servers.
    :param rule: how servers of free services are chosen.
    :param rng: random number generator.
    """

    def __init__(
        self,
        *,
        view: StateView,
        lease: SessionLease,
        servers: BackendServers,
        rule: ChoiceRule | None = None,
        rng: Random | None = None,
    ) -> None:
        self._view = view
        self._lease = lease
        self._servers = servers
        self._rule: ChoiceRule = rule or PowerOfTwo()
        self._rng = rng or Random()
        self._choices_made = 0
        self._last_tokens: dict[ServiceName, Token] = {}
        self._queues: dict[QueueId, DeadlineQueue[_WaitingRequest]] = {}
        self._waiting_counts: dict[ServiceName, int] = {}

    async def assign(self, call: Call) -> Assignment | NotRun:
        """Assign a request to a server, waiting for a free slot while its deadline allows it.

        The slot is taken until the block of :meth:`releasing` ends.
        """
        call.attempts += 1
        result = self._try_assign(call)
        if isinstance(result, Assignment) and not self._queue(self._queue_id(result, call)):
            return self._take_slot(result)
        queue_id = self._queue_id(result, call)
        refused = self._check_admission(call, queue_id)
        if refused is not None:
            return refused
        return await self._wait(call, queue_id)

    def recheck_token(self, call: Call, assignment: Assignment) -> Token | None:
        """Return the fencing token of a keyed request that is about to be written.

        None means that it must not be written: the session lease has expired or the key has
        another owner than the assigned server.
        """
        assert call.key is not None
        if not self._lease.is_held(monotonic()):
            return None
        route = self._view.state.route(call.service.name, call.key)
        if route.server is None or self._servers.get(route.server.id) is not assignment.server:
            return None
        self._check_token_order(call.service.name, route.token)
        return route.token

    def _check_token_order(self, service: ServiceName, token: Token) -> None:
        last = self._last_tokens.get(service, token)
        require(token >= last, f"fencing token {token} of {service} sent after {last}")
        self._last_tokens[service] = token

    @contextmanager
    def releasing(self, assignment: Assignment) -> Iterator[None]:
        """Release the slot when the block ends, and assign it to the next waiting request."""
        try:
            yield
        finally:
            assignment.server.in_flight -= 1
            require(
                assignment.server.in_flight >= 0, "a request slot of a server was released twice"
            )
            record = assignment.server.record
            self._assign_waiting(QueueId(service=record.service, server=record.id))
            self._assign_waiting(QueueId(service=record.service))

    def pause_server(self, assignment: Assignment) -> None:
        """Send no requests for a short time to a server that shed one; then recheck the queue."""
        self._servers.pause(assignment.server)
        queue_id = QueueId(service=assignment.server.record.service)
        asyncio.get_running_loop().call_later(SHED_PAUSE_S, self._assign_waiting, queue_id)

    def state_changed(self) -> None:
        """Recheck all waiting requests after a change of the replicated state or the lease."""
        for queue_id in list(self._queues):
            self._recheck_queue(queue_id)

    def waiting_count(self, service: ServiceName) -> int:
        """Return the number of waiting requests of a service."""
        return self._waiting_counts.get(service, 0)

    def total_waiting_count(self) -> int:
        """Return the number of waiting requests of all services."""
        return sum(self._waiting_counts.values())

    def _try_assign(self, call: Call) -> Assignment | QueueId:
        if call.key is not None:
            return self._try_assign_owner(call)
        return self._try_assign_any(call)

    def _try_assign_owner(self, call: Call) -> Assignment | QueueId:
        assert call.key is not None
        name = call.service.name
        if not self._lease.is_held(monotonic()):
            return QueueId(service=name)
        route = self._view.state.route(name, call.key)
        server = self._servers.get(route.server.id) if route.server is not None else None
        if server is None or server.record.status is ServerStatus.LOST:
            return QueueId(service=name)
        if not server.has_capacity:
            return QueueId(service=name, server=server.record.id)
        return Assignment(server=server, token=route.token)

    def _try_assign_any(self, call: Call) -> Assignment | QueueId:
        name = call.service.name
        candidates = self._servers.candidates(name, monotonic())
        if not candidates:
            return QueueId(service=name)
        candidates = [c for c in candidates if c.server not in call.avoided_servers] or candidates
        chosen = choose(self._rule, candidates, rng=self._rng, choices_made=self._choices_made)
        self._choices_made += 1
        server = self._servers.get(chosen.server)
        assert server is not None
        return Assignment(server=server)

    def _queue_id(self, result: Assignment | QueueId, call: Call) -> QueueId:
        if isinstance(result, QueueId):
            return result
        owner = result.server.record.id if call.key is not None else None
        return QueueId(service=call.service.name, server=owner)

    def _queue(self, queue_id: QueueId) -> DeadlineQueue[_WaitingRequest]:
        queue = self._queues.get(queue_id)
        if queue is None:
            queue = self._queues[queue_id] = DeadlineQueue()
        return queue

    def _take_slot(self, assignment: Assignment) -> Assignment:
        server = assignment.server
        server.in_flight += 1
        require(
            server.in_flight <= server.limits.in_flight,
            f"server {server.record.id} was assigned more requests than its limit",
        )
        return assignment

    def _check_admission(self, call: Call, queue_id: QueueId) -> NotRun | None:
        if self.waiting_count(queue_id.service) >= call.service.queue:
            return _overloaded(
                "too many requests wait for this service", self._retry_after_s(queue_id)
            )
        servers = self._eligible_servers(queue_id)
        if call.key is None and not servers:
            return NotRun(
                status=503,
                detail="no backend server of this service is there",
                remedy="come back after Retry-After",
                retry_after_s=1,
            )
        if servers and not can_meet_deadline(
            now=monotonic(),
            deadline=call.deadline,
            ahead=len(self._queue(queue_id)),
            parallel=sum(server.limits.in_flight for server in servers),
            service_s=_mean_response_s(servers),
        ):
            return _overloaded(
                "the request cannot be answered in time", self._retry_after_s(queue_id)
            )
        return None

    def _eligible_servers(self, queue_id: QueueId) -> list[BackendServer]:
        if queue_id.server is not None:
            server = self._servers.get(queue_id.server)
            return [server] if server is not None else []
        return self._servers.eligible_servers(queue_id.service)

    def _retry_after_s(self, queue_id: QueueId) -> int:
        servers = self._eligible_servers(queue_id)
        parallel = max(1, sum(server.limits.in_flight for server in servers))
        return max(1, ceil(len(self._queue(queue_id)) * _mean_response_s(servers) / parallel))

    async def _wait(self, call: Call, queue_id: QueueId) -> Assignment | NotRun:
        loop = asyncio.get_running_loop()
        waiting = _WaitingRequest(call=call, queue_id=queue_id, assignment=loop.create_future())
        self._queue(queue_id).push(waiting, deadline=call.deadline)
        self._waiting_counts[queue_id.service] = self.waiting_count(queue_id.service) + 1
        timeout_at = call.deadline - max(
            MIN_RESPONSE_S, _mean_response_s(self._eligible_servers(queue_id))
        )
        timer = loop.call_at(timeout_at, self._time_out, waiting)
        self._assign_waiting(queue_id)
        try:
            return await waiting.assignment
        except asyncio.CancelledError:
            self._release_unused(waiting)
            raise
        finally:
            timer.cancel()
            self._waiting_counts[queue_id.service] -= 1
            self._assign_waiting(waiting.queue_id)

    def _time_out(self, waiting: _WaitingRequest) -> None:
        if waiting.assignment.done():
            return
        keyed_without_owner = waiting.call.key is not None and waiting.queue_id.server is None
        detail = (
            "the key has had no owner for as long as the request could wait"
            if keyed_without_owner
            else "no server had room for as long as the request could wait"
        )
        waiting.assignment.set_result(_overloaded(detail, self._retry_after_s(waiting.queue_id)))

    def _release_unused(self, waiting: _WaitingRequest) -> None:
        """Release the slot of a request that was cancelled after it was assigned."""
        if waiting.assignment.done() and not waiting.assignment.cancelled():
            assignment = waiting.assignment.result()
            if isinstance(assignment, Assignment):
                with self.releasing(assignment):
                    pass

    def _assign_waiting(self, queue_id: QueueId) -> None:
        """Assign waiting requests in order of deadline until one has to keep waiting."""
        queue = self._queues.get(queue_id)
        if queue is None:
            return
        while (head := queue.head()) is not None:
            if head.item.assignment.done():
                queue.remove(head)
            elif not self._assign_or_requeue(queue, head, queue_id):
                return

    def _recheck_queue(self, queue_id: QueueId) -> None:
        """Recheck each waiting request, since their owners may differ."""
        queue = self._queues[queue_id]
        for waiter in queue.waiting():
            if waiter.item.assignment.done():
                queue.remove(waiter)
            else:
                self._assign_or_requeue(queue, waiter, queue_id)
        if not len(queue):
            del self._queues[queue_id]

    def _assign_or_requeue(
        self,
        queue: DeadlineQueue[_WaitingRequest],
        waiter: Waiter[_WaitingRequest],
        queue_id: QueueId,
    ) -> bool:
        """Assign a waiting request or move it to another queue; return False if neither."""
        result = self._try_assign(waiter.item.call)
        if isinstance(result, Assignment):
            queue.remove(waiter)
            waiter.item.assignment.set_result(self._take_slot(result))
            return True
        if result != queue_id:
            queue.remove(waiter)
            waiter.item.queue_id = result
            self._queue(result).push(waiter.item, deadline=waiter.deadline)
            return True
        return False


def _mean_response_s(servers: list[BackendServer]) -> float:
    known = [
        server.response_time.mean_s for server in servers if server.response_time.response_count
    ]
    return sum(known) / len(known) if known else 0.0


def _overloaded(detail: str, retry_after_s: int) -> NotRun:
    return NotRun(
        status=503,
        detail=detail,
        remedy="come back after Retry-After",
        retry_after_s=retry_after_s,
    )
