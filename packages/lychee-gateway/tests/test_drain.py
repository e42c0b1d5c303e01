"""Session leases, and keyed requests in flight while their keys move."""

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

from .conftest import FakeServer, open_harness, response, run, services


def test_a_lease_runs_from_the_send_time_of_its_renewal_less_the_drift():
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


def test_a_transition_is_drained_after_responses_or_expiry():
    state, tracker = moving_state(), KeyedRequestTracker(drift_s=0.1)
    requests = [
        tracker.begin(service="status", key=hash_key(k), server="s1", deadline=d)
        for k, d in ((b"a", 5.0), (b"b", 6.0))
    ]
    tracker.begin(service="status", key=hash_key(b"c"), server="s2", deadline=9.0)
    assert tracker.drained_transitions(state, 1.0) == ()
    tracker.end(requests[0])
    assert tracker.drained_transitions(state, 6.05) == ()
    assert tracker.drained_transitions(state, 6.11) == (Drained(service="status", begun=4),)


def test_a_request_for_a_moving_key_waits_for_the_old_owners_request():
    async def scenario():
        release = asyncio.Event()

        async def wait_for_release(request):
            await release.wait()
            return response(b"from the old owner")

        old, new = FakeServer("s1", "status", wait_for_release), FakeServer("s2", "status")
        async with open_harness(old, new) as harness:
            control = harness.control
            control.place_service("status", "s1")
            await harness.ready()
            first = asyncio.create_task(harness.get(b"/repair-status/k"))
            await harness.wait_until(lambda: old.requests)
            begun = control.begin_transition("status", "s2")
            await harness.ready()
            second = asyncio.create_task(harness.get(b"/repair-status/k"))
            await asyncio.sleep(0.1)
            assert not second.done()
            assert not _drained_reports(control)
            release.set()
            assert (await first).body == b"from the old owner"
            await harness.wait_until(lambda: _drained_reports(control))
            control.commit(FinishTransition(service="status", begun=begun))
            assert (await second).body == b"s2 /repair-status/k "
        assert len(old.requests) == 1

    run(scenario())


def _drained_reports(control):
    return [m for m in control.received if isinstance(m, RenewLease) and m.drained]


def test_a_request_that_timed_out_is_tracked_until_its_deadline_and_drift():
    async def scenario():
        old, new = FakeServer("s1", "status", lambda request: None), FakeServer("s2", "status")
        async with open_harness(old, new) as harness:
            control = harness.control
            control.place_service("status", "s1")
            await harness.ready()
            caller = await harness.caller()
            caller.write(b"GET /repair-status/k HTTP/1.1\r\nHost: h\r\n\r\n")
            await harness.wait_until(lambda: old.requests)
            control.begin_transition("status", "s2")
            caller.close()
            await harness.wait_until(lambda: old.closed)
            assert len(harness.gateway._keyed_requests) == 1
            await asyncio.sleep(0.3)
            assert not _drained_reports(control)
            await harness.wait_until(lambda: _drained_reports(control))

    run(scenario())


def test_a_gateway_whose_session_was_declared_lost_starts_a_new_one():
    async def scenario():
        async with open_harness(FakeServer("s1", "status")) as harness:
            session = harness.gateway._control.session
            for link in harness.control.links:
                link.post(EndSession(session=session))
            await harness.wait_until(lambda: harness.gateway._control.session != session)
            await harness.wait_until(lambda: harness.gateway.readiness().ready)
            attached = [m for m in harness.control.received if isinstance(m, Attach)]
            assert attached[-1].gateway.session == harness.gateway._control.session
            assert attached[-1].have > 0
            assert (await harness.get(b"/repair-status/k")).status == 200

    run(scenario())
