"""Callers and the load balancer, with stand-ins for the gateways."""

import asyncio
from itertools import count

import pytest
import uvloop

from lychee_bench.answers import make_response_body
from lychee_bench.audit import Outcome
from lychee_bench.balancer import Balancer, GatewayAddresses
from lychee_bench.http_client import ClientResponse
from lychee_bench.http_server import HttpServer, Response
from lychee_bench.load import (
    AttemptResult,
    Callers,
    Traffic,
    classify_response,
    combine_results,
    generate_arrivals,
)
from lychee_bench.server import request_key
from lychee_runtime.ports import free_endpoints

BOOKINGS = Traffic(service="s", path="/s/", rate=100.0, deadline_s=1.0, at_most_once=True)
LOOKUPS = Traffic(service="t", path="/t/", rate=100.0, deadline_s=1.0, keyed=True)


def body(request: str, key: str) -> bytes:
    return make_response_body(request=request, key=key, server="a", run=1, size=300)


CASES = [
    (200, {}, body("r1", "k"), Outcome.ANSWERED, False),
    (200, {}, body("r2", "k"), Outcome.WRONG, False),
    (200, {}, body("r1", "k2"), Outcome.WRONG, False),
    (200, {}, body("r1", "k")[:-1], Outcome.WRONG, False),
    (503, {"lychee-outcome": "not-run"}, b"", Outcome.NOT_RUN, False),
    (504, {"lychee-outcome": "unknown"}, b"", Outcome.UNKNOWN, True),
    (500, {}, b"", Outcome.WRONG, False),
]


@pytest.mark.parametrize(("status", "headers", "content", "outcome", "resend"), CASES)
def test_a_response_is_classified(status, headers, content, outcome, resend) -> None:
    response = ClientResponse(status=status, headers=headers, body=content)
    result = classify_response(response, request="r1", key="k", at_most_once=True)
    assert (result.outcome, result.resend) == (outcome, resend)


UNSENT = AttemptResult(outcome=Outcome.NOT_RUN, detail="", resend=True, sent=False)
NOT_RUN = AttemptResult(outcome=Outcome.NOT_RUN, detail="")
LOST = AttemptResult(outcome=Outcome.LOST, detail="", resend=True)
UNKNOWN = AttemptResult(outcome=Outcome.UNKNOWN, detail="", resend=True)
ANSWERED = AttemptResult(outcome=Outcome.ANSWERED, detail="")


@pytest.mark.parametrize(
    ("results", "at_most_once", "outcome", "resend"),
    [
        ([UNSENT, UNSENT], True, Outcome.NOT_RUN, True),
        ([UNSENT, ANSWERED], True, Outcome.ANSWERED, False),
        ([LOST, UNSENT], True, Outcome.LOST, True),
        ([LOST, UNSENT, NOT_RUN], True, Outcome.UNKNOWN, True),
        ([UNKNOWN, NOT_RUN], True, Outcome.UNKNOWN, True),
        ([UNKNOWN, NOT_RUN, ANSWERED], True, Outcome.ANSWERED, False),
        ([LOST, NOT_RUN], False, Outcome.NOT_RUN, False),
    ],
)
def test_combined_result_after_resends(results, at_most_once, outcome, resend) -> None:
    combined = UNSENT
    for result in results:
        combined = combine_results(combined, result, at_most_once=at_most_once)
    assert (combined.outcome, combined.resend) == (outcome, resend)


def test_arrivals_are_the_same_for_the_same_seed() -> None:
    first, second, other = (list(generate_arrivals(LOOKUPS, seconds=3, seed=n)) for n in (1, 1, 2))
    assert first == second != other
    assert 200 < len(first) < 400


class Gateway:
    """Stand-in for a gateway; the first responses have the statuses that a test gives."""

    def __init__(self, *first_statuses: int) -> None:
        self.ready_status = 200
        self.first_statuses = list(first_statuses)
        self.seen: list[str] = []

    async def handle(self, request, conn) -> Response:
        if request.target == "/_lychee/ready":
            return Response(status=self.ready_status)
        request_id = request.headers["lychee-request-id"]
        self.seen.append(request_id)
        if self.first_statuses:
            outcome = "not-run" if self.first_statuses[0] == 503 else "unknown"
            return Response(
                status=self.first_statuses.pop(0), headers=(("Lychee-Outcome", outcome),)
            )
        return Response(body=body(request_id, request_key(request.target)))


async def send_through(gateways: tuple[Gateway, ...], *traffic: Traffic, listening=None) -> Callers:
    addresses, listeners, watching = [], [], None
    for number, gateway in zip(count(), gateways):
        listen, announce = free_endpoints(2)
        addresses.append(GatewayAddresses(name=f"g{number}", listen=listen, announce=announce))
        server = HttpServer(handler=gateway.handle, connections=100)
        if listening is None or number in listening:
            for endpoint in (listen, announce):
                listeners.append(await server.listen(endpoint.host, endpoint.port))
    balancer = Balancer(gateways=tuple(addresses))
    callers = Callers(balancer=balancer, traffic=traffic, seed=1)
    watching = asyncio.create_task(balancer.probe_readiness())
    await asyncio.sleep(0.3)
    try:
        await asyncio.wait_for(callers.run(1.0), 20)
    finally:
        watching.cancel()
        for listener in listeners:
            listener.close()
    return callers


def test_a_booking_is_resent_after_an_unknown_outcome() -> None:
    gateway = Gateway(504)
    callers = uvloop.run(send_through((gateway,), BOOKINGS))
    assert {call.outcome for call in callers.calls} == {Outcome.ANSWERED}
    assert sorted(call.attempts for call in callers.calls)[-2:] == [1, 2]
    assert len(gateway.seen) == len(callers.calls) + 1


def test_a_caller_polls_a_key_until_it_is_served() -> None:
    gateway = Gateway(503, 503, 503)
    callers = uvloop.run(send_through((gateway,), LOOKUPS))
    assert sum(call.outcome is Outcome.NOT_RUN for call in callers.calls) == 3
    failed = {call.group for call in callers.calls if call.outcome is Outcome.NOT_RUN}
    for group in failed:
        last = [call for call in callers.calls if call.group == group][-1]
        assert last.outcome is Outcome.ANSWERED
    assert callers.last_server_of["t/t-0"] == "a"


def test_connections_go_to_ready_gateways_only() -> None:
    ready, not_ready, gone = Gateway(), Gateway(), Gateway()
    not_ready.ready_status = 503
    callers = uvloop.run(send_through((ready, not_ready, gone), LOOKUPS, listening={0, 1}))
    assert {call.outcome for call in callers.calls} == {Outcome.ANSWERED}
    assert not not_ready.seen and not gone.seen
