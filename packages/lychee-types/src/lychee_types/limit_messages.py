"""Messages about the rate limits of backend servers, between gateways and control replicas.

Times are ages at the moment of sending, as no two VMs have the same clock.
"""

from msgspec import Struct

from lychee_types.registry import ServerIncarnation


class ObservedLimit(Struct, frozen=True, kw_only=True, array_like=True):
    """What an answer of a server said of its rate limit.

    :param run: the server and its incarnation.
    :param per_s: requests per second from all gateways together, None if it named no limit.
    :param sent_ms_ago: how long ago the answered request was sent, in milliseconds.
    :param heard_ms_ago: how long ago the answer arrived, in milliseconds.
    """

    run: ServerIncarnation
    per_s: float | None
    sent_ms_ago: int
    heard_ms_ago: int


class LimitReport(Struct, frozen=True, kw_only=True, tag=True):
    """What a gateway has learnt of servers' limits.

    :param limits: one entry a server.
    """

    limits: tuple[ObservedLimit, ...]


class KnownLimits(Struct, frozen=True, kw_only=True, tag=True):
    """What the leader knows of servers' limits, for all gateways.

    :param limits: one entry a server.
    """

    limits: tuple[ObservedLimit, ...]


class PermitRequest(Struct, frozen=True, kw_only=True, tag=True):
    """A gateway asks for permits to send requests to a server with a limit.

    :param limit: the server, and what the gateway knows of its limit.
    :param number: number of the question, repeated in its answer.
    :param wanted: number of permits.
    :param is_cold: whether the server is cold or counts as cold at the gateway.
    """

    limit: ObservedLimit
    number: int
    wanted: int
    is_cold: bool = False


class PermitReply(Struct, frozen=True, kw_only=True, tag=True):
    """The leader's answer to a :class:`PermitRequest`.

    :param run: the server and its incarnation.
    :param number: number of the question.
    :param count: number of permits.
    :param retry_after_ms: time after which it makes sense to ask again, in milliseconds.
    """

    run: ServerIncarnation
    number: int
    count: int
    retry_after_ms: int
