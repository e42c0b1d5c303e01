"""Connections on which a request must not be sent again, as its id is that of an earlier one."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from msgspec.msgpack import Encoder

from lychee_http import RequestHead
from lychee_http.carrying import encode_frame, open_carried_connection
from lychee_http.pool import MAX_PASSED_OVER, ServerPool
from lychee_http.recent_requests import KEPT, KEPT_S, MAX_KEPT, RecentRequests
from lychee_http.used_connections import UsedConnections
from lychee_types.ids import Incarnation, ServerId
from lychee_types.peer_messages import CarryAccepted, CarryRequest
from lychee_types.records import Endpoint
from lychee_types.registry import ServerIncarnation

HEAD = RequestHead(method=b"GET", target=b"/", headers=())
RUN = ServerIncarnation(server=ServerId("s1"), incarnation=Incarnation(1))
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


@asynccontextmanager
async def open_pool():
    async def serve(reader, writer):
        while await reader.read(1_000):
            writer.write(ANSWER)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = ServerPool(endpoint=Endpoint(host=host, port=port))
    try:
        yield pool
    finally:
        pool.close()
        server.close()


async def exchange(pool, request_id):
    """Send a request as gateways do, and return its connection."""
    used = UsedConnections(request_id)
    conn = await pool.acquire(timeout_s=1.0, but=used)
    used.add(conn)
    with pool.release_after_use(conn):
        conn.send(HEAD, b"")
        await conn.read_head()
        while await conn.read_chunk():
            pass
    return conn


@pytest.mark.parametrize("way", ["idle", "set aside", "carried"])
def test_no_connection_is_used_for_the_same_id_again(way):
    async def scenario():
        async with open_pool() as pool:
            first = await exchange(pool, "r1")
            first.is_carried = way == "carried"
            take = pool.take_idle
            if way != "idle":
                pool.doubt_direct()
            if way == "set aside":
                take = pool.take_unproven
            assert take(UsedConnections("r1")) is None
            assert take(UsedConnections("r2")) is first

    asyncio.run(scenario())


def test_a_call_never_uses_a_connection_again_however_long_ago_it_did():
    async def scenario():
        async with open_pool() as pool:
            used = UsedConnections("r1")
            conn = await pool.connect(timeout_s=1.0)
            used.add(conn)
            for number in range(KEPT + 1):
                conn.recent_requests.add(number, now=float("inf"))
            pool.add(conn)
            assert pool.take_idle(used) is None

    asyncio.run(scenario())


def test_callers_that_give_all_requests_one_id_do_not_fill_the_pool():
    # Descriptors: each request passes over all connections that the earlier ones have left.
    async def scenario():
        async with open_pool() as pool:
            for _ in range(10 * MAX_PASSED_OVER):
                await exchange(pool, "r1")
                assert len(pool) <= MAX_PASSED_OVER

    asyncio.run(scenario())


def test_requests_are_forgotten_with_time_and_the_last_ones_are_not():
    recent = RecentRequests()
    for number in range(2 * KEPT):
        recent.add(number, now=0.0)
    recent.add(-1, now=KEPT_S)
    assert 0 in recent
    recent.add(-2, now=KEPT_S + 0.1)
    kept = range(KEPT + 2, 2 * KEPT)
    assert [n for n in range(2 * KEPT) if n in recent] == list(kept)
    assert -1 in recent and -2 in recent


def test_a_connection_that_can_remember_no_more_requests_is_closed():
    async def scenario():
        async with open_pool() as pool:
            conns = [await exchange(pool, f"r{n}") for n in range(MAX_KEPT + 1)]
            assert conns[0] is conns[MAX_KEPT - 1] is not conns[MAX_KEPT]
            assert len(conns[0].recent_requests) == MAX_KEPT

    asyncio.run(scenario())


@pytest.mark.parametrize("size", [2, 4, 6])
def test_a_carried_connection_with_a_part_of_a_frame_takes_no_request(size):
    # The rest is bytes of no request; the next request would be given up because of them.
    async def scenario():
        frame = encode_frame(ANSWER)

        async def carry(reader, writer):
            writer.write(encode_frame(Encoder().encode(CarryAccepted())))
            await reader.readuntil(b"\r\n\r\n")
            writer.write(frame + frame[:size])

        server = await asyncio.start_server(carry, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        carrier = Endpoint(host=host, port=port)
        request = CarryRequest(run=RUN, endpoint=carrier, timeout_ms=1_000)
        conn = await open_carried_connection(carrier, request, timeout_s=1.0)
        conn.send(HEAD, b"")
        await conn.read_head()
        while await conn.read_chunk():
            pass
        await asyncio.sleep(0.05)
        assert not conn.end_exchange()
        conn.close()
        server.close()

    asyncio.run(scenario())
