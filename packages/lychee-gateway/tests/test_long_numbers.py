"""Numbers of servers with more digits than can be converted are malformed, and stop nothing."""

import pytest

from .conftest import FakeServer, open_harness, run

DIGITS = b"0" * 5_000 + b"2"


@pytest.mark.parametrize("number", [DIGITS, b"9" * 5_000], ids=["zeros", "nines"])
def test_a_refusal_with_a_long_retry_after_is_still_a_refusal(number):
    # The conversion failed, and the caller got another outcome than that of the refusal.
    async def scenario():
        refused = b"HTTP/1.1 503 Busy\r\nLychee-Refused: shed\r\nContent-Length: 0\r\n"
        script = lambda request: refused + b"Retry-After: " + number + b"\r\n\r\n"  # noqa: E731
        async with open_harness(FakeServer("b1", "booking", script)) as harness:
            reply = await harness.get(b"/bench-booking/x", method=b"POST", body=b"b")
            assert (reply.status, reply.headers[b"lychee-outcome"]) == (503, b"not-run")

    run(scenario())


def test_an_answer_with_a_long_content_length_has_an_unknown_outcome():
    # The parser takes leading zeros, and the conversion of the number failed.
    async def scenario():
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: " + DIGITS + b"\r\n\r\nok"
        async with open_harness(FakeServer("b1", "booking", lambda request: answer)) as harness:
            reply = await harness.get(b"/bench-booking/x", method=b"POST", body=b"b")
            assert (reply.status, reply.headers[b"lychee-outcome"]) == (502, b"unknown")

    run(scenario())
