"""Heads of requests and responses, and the rules on forwarding their headers."""

from dataclasses import dataclass, field

Header = tuple[bytes, bytes]
"""A header's name in lower case, and its value."""

Headers = tuple[Header, ...]
"""Headers in the order in which they were received."""

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
"""Headers that apply to one connection only and are never forwarded."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """Head of a request.

    :param method: the method, for example ``b"GET"``.
    :param target: the request target, byte for byte.
    :param headers: all headers.
    :param version: HTTP version, ``b"1.0"`` or ``b"1.1"``.
    :param received_at: when its last byte was received, in seconds by
        :data:`lychee_http.tcp.RECEIPT_CLOCK`; None if it was not received.
    """

    method: bytes
    target: bytes
    headers: Headers
    version: bytes = b"1.1"
    received_at: float | None = field(default=None, compare=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """Head of a response.

    :param status: the HTTP status.
    :param headers: all headers.
    :param reason: the reason phrase.
    :param length: length of the body in bytes, None if the body is chunked.
    """

    status: int
    headers: Headers
    reason: bytes = b""
    length: int | None = None


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with this name (in lower case), or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def header_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return the values of all headers with this name (in lower case)."""
    return [value for key, value in headers if key == name]


def header_tokens(headers: Headers, name: bytes) -> frozenset[bytes]:
    """Return the comma-separated values of a header in lower case."""
    values = b",".join(value for key, value in headers if key == name)
    return frozenset(part.strip().lower() for part in values.split(b",")) if values else frozenset()


def forwarded_headers(headers: Headers, *, drop: frozenset[bytes] = frozenset()) -> list[Header]:
    """Return the headers to forward to the next hop: none that apply to one connection only.

    :param headers: the headers as received.
    :param drop: further names to leave out, in lower case.
    """
    connection_options = header_tokens(headers, b"connection")
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in connection_options and name not in drop
    ]
