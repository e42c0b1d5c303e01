"""Sizes of the users' current deployments."""

from collections.abc import Collection

from msgspec import Struct, structs

SERVER_SPEEDS = (0.5, 1.0, 1.0, 1.5, 2.0)
"""Relative speeds assigned to the servers of a group in turn; they differ by a factor of 4."""


class ServerGroup(Struct, frozen=True, kw_only=True):
    """The stand-in servers of one service.

    :param service: the service's name.
    :param count: number of servers.
    :param slots: number of requests that each runs at once.
    :param connections: number of connections that each serves.
    :param service_ms: service time of a request at speed 1, in milliseconds.
    :param answer_bytes: length of a response body.
    :param rate: requests per second that callers send to the service.
    :param speeds: relative speeds, assigned to the servers in turn.
    :param queue: number of requests that can wait for a slot at each server.
    """

    service: str
    count: int
    slots: int
    connections: int
    service_ms: float
    answer_bytes: int = 512
    rate: float = 50.0
    speeds: tuple[float, ...] = SERVER_SPEEDS
    queue: int = 64


class Sizes(Struct, frozen=True, kw_only=True):
    """Sizes of one deployment.

    :param document: file name of the operators' document.
    :param groups: the stand-in servers, a group for each service.
    :param controls: number of control replicas.
    :param gateways: number of gateways.
    """

    document: str
    groups: tuple[ServerGroup, ...]
    controls: int = 3
    gateways: int = 3


SKAFT = Sizes(
    document="skaft.yaml",
    groups=(
        ServerGroup(
            service="repair-status",
            count=17,
            slots=3,
            connections=120,
            service_ms=6.0,
            rate=150.0,
        ),
        ServerGroup(
            service="bench-booking",
            count=10,
            slots=3,
            connections=120,
            service_ms=15.0,
            rate=30.0,
        ),
        ServerGroup(
            service="guides",
            count=6,
            slots=3,
            connections=120,
            service_ms=15.0,
            answer_bytes=65_536,
            rate=20.0,
        ),
    ),
)
"""Skaftværkstedet Fællesforening."""

KEMER = Sizes(
    document="kemer.yaml",
    groups=(
        ServerGroup(
            service="truss-drawing", count=17, slots=4, connections=50, service_ms=6.0, rate=150.0
        ),
        ServerGroup(
            service="order-confirmation",
            count=8,
            slots=4,
            connections=50,
            service_ms=15.0,
            rate=30.0,
        ),
        ServerGroup(
            service="packs",
            count=6,
            slots=4,
            connections=50,
            service_ms=15.0,
            answer_bytes=65_536,
            rate=20.0,
        ),
    ),
)
"""Kemer Çatı Makas Tasarım A.Ş."""

USERS = {"skaft": SKAFT, "kemer": KEMER}
"""Sizes by the user's short name."""


def with_half_servers(sizes: Sizes) -> Sizes:
    """Return sizes with half as many servers in each group."""
    groups = tuple(structs.replace(group, count=group.count // 2) for group in sizes.groups)
    return structs.replace(sizes, groups=groups)


def with_one_server_each(sizes: Sizes, services: Collection[str]) -> Sizes:
    """Return sizes with one server of each named service, which gets a refused request again."""
    groups = tuple(
        structs.replace(group, count=1) if group.service in services else group
        for group in sizes.groups
    )
    return structs.replace(sizes, groups=groups)


SOAK_USERS = {name: with_half_servers(sizes) for name, sizes in USERS.items()}
"""Sizes for soak tests, by the user's short name."""
