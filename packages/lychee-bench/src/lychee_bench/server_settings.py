"""Settings and behaviour of a stand-in backend server."""

from msgspec import Struct

from lychee_types.records import Endpoint


class Behaviour(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Behaviour of the server that an experiment can change while it runs.

    :param service_ms: service time of a request at speed 1, in milliseconds.
    :param slowdown: factor on the service time.
    :param health_ok: whether the health endpoint reports success, regardless of the real state.
    :param load_lag_ms: delay of the load endpoint's response, in milliseconds, so that the load
        that it reports is that old.
    """

    service_ms: float = 5.0
    slowdown: float = 1.0
    health_ok: bool = True
    load_lag_ms: int = 1_000


class ServerSettings(Struct, frozen=True, kw_only=True):
    """Settings of one stand-in server.

    :param id: the server's id.
    :param service: the service that it serves.
    :param domain: its failure domain.
    :param listen: address on which it accepts requests.
    :param entries: announce addresses of the entry VMs.
    :param runs: path of its run log.
    :param slots: number of requests that it runs at once.
    :param connections: number of connections that it serves.
    :param queue: number of requests that can wait for a slot; further ones are shed.
    :param speed: its speed relative to the service's usual server.
    :param announced_speed: the speed that it announces.
    :param checks_tokens: whether it refuses fencing tokens below its fence.
    :param streamed: whether responses are sent in chunks.
    :param answer_bytes: length of a response body unless the request asks for another.
    :param open_ms: simulated time to set up a connection, in milliseconds.
    :param cold_s: duration of its cold start, in seconds.
    :param cold_factor: factor on the service time during the cold start.
    :param drain_s: maximum duration of the drain after SIGTERM, in seconds.
    :param repeats: whether a relay in front of it repeats responses and refuses requests.
    :param behaviour: initial behaviour.
    """

    id: str
    service: str
    domain: str
    listen: Endpoint
    entries: tuple[Endpoint, ...]
    runs: str
    slots: int = 3
    connections: int = 120
    queue: int = 64
    speed: float = 1.0
    announced_speed: float = 1.0
    checks_tokens: bool = False
    streamed: bool = False
    answer_bytes: int = 512
    open_ms: float = 1.0
    cold_s: float = 0.0
    cold_factor: float = 5.0
    drain_s: float = 10.0
    repeats: bool = False
    behaviour: Behaviour = Behaviour()
