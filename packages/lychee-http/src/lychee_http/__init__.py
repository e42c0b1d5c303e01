"""HTTP/1.1 with callers and backend servers; the data path uses HTTP only through this package."""

from lychee_http.inbound import CallerConnection, CallerLimits
from lychee_http.messages import (
    Header,
    Headers,
    RequestHead,
    ResponseHead,
    forwarded_headers,
    header_value,
)
from lychee_http.outbound import ServerConnection, open_server_connection
from lychee_http.tcp import TcpStream

__all__ = [
    "CallerConnection",
    "CallerLimits",
    "Header",
    "Headers",
    "RequestHead",
    "ResponseHead",
    "ServerConnection",
    "TcpStream",
    "forwarded_headers",
    "header_value",
    "open_server_connection",
]
