"""Limit on the bytes reserved for the request bodies that a gateway holds."""

from collections.abc import Iterator
from contextlib import contextmanager

from lychee_gateway.calls import NotRun
from lychee_http import RequestHead, header_value

MAX_HELD_BYTES = 268_435_456
"""Maximum number of bytes reserved for request bodies at once."""

UNDECLARED_BODY_BYTES = 1_048_576
"""Bytes reserved for a body of undeclared length; the maximum for one of declared length."""

TOO_MANY_BODIES = NotRun(
    status=503,
    detail="this gateway holds too many request bodies",
    remedy="come back after Retry-After, or ask another VM",
    retry_after_s=1,
)


def expected_bytes(head: RequestHead) -> int:
    """Return how many bytes to reserve for a request's body."""
    declared = header_value(head.headers, b"content-length")
    if declared is not None:
        return min(int(declared), UNDECLARED_BODY_BYTES)
    coded = header_value(head.headers, b"transfer-encoding") is not None
    return UNDECLARED_BODY_BYTES if coded else 0


class BodyBudget:
    """Reserves bytes for request bodies.

    :param limit: maximum number of bytes reserved at once.
    """

    def __init__(self, *, limit: int = MAX_HELD_BYTES) -> None:
        self._available = limit

    @contextmanager
    def reserve(self, size: int) -> Iterator[bool]:
        """Reserve bytes until the block ends, and yield whether there were enough.

        :param size: number of bytes.
        """
        granted = size <= self._available
        reserved = size if granted else 0
        self._available -= reserved
        try:
            yield granted
        finally:
            self._available += reserved
