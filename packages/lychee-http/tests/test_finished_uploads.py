"""An upload that was answered early and sent to its end arrives whole."""

import asyncio
import socket

from lychee_http import RequestHead
from lychee_http.outbound import open_server_connection
from lychee_types.records import Endpoint

SIZE = 4_000_000

PART = b"x" * 16_000

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


def read_all(conn):
    received = 0
    conn.settimeout(5)
    while data := conn.recv(65_536):
        received += len(data)
    return received


async def parts():
    for _ in range(SIZE // len(PART)):
        yield PART


def test_the_end_of_an_upload_that_was_answered_early_is_not_dropped_when_it_has_been_sent():
    async def scenario(listener):
        host, port = listener.getsockname()
        conn = await open_server_connection(Endpoint(host=host, port=port), timeout_s=2.0)
        sock = conn.stream.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        accepted, _ = listener.accept()
        length = (b"content-length", b"%d" % SIZE)
        conn.send(RequestHead(method=b"POST", target=b"/", headers=(length,)), b"")
        sending = asyncio.create_task(conn.send_body(parts(), chunked=False))
        accepted.sendall(ANSWER)
        assert (await conn.read_head()).status == 200 and not await conn.read_chunk()
        reading = asyncio.create_task(asyncio.to_thread(read_all, accepted))
        await sending
        if not conn.end_exchange():
            conn.close()
        received = await reading if conn.stream.transport.is_closing() else SIZE + 1
        accepted.close()
        assert received > SIZE

    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        asyncio.run(scenario(listener))
