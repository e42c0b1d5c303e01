"""Further heads that cannot be those of a response, and valid ones beside odd bytes."""

import asyncio

import pytest

from lychee_http import RequestHead, open_server_connection
from lychee_http.messages import ResponseHead
from lychee_http.parser import EndOfMessage, MalformedError
from lychee_http.response_parser import ResponseParser
from lychee_types.records import Endpoint

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

ODD = {
    "000": b"HTTP/1.1 000 Odd\r\n\r\n",
    "600": b"HTTP/1.1 600 Odd\r\n\r\n",
    "another protocol": b"RTSP/1.0 200 OK\r\n\r\n",
    "not HTTP": b"SSH-2.0-x\r\n",
    "interim": b"HTTP/1.1 100 Go\r\n\r\n",
    "switch": b"HTTP/1.1 101 Go\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
}


def read(*parts, to_head=False):
    parser = ResponseParser(head_limit=65_536, to_head=to_head)
    events = []
    for part in parts:
        parser.feed(part)
        while (event := parser.next_event()) is not None:
            events.append(event)
    return events, parser


@pytest.mark.parametrize("protocol", [b"RTSP/1.0", b"ICE/1.0"])
@pytest.mark.parametrize("is_split", [False, True])
def test_another_protocol_behind_an_interim_response_is_rejected(protocol, is_split):
    parts = [b"HTTP/1.1 100 Continue\r\n\r\n", OK.replace(b"HTTP/1.1", protocol)]
    with pytest.raises(MalformedError):
        read(*(parts if is_split else [b"".join(parts)]))


@pytest.mark.parametrize("is_split", [False, True])
@pytest.mark.parametrize("name", ODD)
def test_odd_bytes_behind_a_whole_response_leave_it_whole(name, is_split):
    parts = [OK, ODD[name]]
    events, parser = read(*(parts if is_split else [b"".join(parts)]))
    assert isinstance(events[0], ResponseHead) and events[1] == b"ok"
    assert isinstance(events[2], EndOfMessage)
    assert parser.complete and parser.has_surplus


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
        b"HTTP/1.1 304 Same\r\nContent-Length: 9\r\nConnection: close\r\n\r\n",
        b"HTTP/1.0 200 OK\r\n\r\n",
        b"HTTP/1.1 426 No\r\nUpgrade: h2c\r\nConnection: Upgrade\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No\r\n\r\n",
        b"\n\r\nHTTP/1.1 200\r\nContent-Length: 2\r\n\r\n",
    ],
)
@pytest.mark.parametrize("step", [1, 7, 1_000])
def test_usual_heads_are_taken_for_a_head_request(head, step):
    events, parser = read(*(head[i : i + step] for i in range(0, len(head), step)), to_head=True)
    assert isinstance(events[0], ResponseHead) and isinstance(events[-1], EndOfMessage)
    assert parser.complete


def test_an_answer_before_a_switch_of_protocols_is_returned_before_the_deadline():
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK + ODD["switch"])
            await reader.read()
            writer.close()

        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            host, port = server.sockets[0].getsockname()
            endpoint = Endpoint(host=host, port=port)
            conn = await open_server_connection(endpoint, timeout_s=1.0)
            conn.send(RequestHead(method=b"GET", target=b"/", headers=()), b"")
            try:
                async with asyncio.timeout(2.0):
                    return (await conn.read_head()).status
            finally:
                conn.close()

    assert asyncio.run(scenario()) == 200
