"""What a gateway knows of requests under which servers end, and what it tells the leader."""

import asyncio
from itertools import product

import pytest

from lychee_gateway.proxy import CallerRequest
from lychee_gateway.proxy.attempts import Sender
from lychee_gateway.proxy.crashes import (
    RECENT_S,
    REPORT_INTERVAL_S,
    CrashGuard,
    request_signature,
)
from lychee_gateway.proxy.resets import ResetRecorder
from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.testing import make_limits, make_paths
from lychee_http import RequestHead
from lychee_policy import TURN_S, Verdict
from lychee_types.clock import SystemClock
from lychee_types.crash_messages import KnownCrashes
from lychee_types.ids import (
    DomainName,
    GatewayId,
    Incarnation,
    RequestSignature,
    ServerId,
    ServiceName,
)
from lychee_types.records import Endpoint
from lychee_types.registry import RegisteredServer, ServerIncarnation
from lychee_types.testing import ManualClock

SIGNATURE = RequestSignature(b"one")


def server(number):
    return ServerIncarnation(server=ServerId(f"s{number}"), incarnation=Incarnation(1))


class Setup:
    """Gateways that have seen servers end under one request."""

    def __init__(self):
        self.clock = ManualClock()

    def guard(self, *, ends=(), own_id="g0", gateways=("g0",)):
        guard = CrashGuard(clock=self.clock, own_id=GatewayId(own_id), others=lambda: gateways)
        for number in ends:
            sent_at = self.clock.monotonic() - 0.9
            guard.record_end(SIGNATURE, server(number), sent_at=sent_at, request_id=f"q{number}")
            self.clock.advance(1.0)
        return guard

    def tell(self, guard, *reports):
        for report in reports:
            guard.receive_news(KnownCrashes(requests=report.requests))


def signature_of(*, account=b"", target=b"/a", method=b"GET", body=b"", length=None, key=None):
    request = CallerRequest(
        request_id="q", host="x", path="/a", timeout_s=1.0, key=key, account=account
    )
    return request_signature(
        request, method=method, target=target, body=body, declared_length=length
    )


def test_a_repeat_has_the_same_signature_and_any_other_request_another():
    kinds = [
        {},
        {"account": b"b"},
        {"target": b"/b"},
        {"target": b"/a?c"},
        {"method": b"POST"},
        {"body": b"c"},
        {"length": b"70000"},
        {"key": 7},
    ]
    for one, other in product(range(len(kinds)), repeat=2):
        is_same = signature_of(**kinds[one]) == signature_of(**kinds[other])
        assert is_same is (one == other)


def test_ends_at_several_gateways_add_up():
    setup = Setup()
    one, other = setup.guard(ends=[0]), setup.guard(ends=[1, 2])
    assert one.verdict(SIGNATURE) is Verdict.FREE
    setup.tell(one, other.take_report())
    assert one.verdict(SIGNATURE) is Verdict.BLOCKED
    assert one.blocked_for_s(SIGNATURE) > 0


def test_an_answer_at_another_gateway_frees_a_suspect():
    setup = Setup()
    one, other = setup.guard(ends=[0, 1]), setup.guard()
    setup.tell(other, one.take_report())
    assert other.verdict(SIGNATURE) is Verdict.SUSPECTED
    other.record_answer(SIGNATURE)
    setup.tell(one, other.take_report())
    assert one.verdict(SIGNATURE) is Verdict.FREE


def test_recent_ends_are_reported_again_for_a_new_leader():
    setup = Setup()
    guard = setup.guard(ends=[0])
    assert guard.take_report() is not None
    assert guard.take_report() is None
    setup.clock.advance(REPORT_INTERVAL_S)
    assert len(guard.take_report().requests[0].ends) == 1
    setup.clock.advance(RECENT_S)
    guard.take_report()
    setup.clock.advance(REPORT_INTERVAL_S)
    assert guard.take_report() is None


def test_a_request_is_running_until_its_attempt_ends():
    guard = Setup().guard()
    with pytest.raises(ValueError, match="ended"), guard.track(SIGNATURE):
        assert guard.is_running(SIGNATURE)
        raise ValueError("ended")
    assert not guard.is_running(SIGNATURE)


def test_a_suspected_request_waits_at_all_gateways_but_one():
    setup = Setup()
    report = setup.guard(ends=[0, 1]).take_report()
    ids = [f"g{number}" for number in range(9)]
    guards = [setup.guard(own_id=own, gateways=ids) for own in ids]
    for guard in guards:
        setup.tell(guard, report)
        assert guard.verdict(SIGNATURE) is Verdict.SUSPECTED
    setup.clock.advance(3.3)
    waits = [guard.wait_for_turn_s(SIGNATURE) for guard in guards]
    assert waits.count(0.0) == 1
    setup.clock.advance(max(waits) + TURN_S / 2)
    assert not guards[waits.index(max(waits))].wait_for_turn_s(SIGNATURE)


def test_a_request_without_a_known_end_waits_for_no_turn():
    guards = [Setup().guard(own_id=own, gateways=("g0", "g1")) for own in ("g0", "g1")]
    assert [guard.wait_for_turn_s(SIGNATURE) for guard in guards] == [0.0, 0.0]


async def answer_all(reader, writer):
    while await reader.readuntil(b"\r\n\r\n"):
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")


def test_a_server_has_ended_though_an_idle_connection_to_it_is_still_open():
    async def body():
        listener = await asyncio.start_server(answer_all, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        record = RegisteredServer(
            run=server(1),
            endpoint=Endpoint(host=host, port=port),
            domain=DomainName("d"),
            service=ServiceName("s"),
            release="1",
            slots=1,
        )
        clock = SystemClock()
        paths = make_paths(ServerList(clock=clock, as_of=clock.monotonic), clock)
        sender = Sender(
            codec=None,
            paths=paths,
            limits=make_limits(clock),
            resets=ResetRecorder(on_reset=lambda service: None, clock=clock),
            drain_s=2.0,
            clock=clock,
        )
        ended = ProxyServer(record=record, now=clock.monotonic())
        conn = await ended.pool.acquire(timeout_s=1.0)
        with ended.pool.release_after_use(conn):
            conn.send(RequestHead(method=b"GET", target=b"/", headers=()), b"")
            await conn.read_head()
            assert await conn.read_chunk() == b""
        assert len(ended.pool) == 1
        assert not await sender.has_ended(ended)
        listener.close()
        assert await sender.has_ended(ended)

    asyncio.run(body())
