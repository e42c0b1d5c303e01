"""One caller's request on its way, and what becomes of it."""

from dataclasses import dataclass, field

from lychee_http import RequestHead, ResponseHead
from lychee_types.document import Service
from lychee_types.ids import KeyHash, ServerId


@dataclass(eq=False, kw_only=True, slots=True)
class Call:
    """A request with all that is needed to send it.

    :param request_id: its id.
    :param service: its service.
    :param key: hash of its key, None for a free service.
    :param head: its head as it came.
    :param body: its whole body.
    :param arrived: monotonic time of its arrival in seconds.
    :param deadline: monotonic time in seconds by which it must be answered.
    :param deadline_ms: the same as Unix time in milliseconds.
    :param idempotency_key: the caller's Idempotency-Key, None without one.
    :param avoid: servers that failed or refused it.
    :param attempts: how often it was placed.
    :param maybe_run: whether a server may have run it.
    """

    request_id: str
    service: Service
    key: KeyHash | None
    head: RequestHead
    body: bytes
    arrived: float
    deadline: float
    deadline_ms: int
    idempotency_key: str | None = None
    avoid: set[ServerId] = field(default_factory=set)
    attempts: int = 0
    maybe_run: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The server's whole answer.

    :param head: its head.
    :param body: its body.
    """

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamSent:
    """The answer has been passed on while it came.

    :param status: status of the answer.
    :param whole: whether it was whole.
    """

    status: int
    whole: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The request was not run and will not be.

    :param status: the HTTP status.
    :param detail: what is wrong.
    :param remedy: what the caller can do.
    :param retry_after_s: seconds after which to come back, None where that is of no use.
    """

    status: int
    detail: str
    remedy: str
    retry_after_s: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The request may have been run.

    :param status: the HTTP status.
    :param detail: what is known.
    """

    status: int
    detail: str


Outcome = Answer | StreamSent | NotRun | Unknown


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The server refused the request and did not run it.

    :param reason: its word for why.
    :param retry_after_s: when to come back by the server's word, None without one.
    """

    reason: str
    retry_after_s: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """No byte of the request left for the server.

    :param reason: why.
    """

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Moved:
    """The owner or the lease changed before the request was written."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Broken:
    """The connection failed or the answer was unusable after the request was sent.

    :param reason: why.
    """

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Late:
    """No whole answer came before the deadline."""


Attempt = Answer | StreamSent | Refusal | NotSent | Moved | Broken | Late
"""What became of sending a request once."""
