"""Bytes of a server that cannot be a response to HTTP/1.1 end the wait for one at once."""

import pytest

from lychee_http.messages import ResponseHead
from lychee_http.parser import EndOfMessage, MalformedError
from lychee_http.response_parser import ResponseParser

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

IMPOSSIBLE = {
    "status 000": b"HTTP/1.1 000 Odd\r\n\r\n",
    "status 001 without a body": b"HTTP/1.1 001 Odd\r\nContent-Length: 0\r\n\r\n",
    "status 099 with a body": b"HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok",
    "status 600": b"HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok",
    "status 999": b"HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n",
    "two digits": b"HTTP/1.1 20 Odd\r\nContent-Length: 0\r\n\r\n",
    "four digits": b"HTTP/1.1 2000 Odd\r\nContent-Length: 0\r\n\r\n",
    "version 0.9": b"HTTP/0.9 200 OK\r\nContent-Length: 0\r\n\r\n",
    "version 2.0": b"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    "another protocol": b"RTSP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    "interim with a length": b"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n",
    "interim with chunks": b"HTTP/1.1 102 Wait\r\nTransfer-Encoding: chunked\r\n\r\n",
    "switch of protocols": b"HTTP/1.1 101 Go\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
}

POSSIBLE = {
    "interim": b"HTTP/1.1 102 Wait\r\n\r\n" + OK,
    "interim of an unknown kind": b"HTTP/1.1 199 Wait\r\n\r\n" + OK,
    "interim without content": b"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + OK,
    "line ends ahead": b"\r\n\r\n" + OK,
    "version 1.0": OK.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "status 599": OK.replace(b"200", b"599"),
}


def parse(data, *, step):
    """Return the events of a response that arrives in parts, and its parser."""
    parser = ResponseParser(head_limit=65_536, to_head=False)
    events = []
    for begin in range(0, len(data), step):
        parser.feed(data[begin : begin + step])
        while (event := parser.next_event()) is not None:
            events.append(event)
    return events, parser


@pytest.mark.parametrize("step", [1, 3, 1_000])
@pytest.mark.parametrize("name", IMPOSSIBLE)
def test_a_response_that_cannot_be_one_is_rejected_without_more_bytes(name, step):
    with pytest.raises(MalformedError):
        parse(IMPOSSIBLE[name], step=step)


@pytest.mark.parametrize("name", IMPOSSIBLE)
def test_a_response_behind_one_that_cannot_be_one_is_not_taken(name):
    parser = ResponseParser(head_limit=65_536, to_head=False)
    parser.feed(IMPOSSIBLE[name] + OK)
    with pytest.raises(MalformedError):
        parser.next_event()
    parser.feed(OK)
    with pytest.raises(MalformedError):
        parser.next_event()
    assert parser.has_surplus and not parser.complete


@pytest.mark.parametrize("step", [1, 3, 1_000])
@pytest.mark.parametrize("name", POSSIBLE)
def test_a_usual_response_is_still_read(name, step):
    events, parser = parse(POSSIBLE[name], step=step)
    assert isinstance(events[0], ResponseHead) and events[0].status in (200, 599)
    assert b"".join(event for event in events if isinstance(event, bytes)) == b"ok"
    assert isinstance(events[-1], EndOfMessage) and parser.complete


@pytest.mark.parametrize("status", [b"000", b"099", b"600"])
def test_the_error_names_the_status(status):
    with pytest.raises(MalformedError, match=status.decode()):
        parse(b"HTTP/1.1 %b Odd\r\n\r\n" % status, step=1_000)
