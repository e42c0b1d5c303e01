"""Where requests begin and end in the bytes of a carried connection."""

import pytest

from lychee_gateway.proxy.carried_requests import CarriedRequests

HEAD = b"POST / HTTP/1.1\r\nhost: a\r\n"
UPLOADS = {
    "length": HEAD + b"content-length: 8\r\n\r\nabcdefgh",
    "chunks": HEAD + b"transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n4\r\nefgh\r\n0\r\n\r\n",
    "a request in the body": HEAD + b"content-length: 28\r\n\r\nPOST / HTTP/1.1\r\nhost: b\r\n\r\n",
    "no body": b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
}


@pytest.mark.parametrize("upload", UPLOADS.values(), ids=UPLOADS)
def test_each_byte_but_the_first_one_is_within_a_request(upload):
    requests = CarriedRequests()
    for _ in range(2):
        assert not requests.is_within
        for position, value in enumerate(upload):
            assert requests.is_within == (position > 0)
            requests.feed(bytes([value]))
    assert not requests.is_within


@pytest.mark.parametrize("data", [b"\x00\x01", b"PRI * HTTP/2.0\r\n\r\n", HEAD + b"x\r\n\r\n"])
def test_bytes_that_are_no_request_are_not_followed(data):
    requests = CarriedRequests()
    requests.feed(data)
    requests.feed(UPLOADS["length"][:-1])
    assert not requests.is_within
