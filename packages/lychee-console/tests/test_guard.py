"""Requests that are checked in front of circuits.web. Each case once triggered a fault in it."""

import asyncio
import re
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lychee_console.web import Connection

PLAIN_REQUEST = re.compile(
    rb"(GET|POST) /[A-Za-z0-9/._~-]* HTTP/1.1\r\nHost: console\r\nConnection: close\r\n\r\n"
)
POST = b"POST /login HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-www-form-urlencoded\r\n"
GET = b"GET /login HTTP/1.1\r\nHost: x\r\n"


def exchange(console, data: bytes) -> bytes:
    with socket.create_connection((console.host, console.port), timeout=10) as sock:
        sock.sendall(data)
        parts = []
        while part := sock.recv(65_536):
            parts.append(part)
    return b"".join(parts)


CASES = [
    (
        "length and chunks",
        POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    ("chunks", POST + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    ("negative length", POST + b"Content-Length: -5\r\n\r\n", 400),
    ("two lengths", POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\na", 400),
    ("no number as length", POST + b"Content-Length: x\r\n\r\n", 400),
    ("large length", POST + b"Content-Length: 9999999\r\n\r\n", 413),
    ("large head", GET + b"X: " + b"a" * 20_000 + b"\r\n\r\n", 431),
    ("HEAD", b"HEAD /login HTTP/1.1\r\nHost: x\r\n\r\n", 405),
    ("PUT", b"PUT /login HTTP/1.1\r\nHost: x\r\n\r\n", 405),
    ("another body type", POST.replace(b"urlencoded", b"xml") + b"Content-Length: 0\r\n\r\n", 415),
    ("escapes in the path", b"GET /log%69n HTTP/1.1\r\nHost: x\r\n\r\n", 404),
    ("backslash escapes", b"GET /\\n HTTP/1.1\r\nHost: x\r\n\r\n", 404),
    ("a whole URL", b"GET http://x/login HTTP/1.1\r\nHost: x\r\n\r\n", 404),
    ("no host", b"GET /login HTTP/1.1\r\n\r\n", 400),
    ("no HTTP", b"hello\r\n\r\n", 400),
    ("TLS on a plain port", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
    ("unknown page", b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", 303),
    ("form without a session", POST + b"Content-Length: 1\r\n\r\na", 403),
    ("faulty cookie", GET + b"Cookie: a=1; =;;\x01; {}=\r\n\r\n", 400),
    ("odd cookie", GET + b"Cookie: {}=1; (=2\r\n\r\n", 200),
    ("odd host", b"GET /login HTTP/1.1\r\nHost: [::1]:x\r\n\r\n", 200),
]


@pytest.mark.parametrize(("data", "status"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_one_request_gets_one_response(console, data: bytes, status: int) -> None:
    answer = exchange(console, data)
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer[:80]
    assert answer.count(b"HTTP/1.1 ") == 1 and b"Traceback" not in answer
    assert exchange(console, GET + b"\r\n").startswith(b"HTTP/1.1 200")


def test_a_second_request_during_the_first_gets_no_response(console) -> None:
    answer = exchange(console, GET + b"\r\n" + b"GET /style.css HTTP/1.1\r\nHost: x\r\n\r\n")
    assert answer.count(b"HTTP/1.1 ") == 1 and b"Log in" in answer


def test_a_request_in_single_bytes_is_answered(console) -> None:
    with socket.create_connection((console.host, console.port), timeout=10) as sock:
        for byte in GET + b"\r\n":
            sock.sendall(bytes([byte]))
        assert sock.recv(100).startswith(b"HTTP/1.1 200")


def test_disconnected_browsers_leave_no_state(fake_control, start_console) -> None:
    with start_console(fake_control.endpoint) as daemon:
        for data in (b"", b"GET /lo", GET + b"\r\n"):
            with socket.create_connection(
                (daemon._cfg.listen.host, daemon._cfg.listen.port)
            ) as sock:
                sock.sendall(data)
        for _ in range(3):
            assert b"Log in" in exchange(daemon._cfg.listen, GET + b"\r\n")
    assert daemon._bridge.connections == set()
    assert daemon._bridge.http._clients == {} and daemon._bridge.http._buffers == {}
    assert daemon.exit_code == 0


class RecordingTransport:
    """A transport that records what is written."""

    def __init__(self) -> None:
        self.written = b""
        self.closing = False

    def write(self, data: bytes) -> None:
        self.written += data

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        self.closing = True

    def pause_reading(self) -> None: ...

    def get_extra_info(self, name: str) -> None: ...


class RecordingBridge:
    """A fake bridge that records the requests that are forwarded to circuits.web."""

    def __init__(self) -> None:
        self.events: list[object] = []

    def add(self, conn: Connection) -> bool:
        return True

    def remove(self, conn: Connection) -> None: ...

    def fire(self, event: object, channel: str) -> None:
        self.events.append(event)


PIECES = st.sampled_from(
    [
        *(POST, GET, b"\r\n", b"\r\n\r\n", b"Content-Length: 5\r\n", b"Content-Length: +5\r\n"),
        *(b"Transfer-Encoding: chunked\r\n", b"Cookie: lychee_session=a\r\n", b"0\r\n\r\n"),
        *(b"csrf=", b"Host: y\r\n", b" folded\r\n", b"HEAD / HTTP/1.1\r\n", b"\\n: x\r\n"),
    ]
)


@settings(derandomize=True, deadline=None, database=None, max_examples=300)
@given(st.lists(PIECES | st.binary(max_size=12), max_size=12))
def test_arbitrary_bytes_forward_at_most_one_plain_request(pieces: list[bytes]) -> None:
    async def scenario() -> None:
        transport, bridge = RecordingTransport(), RecordingBridge()
        conn = Connection(bridge=bridge)
        conn.connection_made(transport)
        for piece in pieces:
            conn.data_received(piece)
        conn.connection_lost(None)
        assert len(bridge.events) + transport.written.count(b"HTTP/1.1 ") <= 1
        for event in bridge.events:
            assert PLAIN_REQUEST.fullmatch(event.args[1])

    asyncio.run(scenario())
