"""Leases, and keyed requests in flight while their keys move."""

import asyncio

from lychee_gateway.drain import KeyedRequestTracker
from lychee_gateway.lease import SessionLease
from lychee_owner import ClusterState, hash_key
from lychee_types.commands import BeginTransition, FinishTransition, SubmitDocument
from lychee_types.messages import (
    Attach,
    Drained,
    EndSession,
    RenewLease,
)
from lychee_types.records import Member, Placement
from lychee_types.timing import Timing

from .conftest import FakeServer, answer, open_world, run, services


def test_a_lease_counts_from_its_sending_less_the_drift():
    lease = SessionLease(timing=Timing(drift_ms=100))
    number = lease.record_renewal(10.0)
    lease.record_grant(number=number, lease_ms=1_500)
    assert lease.is_held(11.39) and not lease.is_held(11.41)
    later = lease.record_renewal(11.0)
    lease.record_grant(number=number, lease_ms=1_500)
    assert not lease.is_held(11.41)
    lease.end()
    lease.record_grant(number=later, lease_ms=1_500)
    assert not lease.is_held(11.0)


def moving_state():
    state = ClusterState()
    one, two = (Placement(members=(Member(server=s, weight=1.0),)) for s in ("s1", "s2"))
    commands = (
        SubmitDocument(submission="s", based_on=0, author="a", document=services()),
        BeginTransition(service="status", target=one),
        FinishTransition(service="status", begun=2),
        BeginTransition(service="status", target=two),
    )
    for index, command in enumerate(commands, start=1):
        state.apply(index, command)
    return state


def test_a_transition_drains_when_answers_or_deadlines_are_over():
    state, log = moving_state(), KeyedRequestTracker(drift_s=0.1)
    flights = [
        log.begin(service="status", key=hash_key(k), server="s1", deadline=d)
        for k, d in ((b"a", 5.0), (b"b", 6.0))
    ]
    log.begin(service="status", key=hash_key(b"c"), server="s2", deadline=9.0)
    assert log.drained_transitions(state, 1.0) == ()
    log.end(flights[0])
    assert log.drained_transitions(state, 6.05) == ()
    assert log.drained_transitions(state, 6.11) == (Drained(service="status", begun=4),)


def test_a_moving_key_waits_and_its_old_owners_request_is_awaited():
    async def scenario():
        release = asyncio.Event()

        async def held(seen):
            await release.wait()
            return answer(b"from the old owner")

        old, new = FakeServer("s1", "status", held), FakeServer("s2", "status")
        async with open_world(old, new) as world:
            control = world.control
            control.place("status", "s1")
            await world.ready()
            first = asyncio.create_task(world.get(b"/repair-status/k"))
            await world.until(lambda: old.seen)
            begun = control.begin("status", "s2")
            await world.ready()
            second = asyncio.create_task(world.get(b"/repair-status/k"))
            await asyncio.sleep(0.1)
            assert not second.done()
            assert not _drained(control)
            release.set()
            assert (await first).body == b"from the old owner"
            await world.until(lambda: _drained(control))
            control.commit(FinishTransition(service="status", begun=begun))
            assert (await second).body == b"s2 /repair-status/k "
        assert len(old.seen) == 1

    run(scenario())


def _drained(control):
    return [m for m in control.got if isinstance(m, RenewLease) and m.drained]


def test_a_request_that_timed_out_counts_until_its_deadline_and_drift():
    async def scenario():
        old, new = FakeServer("s1", "status", lambda seen: None), FakeServer("s2", "status")
        async with open_world(old, new) as world:
            control = world.control
            control.place("status", "s1")
            await world.ready()
            caller = await world.caller()
            caller.write(b"GET /repair-status/k HTTP/1.1\r\nHost: h\r\n\r\n")
            await world.until(lambda: old.seen)
            control.begin("status", "s2")
            caller.close()
            await world.until(lambda: old.closed)
            assert len(world.gateway._keyed_requests) == 1
            await asyncio.sleep(0.3)
            assert not _drained(control)
            await world.until(lambda: _drained(control))

    run(scenario())


def test_a_declared_lost_run_attaches_as_a_new_one():
    async def scenario():
        async with open_world(FakeServer("s1", "status")) as world:
            session = world.gateway._control.session
            for link in world.control.links:
                link.post(EndSession(session=session))
            await world.until(lambda: world.gateway._control.session != session)
            await world.until(lambda: world.gateway.readiness().ready)
            attached = [m for m in world.control.got if isinstance(m, Attach)]
            assert attached[-1].gateway.session == world.gateway._control.session
            assert attached[-1].have > 0
            assert (await world.get(b"/repair-status/k")).status == 200

    run(scenario())
