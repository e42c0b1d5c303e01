"""Checks of request heads that the parser accepts: sizes, framing, targets."""

import re
from collections.abc import Iterator

from lychee_http.exceptions import BadRequestError
from lychee_http.messages import RequestHead, header_tokens, header_value, header_values

_TARGET = re.compile(rb"[\x21-\x7e]+\Z")
_LENGTH = re.compile(rb"[0-9]{1,18}\Z")

VERSIONS = (b"1.0", b"1.1")
"""Supported HTTP versions."""


def check_head(head: RequestHead, *, limit: int) -> None:
    """Reject a head that is too large, or that two parsers may read differently.

    :param head: the head.
    :param limit: maximum size of a head in bytes.
    :raises BadRequestError: if the head fails a check.
    """
    for error in _head_errors(head, limit):
        raise error


def _head_errors(head: RequestHead, limit: int) -> Iterator[BadRequestError]:
    if head.version not in VERSIONS:
        yield _bad_request(505, "the HTTP version is not served", "use HTTP/1.1")
    size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
    if size > limit:
        yield _bad_request(431, "the request's head is too large", f"send at most {limit} bytes")
    if head.method == b"CONNECT":
        yield _bad_request(501, "CONNECT is not served", "send requests to a service's path")
    if not _TARGET.match(head.target):
        yield _bad_request(400, "the target has raw bytes beyond ASCII", "percent-encode them")
    hosts = header_values(head.headers, b"host")
    if len(hosts) > 1 or (not hosts and head.version != b"1.0"):
        yield _bad_request(400, "the request has not exactly one Host", "send one Host header")
    yield from _framing_errors(head)


def _framing_errors(head: RequestHead) -> Iterator[BadRequestError]:
    codings = header_values(head.headers, b"transfer-encoding")
    lengths = header_values(head.headers, b"content-length")
    if codings and lengths:
        text = "the request has both Content-Length and Transfer-Encoding"
        yield _bad_request(400, text, "send one of the two")
    if codings and head.version == b"1.0":
        text = "an HTTP/1.0 request has Transfer-Encoding"
        yield _bad_request(400, text, "send Content-Length, or use HTTP/1.1")
    if codings and [coding.lower() for coding in codings] != [b"chunked"]:
        yield _bad_request(501, "the Transfer-Encoding is not served", "send chunked alone")
    if len(lengths) > 1 or (lengths and not _LENGTH.match(lengths[0])):
        yield _bad_request(400, "Content-Length is malformed", "send one number of bytes")


def declared_length(head: RequestHead) -> int | None:
    """Return the Content-Length of a checked head, None without one."""
    value = header_value(head.headers, b"content-length")
    return int(value) if value is not None else None


def has_body(head: RequestHead) -> bool:
    """Return whether a request's head announces a body."""
    if header_value(head.headers, b"transfer-encoding") is not None:
        return True
    return header_value(head.headers, b"content-length") not in (None, b"0")


def keeps_alive(head: RequestHead) -> bool:
    """Return whether the connection stays open after this request; never for HTTP/1.0."""
    if head.version == b"1.0":
        return False
    return b"close" not in header_tokens(head.headers, b"connection")


def body_too_large_error(limit: int) -> BadRequestError:
    """Return the error for a body that is longer than a limit in bytes."""
    return _bad_request(413, "the request's body is too large", f"send at most {limit} bytes")


def declared_length_error(head: RequestHead, limit: int) -> BadRequestError | None:
    """Return the error for a request whose Content-Length exceeds a limit in bytes, or None."""
    return body_too_large_error(limit) if (declared_length(head) or 0) > limit else None


def _bad_request(status: int, message: str, remedy: str) -> BadRequestError:
    return BadRequestError(status=status, message=message, remedy=remedy)
