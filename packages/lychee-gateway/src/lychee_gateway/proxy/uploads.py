"""How much of a request's body is kept, and whether a body that is not kept may be sent again."""

from collections.abc import AsyncIterator

from lychee_gateway.proxy.attempts import NotRun
from lychee_gateway.proxy.request_bodies import Body
from lychee_http import RequestHead
from lychee_http.exchange import CallerExchange
from lychee_http.framing import declared_length, has_body
from lychee_types.routing import RouteKind

RETRY_BUFFER_BYTES = 65_536
"""Bytes of a request body that are buffered, so that it can be sent to another server."""


async def begin_body(exchange: CallerExchange, *, kind: RouteKind, limit: int) -> Body:
    """Read as much of a request's body as is kept, before a server is chosen.

    Nothing is read of an upload unless it is known to be small: it is sent as it arrives.

    :param exchange: the exchange with the caller.
    :param kind: how the request may be handled.
    :param limit: maximum size of the body in bytes.
    """
    if kind.is_upload and _may_be_large(exchange.head):
        return Body(
            buffered=b"",
            is_whole=False,
            rest=lambda: _read_all(exchange, limit),
            is_upload=True,
        )
    buffered, is_whole = await exchange.read_body(max_bytes=RETRY_BUFFER_BYTES)
    return Body(
        buffered=buffered,
        is_whole=is_whole,
        rest=lambda: exchange.rest_of_body(limit=limit - len(buffered)),
        is_upload=kind.is_upload,
    )


def _may_be_large(head: RequestHead) -> bool:
    length = declared_length(head)
    return has_body(head) and (length is None or length > RETRY_BUFFER_BYTES)


async def _read_all(exchange: CallerExchange, limit: int) -> AsyncIterator[bytes]:
    """Yield a body from its first byte, once a server takes it."""
    # This asks for the body if its caller waits to be asked.
    await exchange.read_body(max_bytes=0)
    async for chunk in exchange.rest_of_body(limit=limit):
        yield chunk


def may_send_again(kind: RouteKind, body: Body, attempt: NotRun) -> bool:
    """Return whether a request that a server did not run may be sent to another one.

    An upload may as long as no server can have read a byte of its body.
    """
    if not kind.is_upload or not attempt.was_sent:
        return True
    return body.is_whole and not body.buffered
