"""A gateway that forwards by routes: host and path, weights, attempts, keys with one owner."""

from lychee_gateway.proxy.codec import (
    CallerRequest,
    Occupancy,
    ProxyCodec,
    Rejection,
    ResponseInfo,
)
from lychee_gateway.proxy.daemon import ProxyDaemon

__all__ = [
    "CallerRequest",
    "Occupancy",
    "ProxyCodec",
    "ProxyDaemon",
    "Rejection",
    "ResponseInfo",
]
