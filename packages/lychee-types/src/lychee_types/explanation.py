"""What a gateway says of where a request would go now, and why."""

from msgspec import Struct

from lychee_types.ids import DomainName, GatewayId, ServerId, ServiceName

EXPLAIN_PATH = "/explain"
"""HTTP path at which a gateway explains its decisions, beside its metrics."""


class ExplainQuery(Struct, frozen=True, kw_only=True):
    """A request to explain; it names a host and a path, or a route.

    :param host: host name, empty if the route is named.
    :param path: path, empty if the route is named.
    :param route: name of the route, empty if it follows from host and path.
    :param key: the shard key, None if there is none.
    :param timeout_ms: how long the caller waits, in ms; None for the route's timeout.
    :param domain: failure domain to decide for, empty for the gateway's own.
    """

    host: str = ""
    path: str = ""
    route: str = ""
    key: int | None = None
    timeout_ms: int | None = None
    domain: DomainName = DomainName("")


class ExplainedServer(Struct, frozen=True, kw_only=True):
    """A server that was considered.

    :param server: its id.
    :param domain: its failure domain.
    :param occupied: estimated number of its requests.
    :param slots: number of requests that it works on at once.
    :param load_age_ms: age of the load that it reported last in ms, -1 if it reported none.
    :param wait_ms: expected time in its queue, in ms.
    :param work_ms: expected time for the work, in ms.
    :param cost_ms: sum of both and of what it is charged with besides, in ms; the lowest is chosen.
    :param note: why it is chosen, or passed over.
    """

    server: ServerId
    domain: DomainName
    occupied: float
    slots: int
    load_age_ms: int
    wait_ms: int
    work_ms: int
    cost_ms: int
    note: str


class KeyOwner(Struct, frozen=True, kw_only=True):
    """The range that holds a key.

    :param low: first key of the range.
    :param high: last key of the range.
    :param phase: the phase of its grant.
    :param token: its fencing token.
    :param owner: the server that owns it, empty if there is none.
    :param admitted_share: the share of requests for this owner that is admitted, 1.0 for all.
    """

    low: int
    high: int
    phase: str
    token: int
    owner: ServerId | None
    admitted_share: float


class Decision(Struct, frozen=True, kw_only=True):
    """What the gateway would do.

    :param action: "send", "wait", or "refuse".
    :param reason: why.
    :param server: the server to send to, empty if there is none.
    :param status: status of the refusal, 0 if it is not refused.
    :param retry_after_ms: when a refused caller may return, in ms; None if that would not help.
    """

    action: str
    reason: str
    server: str = ""
    status: int = 0
    retry_after_ms: int | None = None


class ExplainedService(Struct, frozen=True, kw_only=True):
    """A service that the route sends requests to.

    :param service: its name.
    :param share: its share of the route's requests.
    :param is_probed: whether some servers are asked for their load before one is chosen.
    :param retries_left: number of retries that this gateway's budget allows now.
    :param key: the range of the request's key, None if the service has no owners of keys.
    :param servers: the servers, in the order in which they are preferred.
    :param decision: what the gateway would do if the service is chosen.
    """

    service: ServiceName
    share: float
    is_probed: bool
    retries_left: int
    key: KeyOwner | None
    servers: tuple[ExplainedServer, ...]
    decision: Decision


class ExplainedRoute(Struct, frozen=True, kw_only=True):
    """The route of a request.

    :param name: its name.
    :param kind: safe, unsafe, download or upload.
    :param priority: its priority; a lower number is more urgent.
    :param timeout_ms: time until the caller has the final response, in ms.
    :param target_ms: response time up to which a response has its full value, in ms.
    :param max_attempts: maximum number of servers that one request may be sent to.
    :param copies: when a second copy is sent, or why none is.
    """

    name: str
    kind: str
    priority: int
    timeout_ms: int
    target_ms: int
    max_attempts: int
    copies: str


class Explanation(Struct, frozen=True, kw_only=True):
    """What a gateway would do with a request now.

    :param gateway: the gateway.
    :param domain: the failure domain that it decides for.
    :param version: version number of its routing configuration.
    :param state_age_ms: age of its state, in ms; None if no replica has told it yet.
    :param evacuated: failure domains that are evacuated.
    :param route: the matching route, None if there is none.
    :param services: the services of the route.
    :param refusal: why no service is considered, None if they are.
    """

    gateway: GatewayId
    domain: DomainName
    version: int
    state_age_ms: int | None
    evacuated: tuple[DomainName, ...]
    route: ExplainedRoute | None
    services: tuple[ExplainedService, ...]
    refusal: Decision | None


class ExplainFault(Struct, frozen=True, kw_only=True):
    """Why a query cannot be explained.

    :param error: what is wrong.
    :param remedy: what to write instead.
    """

    error: str
    remedy: str
