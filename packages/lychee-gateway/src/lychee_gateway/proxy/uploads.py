"""How much of a request's body is kept, and whether a body that is not kept may be sent again."""

from lychee_gateway.proxy.attempts import Body, NotRun
from lychee_http import RequestHead
from lychee_http.framing import declared_length
from lychee_types.routing import RouteKind

RETRY_BUFFER_BYTES = 65_536
"""Bytes of a request body that are buffered, so that it can be sent to another server."""


def first_bytes(kind: RouteKind, head: RequestHead) -> int:
    """Return the maximum number of bytes of a body that are read before a server is chosen.

    An upload is sent as it arrives, unless it is known to be small.
    """
    if not kind.is_upload:
        return RETRY_BUFFER_BYTES
    length = declared_length(head)
    return 0 if length is None or length > RETRY_BUFFER_BYTES else RETRY_BUFFER_BYTES


def may_send_again(kind: RouteKind, body: Body, attempt: NotRun) -> bool:
    """Return whether a request that a server did not run may be sent to another one.

    An upload may as long as no server can have read a byte of its body.
    """
    if not kind.is_upload or not attempt.was_sent:
        return True
    return body.is_whole and not body.buffered
