"""Bound on the sum of the request bodies that a gateway holds."""

from collections.abc import Iterator
from contextlib import contextmanager

from lychee_gateway.calls import NotRun
from lychee_http import RequestHead, header_value

BODIES_LIMIT_BYTES = 268_435_456
"""Most bytes of request bodies held at once."""

UNDECLARED_BYTES = 1_048_576
"""Bytes set aside for a body whose length is not declared."""

TOO_MANY_BODIES = NotRun(
    status=503,
    detail="this gateway holds too many request bodies",
    remedy="come back after Retry-After, or ask another VM",
    retry_after_s=1,
)


def expected_bytes(head: RequestHead) -> int:
    """Return how many bytes to set aside for a request's body."""
    declared = header_value(head.headers, b"content-length")
    if declared is not None:
        return min(int(declared), UNDECLARED_BYTES)
    coded = header_value(head.headers, b"transfer-encoding") is not None
    return UNDECLARED_BYTES if coded else 0


class BodyBudget:
    """Sets bytes aside for request bodies.

    :param limit: most bytes set aside at once.
    """

    def __init__(self, *, limit: int = BODIES_LIMIT_BYTES) -> None:
        self._left = limit

    @contextmanager
    def reserved(self, size: int) -> Iterator[bool]:
        """Set bytes aside until the block ends, and tell whether there were enough.

        :param size: number of bytes.
        """
        granted = size <= self._left
        taken = size if granted else 0
        self._left -= taken
        try:
            yield granted
        finally:
            self._left += taken
