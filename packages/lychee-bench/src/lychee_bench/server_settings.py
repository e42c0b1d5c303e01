"""Settings and behaviour of a stand-in backend server."""

from msgspec import Struct

from lychee_types.records import Endpoint


class Behaviour(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What an experiment may change while the server runs.

    :param service_ms: time to run one request at speed 1, in milliseconds.
    :param slowdown: factor on the time to run a request.
    :param health_ok: what the health endpoint says, whatever is true.
    :param load_lag_ms: age of what the load endpoint says.
    """

    service_ms: float = 5.0
    slowdown: float = 1.0
    health_ok: bool = True
    load_lag_ms: int = 1_000


class ServerSettings(Struct, frozen=True, kw_only=True):
    """Settings of one stand-in server.

    :param id: the server's id.
    :param service: the service it serves.
    :param domain: its failure domain.
    :param listen: where it takes requests.
    :param entries: announce addresses of the entry VMs.
    :param runs: file for the records of its runs.
    :param slots: how many requests it runs at once.
    :param connections: how many connections it serves.
    :param queue: how many requests wait for a slot; more are shed.
    :param speed: its speed relative to the service's usual server.
    :param announced_speed: the speed that it announces.
    :param checks_tokens: whether it refuses old fencing tokens.
    :param streamed: whether its answers are sent in chunks.
    :param answer_bytes: length of an answer's body unless the request asks for another.
    :param open_ms: time to open a connection.
    :param cold_s: length of its cold start.
    :param cold_factor: factor on the time to run a request during the cold start.
    :param drain_s: longest drain after SIGTERM.
    :param behaviour: what can change while it runs.
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
    behaviour: Behaviour = Behaviour()
