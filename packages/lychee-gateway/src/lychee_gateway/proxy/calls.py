"""State of a request until its final answer, and the trail of decisions in its log line."""

from dataclasses import dataclass, field

from lychee_gateway.proxy.attempts import (
    Attempt,
    NoAnswer,
    NotRun,
    PassedOn,
    TooLarge,
    TooLate,
    WholeAnswer,
)
from lychee_gateway.proxy.codec import CallerRequest
from lychee_gateway.proxy.placing import RoutedRequest
from lychee_http.exchange import CallerExchange
from lychee_http.used_connections import UsedConnections
from lychee_types.ids import RequestSignature
from lychee_types.routing import Route


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """One entry of a request's `trail` in the log; its field names are part of the log line.

    :param outcome: result of the attempt, or why none was made.
    :param at_ms: time from the request's arrival to the decision, in ms.
    :param server: the selected server, empty if there was none.
    :param occupied: estimated number of requests at the server.
    :param word_age_ms: age of its last reported occupancy in ms, -1 if it has reported none.
    :param probed: number of servers that had just reported their load when this one was chosen.
    """

    outcome: str
    at_ms: int
    server: str = ""
    occupied: float = 0.0
    word_age_ms: int = -1
    probed: int = 0


@dataclass(kw_only=True, slots=True)
class Call:
    """State of a request until its final answer.

    :param exchange: the exchange with the caller.
    :param request: the decoded request head.
    :param route: the matching route.
    :param routed: the request as passed to the server selector.
    :param attempts: number of attempts that reached a server.
    :param may_have_run: whether a server may have run the request without an answer.
    :param failed_answer: a server's 5xx answer, sent if no other attempt can be made.
    :param ends: number of servers that ended while they had the request.
    :param signature: the request's signature, None before it is needed.
    :param trail: decisions so far, for the log.
    :param used_connections: the connections on which it must not be sent any more.
    :param max_body_bytes: maximum size of its body when its head had been read, in bytes.
    :param copy: what became of its second copy, or why it got none; None if none was due.
    """

    exchange: CallerExchange
    request: CallerRequest
    route: Route
    routed: RoutedRequest
    attempts: int = 0
    may_have_run: bool = False
    failed_answer: WholeAnswer | None = None
    ends: int = 0
    signature: RequestSignature | None = None
    trail: list[Step] = field(default_factory=list)
    used_connections: UsedConnections = field(init=False)
    max_body_bytes: int = 0
    copy: str | None = None

    def __post_init__(self) -> None:
        self.used_connections = UsedConnections(self.request.request_id)

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may be run more than once."""
        return self.route.kind.is_idempotent

    def count_other(self, attempt: Attempt) -> None:
        """Count a failed attempt beside which another one went on."""
        match attempt:
            case NotRun(was_sent=was_sent):
                self.attempts += 1 if was_sent else 0
            case WholeAnswer():
                self.attempts += 1
                self.failed_answer = attempt
            case _:
                self.attempts += 1
                self.may_have_run = True


def has_lost_key(attempt: Attempt) -> bool:
    """Return whether a key's owner must not be selected again for this request."""
    return isinstance(attempt, NotRun) and (attempt.is_misdirected or not attempt.was_sent)


def describe(attempt: Attempt) -> str:
    """Return the outcome of an attempt for the log."""
    match attempt:
        case WholeAnswer(head=head):
            return f"answered {head.status}"
        case PassedOn(status=status, is_whole=is_whole):
            return f"passed on {status}{'' if is_whole else ', cut short'}"
        case NotRun(reason=reason):
            return f"not run, {reason}"
        case NoAnswer(reason=reason):
            return f"no answer, {reason}"
        case TooLate():
            return "late"
        case TooLarge():
            return "too large"
