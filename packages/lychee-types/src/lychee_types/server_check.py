"""Checks the records of backend servers, which anybody may write who reaches a control replica."""

from ipaddress import ip_address

from lychee_types.records import MAX_PORT, Endpoint
from lychee_types.registry import RegisteredServer

MAX_NAME_CHARS = 255
"""Maximum length of a name in a server's record."""

MAX_SLOTS = 65_536
"""Maximum number of slots of a server."""

MAX_COLD_S = 86_400.0
"""Maximum time for which a server stays slow after its start, in seconds."""

MAX_NUMBER = 2**63 - 1
"""Highest incarnation, sequence number and token; they are stored in 64 bits."""


def server_fault(server: RegisteredServer) -> str | None:
    """Return why a record names no server that can be used, None if it does."""
    names = (server.run.server, server.domain, server.service, server.release)
    if any(len(name) > MAX_NAME_CHARS for name in names):
        return f"a name has more than {MAX_NAME_CHARS} characters"
    if not server.run.server or not server.service:
        return "the server or its service has no name"
    if not 0 <= server.run.incarnation <= MAX_NUMBER:
        return "the start time is out of range"
    if not 1 <= server.slots <= MAX_SLOTS:
        return f"{server.slots} is no number of slots from 1 to {MAX_SLOTS}"
    if not 0.0 <= server.cold_s <= MAX_COLD_S:
        return f"the server would be slow for {server.cold_s} s"
    return _endpoint_fault(server.endpoint)


def _endpoint_fault(endpoint: Endpoint) -> str | None:
    try:
        address = ip_address(endpoint.host)
    except ValueError:
        return f"{endpoint.host[:64]!r} is no IP number"
    if address.is_unspecified or address.is_multicast:
        return f"{address} is the address of no single VM"
    if not 1 <= endpoint.port <= MAX_PORT:
        return f"{endpoint.port} is no TCP port"
    return None
