"""Schedules of faults, relays, processes, and the checks of documents."""

import asyncio
import os
import sys

import pytest
import uvloop

from lychee_bench.availability import Span
from lychee_bench.documents import CHANGED_REPLY, DIFFERENT, MISSING, REVERTED, DocumentChecker
from lychee_bench.processes import running_processes
from lychee_bench.relay import Direction, Network, Relay, find_process, run_relays
from lychee_bench.schedule import (
    Fault,
    FaultTargets,
    Kill,
    Leave,
    Race,
    format_schedule,
    make_schedule,
)
from lychee_bench.soak import active_faults
from lychee_runtime.ports import free_endpoints
from lychee_types.document import Document
from lychee_types.operator_messages import (
    GatewayState,
    StatusReply,
)
from lychee_types.state import SubmissionRecord

TARGETS = FaultTargets(controls=("c1", "c2", "c3"), gateways=("g1", "g2"), servers=("s1", "s2"))


def test_a_seed_always_gives_the_same_schedule() -> None:
    first, second, other = (
        format_schedule(make_schedule(seed=seed, seconds=120, targets=TARGETS))
        for seed in (1, 1, 2)
    )
    assert first == second != other


@pytest.mark.parametrize("seed", range(20))
def test_every_fault_ends_within_the_run(seed) -> None:
    schedule = make_schedule(seed=seed, seconds=90, targets=TARGETS)
    assert schedule
    assert all(0 < fault.at and fault.ends_at < 90 for fault in schedule)


async def echo(reader, writer) -> None:
    while data := await reader.read(100):
        writer.write(data)


async def run_through_relay(steps) -> None:
    listen, target = free_endpoints(2)
    network = Network()
    relay = Relay(
        name="c1", listen=listen, target=target, network=network, pids=lambda: {"me": os.getpid()}
    )
    server = await asyncio.start_server(echo, target.host, target.port)
    async with run_relays((relay,)):
        reader, writer = await asyncio.open_connection(listen.host, listen.port)
        await asyncio.wait_for(steps(network, reader, writer), 10)
        writer.close()
    assert relay.connection_counts == {"me": 1}
    server.close()


@pytest.mark.parametrize(
    "direction", [Direction(source="me", target="c1"), Direction(source="c1", target="me")]
)
def test_a_cut_holds_back_bytes_until_it_is_healed(direction) -> None:
    async def steps(network, reader, writer):
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        network.cut(direction)
        writer.write(b"two")
        reading = asyncio.create_task(reader.readexactly(3))
        await asyncio.sleep(0.2)
        assert not reading.done()
        network.heal(direction)
        assert await reading == b"two"

    uvloop.run(run_through_relay(steps))


def test_a_port_of_no_known_process_is_unknown() -> None:
    (endpoint,) = free_endpoints(1)
    assert find_process(endpoint.port, {"me": os.getpid()}) == "unknown"


def test_every_process_is_stopped_and_unexpected_exits_are_recorded(tmp_path) -> None:
    sleep = (sys.executable, "-c", "import time; time.sleep(60)")
    fail = (sys.executable, "-c", "raise SystemExit(3)")
    with running_processes(tmp_path) as group:
        for name, argv in {"a": sleep, "b": sleep, "c": sleep, "d": fail}.items():
            group.start(name, argv)
        group.kill("a")
        group.freeze("b")
        pids = [group.pid(name) for name in ("b", "c")]
        os.waitid(os.P_PID, group.pid("d"), os.WEXITED | os.WNOWAIT)
        group.check_exits()
        assert [(item.name, item.code) for item in group.unexpected_exits] == [("d", 3)]
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)


def document(name: str) -> Document:
    return Document(organisation=name, domains=("nord",), services=())


def record(version: int, *, submission: str = "s", accepted: bool = True) -> SubmissionRecord:
    return SubmissionRecord(
        submission=submission, author="a", based_on=0, accepted=accepted, version=version
    )


def gateway(version: int, *, applied: int) -> GatewayState:
    return GatewayState(
        id="g1",
        session="x",
        domain="nord",
        document_version=version,
        applied=applied,
        lease_left_ms=1,
    )


def status(version: int, *, term: int, gateways=()) -> StatusReply:
    return StatusReply(
        leader="c1",
        term=term,
        commit=1,
        document_version=version,
        replicas=(),
        gateways=gateways,
        servers=(),
        services=(),
    )


def kinds(checker: DocumentChecker) -> list[str]:
    return [violation.kind for violation in checker.violations]


def test_document_versions_that_revert_differ_or_are_missing_are_violations() -> None:
    checker = DocumentChecker()
    checker.check_submission(record(1), document("x"))
    checker.check_submission(record(1), document("x"))
    checker.check_submission(record(1, submission="t", accepted=False), document("y"))
    checker.check_stored(1, document("x"))
    checker.check_status(status(2, term=3))
    checker.check_status(status(1, term=2))
    for version, applied in ((2, 9), (0, 0)):
        checker.check_status(status(2, term=5, gateways=(gateway(version, applied=applied),)))
    assert kinds(checker) == []
    checker.check_submission(record(2), document("x"))
    checker.check_submission(record(1, submission="u"), document("y"))
    checker.check_stored(1, None)
    checker.check_status(status(1, term=6))
    checker.check_status(status(2, term=6, gateways=(gateway(1, applied=9),)))
    assert kinds(checker) == [CHANGED_REPLY, DIFFERENT, MISSING, REVERTED, REVERTED]


def test_operators_actions_do_not_excuse_an_unavailable_span() -> None:
    span = Span(group="s", began=10.0, ended=15.0)
    active_times = {
        Fault(at=1, lasts=1, action=Race(operators=2)): (9.0, 10.0),
        Fault(at=2, lasts=1, action=Leave(server="s1")): (9.0, 10.0),
        Fault(at=3, lasts=1, action=Kill(process="g1")): (9.0, 10.0),
        Fault(at=4, lasts=1, action=Kill(process="g2")): (1.0, 2.0),
    }
    assert [fault.at for fault in active_faults(span, active_times)] == [3]
