"""A gateway that forwards requests by routes.

Routes match host and path and split traffic over services by weight. Requests are retried within a
budget, and a request with a key goes to the one server that owns the key.
"""

from lychee_gateway.proxy.codec import (
    CallerRequest,
    Occupancy,
    ProbeAnswer,
    ProxyCodec,
    Rejection,
    ResponseInfo,
)
from lychee_gateway.proxy.daemon import ProxyDaemon

__all__ = [
    "CallerRequest",
    "Occupancy",
    "ProbeAnswer",
    "ProxyCodec",
    "ProxyDaemon",
    "Rejection",
    "ResponseInfo",
]
