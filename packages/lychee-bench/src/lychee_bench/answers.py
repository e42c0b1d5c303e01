"""Response bodies of the stand-in servers, and the callers' check of them."""

from typing import Final

import msgspec
from msgspec import Struct

NEWLINE: Final = b"\n"


class ResponseStamp(Struct, frozen=True, kw_only=True):
    """First line of a response body, which identifies the request that it belongs to.

    :param request: value of the request's Lychee-Request-Id.
    :param key: last path segment, percent-decoded, its bytes decoded as Latin-1.
    :param server: the server that ran the request.
    :param run: number of the run at that server.
    :param size: length of the whole body in bytes.
    """

    request: str
    key: str
    server: str
    run: int
    size: int


_DECODER = msgspec.json.Decoder(ResponseStamp)


def make_response_body(*, request: str, key: str, server: str, run: int, size: int) -> bytes:
    """Return a response body: its stamp and a filler that depends on the request id.

    The body has ``size`` bytes, or more if the stamp alone is longer.
    """
    body = _head(request=request, key=key, server=server, run=run, size=size)
    if len(body) > size:
        full = _head(request=request, key=key, server=server, run=run, size=len(body))
        return _head(request=request, key=key, server=server, run=run, size=len(full))
    return body + _filler(request, size - len(body))


def check_response_body(body: bytes, *, request: str, key: str) -> ResponseStamp | None:
    """Return the stamp of a response that is whole and belongs to the request, else None."""
    head, found, filler = body.partition(NEWLINE)
    try:
        stamp = _DECODER.decode(head)
    except msgspec.MsgspecError:
        return None
    is_own = stamp.request == request and stamp.key == key
    is_whole = bool(found) and len(body) == stamp.size
    if is_own and is_whole and filler == _filler(request, len(filler)):
        return stamp
    return None


def _head(*, request: str, key: str, server: str, run: int, size: int) -> bytes:
    stamp = ResponseStamp(request=request, key=key, server=server, run=run, size=size)
    return msgspec.json.encode(stamp) + NEWLINE


def _filler(request: str, size: int) -> bytes:
    unit = request.encode() + b"."
    return (unit * (size // len(unit) + 1))[:size]
