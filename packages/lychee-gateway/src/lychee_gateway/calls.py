"""A caller's request in the gateway, and its possible outcomes."""

from dataclasses import dataclass, field

from lychee_http import RequestHead, ResponseHead
from lychee_http.used_connections import UsedConnections
from lychee_types.document import Service
from lychee_types.ids import KeyHash, ServerId


@dataclass(eq=False, kw_only=True, slots=True)
class Call:
    """A caller's request with all that is needed to send it.

    :param request_id: its id.
    :param service: its service.
    :param key: hash of its key, None for a free service.
    :param head: its head as received, with the target in origin form.
    :param body: its whole body.
    :param arrived_at: monotonic time of its arrival in seconds.
    :param deadline: monotonic time in seconds by which it must be answered.
    :param deadline_ms: the deadline as Unix time in milliseconds.
    :param idempotency_key: the caller's Idempotency-Key, None if it sent none.
    :param avoided_servers: servers that failed or refused it.
    :param attempts: number of attempts so far, counted when a server is requested for each.
    :param may_have_run: whether a server may have run it.
    :param used_connections: the connections on which it must not be sent any more.
    """

    request_id: str
    service: Service
    key: KeyHash | None
    head: RequestHead
    body: bytes
    arrived_at: float
    deadline: float
    deadline_ms: int
    idempotency_key: str | None = None
    avoided_servers: set[ServerId] = field(default_factory=set)
    attempts: int = 0
    may_have_run: bool = False
    used_connections: UsedConnections = field(init=False)

    def __post_init__(self) -> None:
        self.used_connections = UsedConnections(self.request_id)


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete response, from a server or from the gateway itself.

    :param head: its head.
    :param body: its body.
    """

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamedResponse:
    """A response that was forwarded while it was received.

    :param status: its HTTP status.
    :param complete: whether all of it was forwarded.
    """

    status: int
    complete: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The request was not run and will not be.

    :param status: the HTTP status.
    :param detail: what is wrong.
    :param remedy: what the caller can do.
    :param retry_after_s: seconds after which to retry, None if a retry is useless.
    """

    status: int
    detail: str
    remedy: str
    retry_after_s: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownOutcome:
    """The request may have been run.

    :param status: the HTTP status.
    :param detail: what is known.
    """

    status: int
    detail: str


Outcome = Response | StreamedResponse | NotRun | UnknownOutcome


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The server refused the request and did not run it.

    :param reason: the reason that the server gave.
    :param retry_after_s: the server's Retry-After in seconds, None without a valid one.
    """

    reason: str
    retry_after_s: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """No byte of the request was sent to the server.

    :param reason: why.
    """

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerChanged:
    """The key's owner changed, or the session lease expired, before the request was written."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeFailed:
    """The connection failed or the response was invalid after the request was sent.

    :param reason: why.
    """

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TimedOut:
    """No complete response was received before the deadline."""


Attempt = Response | StreamedResponse | Refusal | NotSent | OwnerChanged | ExchangeFailed | TimedOut
"""Result of an attempt to send a request to a server."""
