"""Slow callers of a soak, with a stand-in for the gateway that cuts its responses."""

import asyncio

import pytest
import uvloop

from lychee_bench.answers import make_response_body
from lychee_bench.balancer import GatewayAddresses
from lychee_bench.slow_callers import CUT, SlowCallers
from lychee_runtime.ports import free_endpoint

SIZE = 20_000


def response(path: bytes, number: int) -> bytes:
    name = path.rpartition(b"/")[2].partition(b"?")[0].decode()
    body = make_response_body(
        request=f"{name}.{number}", key=name, server="a", run=number, size=SIZE
    )
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


async def call(*, cut: int, other: bool = False, process_ids=(7,)) -> SlowCallers:
    """Call a gateway that leaves out the last bytes, or answers another request."""

    async def accept(reader, writer):
        path = (await reader.readuntil(b"\r\n\r\n")).split()[1]
        data = response(path, 1) + response(path, 1 if other else 2)
        writer.write(data[: len(data) - cut])
        await writer.drain()
        writer.write_eof()

    ids = iter(process_ids)
    last = process_ids[-1]
    listen = free_endpoint()
    gateway = GatewayAddresses(name="g1", listen=listen, announce=listen)
    callers = SlowCallers(gateways=(gateway,), path="/s/", process_id=lambda name: next(ids, last))
    async with await asyncio.start_server(accept, listen.host, listen.port):
        await callers.run(0.01)
    return callers


@pytest.mark.parametrize(
    ("options", "kinds"),
    [
        ({"cut": 0}, []),
        ({"cut": 1}, [CUT]),
        ({"cut": SIZE + 30}, [CUT]),
        ({"cut": 2 * SIZE + 1_000}, [CUT]),
        ({"cut": 0, "other": True}, [CUT]),
        ({"cut": 1, "process_ids": (7, 8)}, []),
        ({"cut": 1, "process_ids": (7, None)}, []),
    ],
)
def test_a_cut_response_is_a_violation_unless_the_gateway_was_killed(options, kinds) -> None:
    callers = uvloop.run(asyncio.wait_for(call(**options), 20))
    assert [violation.kind for violation in callers.violations] == kinds
