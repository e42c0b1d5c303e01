"""The dispatcher under random requests, cancellations, ownership changes and lost leases."""

import asyncio
from random import Random
from time import monotonic

import pytest

from lychee_gateway.calls import Call, NotRun
from lychee_gateway.dispatch import Dispatcher, QueueId
from lychee_gateway.lease import SessionLease
from lychee_gateway.servers import BackendServers
from lychee_gateway.view import StateView
from lychee_owner import hash_key
from lychee_types.commands import (
    BeginTransition,
    FinishTransition,
    JoinServer,
    LoseServer,
    SubmitDocument,
)
from lychee_types.messages import (
    Delta,
    Deltas,
)
from lychee_types.records import Endpoint, Member, Placement, ServerRecord
from lychee_types.timing import Timing

from .conftest import run, services

STEPS = 400
SERVICES = ("status", "booking")


class Model:
    """Drives a dispatcher and records the assignments that are in use."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.view, self.servers = StateView(), BackendServers()
        self.lease = SessionLease(timing=Timing())
        self.dispatcher = Dispatcher(
            view=self.view, lease=self.lease, servers=self.servers, rng=self.rng
        )
        self.view.add_listener(lambda: self.servers.sync(self.view.state))
        self.view.add_listener(self.dispatcher.state_changed)
        self.document = services(queue=30)
        self.index = 0
        self.begun_by_service = {}
        self.assigned = []
        self.pending = {}

    def commit(self, command):
        self.index += 1
        delta = Delta(index=self.index, command=command)
        self.view.apply_deltas(Deltas(entries=(delta,), upto=self.index))
        return self.index

    def join_server(self, number):
        self.commit(
            JoinServer(
                server=ServerRecord(
                    id=f"s{number}",
                    incarnation=self.index + 1,
                    endpoint=Endpoint(host="127.0.0.1", port=1),
                    domain="nord",
                    service=SERVICES[number % 2],
                    slots=self.rng.randint(1, 3),
                    connections=50,
                )
            )
        )

    def begin_transition(self):
        names = [f"s{n}" for n in (0, 2, 4) if self.rng.random() < 0.7] or ["s0"]
        target = Placement(members=tuple(Member(server=s, weight=1.0) for s in names))
        self.begun_by_service["status"] = self.commit(
            BeginTransition(service="status", target=target)
        )

    def finish_transition(self):
        if self.begun_by_service:
            self.commit(
                FinishTransition(service="status", begun=self.begun_by_service.pop("status"))
            )

    def request(self):
        name = self.rng.choice(SERVICES)
        key = hash_key(b"%d" % self.rng.randint(0, 20)) if name == "status" else None
        now = monotonic()
        call = Call(
            request_id="r",
            service=self.document.service(name),
            key=key,
            head=None,
            body=b"",
            arrived_at=now,
            deadline=now + self.rng.choice((0.05, 60.0)),
            deadline_ms=0,
        )
        self.pending[asyncio.create_task(self._assign(call))] = call

    async def _assign(self, call):
        assignment = await self.dispatcher.assign(call)
        if not isinstance(assignment, NotRun):
            self.assigned.append((call, assignment))

    def release(self):
        if self.assigned:
            call, assignment = self.assigned.pop(self.rng.randrange(len(self.assigned)))
            with self.dispatcher.releasing(assignment):
                pass

    def cancel(self):
        if self.pending:
            self.rng.choice(list(self.pending)).cancel()

    def release_and_cancel(self):
        """Cancel requests that may just have been assigned and have not used their slot yet."""
        self.release()
        for task in self.pending:
            if self.rng.random() < 0.3:
                task.cancel()

    def toggle_lease(self):
        if self.lease.is_held(monotonic()):
            self.lease.end()
        else:
            self.lease.record_grant(number=self.lease.record_renewal(monotonic()), lease_ms=600_000)
            self.dispatcher.state_changed()

    def lose_server(self):
        record = self.rng.choice(list(self.view.state.servers.values()))
        self.commit(LoseServer(server=record.id, incarnation=record.incarnation))

    async def settle(self):
        for _ in range(4):
            await asyncio.sleep(0)
        self.pending = {task: call for task, call in self.pending.items() if not task.done()}

    def check(self):
        for name in SERVICES:
            waiting = [call for call in self.pending.values() if call.service.name == name]
            assert self.dispatcher.waiting_count(name) == len(waiting)
            for call in waiting:
                assert isinstance(
                    self.dispatcher._try_assign(call), QueueId
                ), "a free slot is left unused"
        for server in self.servers:
            assigned = sum(assignment.server is server for _, assignment in self.assigned)
            assert server.in_flight == assigned


@pytest.mark.parametrize("seed", range(12))
def test_slots_are_neither_lost_nor_taken_twice_nor_left_unused(seed):
    async def scenario():
        model = Model(seed)
        model.commit(
            SubmitDocument(submission="s", based_on=0, author="a", document=model.document)
        )
        for number in range(6):
            model.join_server(number)
        model.begin_transition()
        model.finish_transition()
        model.toggle_lease()
        steps = [model.request] * 8 + [model.release] * 5 + [model.cancel, model.release_and_cancel]
        rare_steps = [
            model.begin_transition,
            model.finish_transition,
            model.finish_transition,
            model.toggle_lease,
            model.lose_server,
        ]
        for _ in range(STEPS):
            if model.rng.random() < 0.05:
                model.rng.choice([*rare_steps, lambda: model.join_server(model.rng.randrange(6))])()
            else:
                model.rng.choice(steps)()
            await model.settle()
            model.check()
        for task in model.pending:
            task.cancel()
        await model.settle()
        while model.assigned:
            model.release()
        model.check()
        assert not model.pending and all(server.in_flight == 0 for server in model.servers)

    run(scenario())
