"""Responses that the gateway itself generates, as problem documents."""

from msgspec import Struct
from msgspec.json import Encoder

from lychee_gateway.calls import NotRun, Response, UnknownOutcome
from lychee_http import Header, ResponseHead

_ENCODER = Encoder()

_TITLES = {
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


class Problem(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A problem document as defined by RFC 9457.

    :param title: the reason phrase of the status.
    :param status: the HTTP status.
    :param detail: what went wrong.
    :param remedy: what the reader can do.
    :param outcome: ``not-run`` or ``unknown``.
    :param request_id: the request's id, empty if it has none.
    """

    title: str
    status: int
    detail: str
    remedy: str
    outcome: str
    request_id: str = ""


UNKNOWN_REMEDY = "the request may have been run: ask for its state before sending it again"
"""Remedy in each response that reports an unknown outcome."""


def problem_response(outcome: NotRun | UnknownOutcome, *, request_id: str = "") -> Response:
    """Return the response for an outcome without a response of a server.

    :param outcome: the outcome.
    :param request_id: the request's id.
    """
    outcome_value, remedy, retry_after_s = "unknown", UNKNOWN_REMEDY, None
    if isinstance(outcome, NotRun):
        outcome_value, remedy, retry_after_s = "not-run", outcome.remedy, outcome.retry_after_s
    problem = Problem(
        title=_TITLES.get(outcome.status, "Error"),
        status=outcome.status,
        detail=outcome.detail,
        remedy=remedy,
        outcome=outcome_value,
        request_id=request_id,
    )
    headers: list[Header] = [
        (b"content-type", b"application/problem+json"),
        (b"lychee-outcome", outcome_value.encode()),
    ]
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%d" % retry_after_s))
    if request_id:
        headers.append((b"lychee-request-id", request_id.encode()))
    body = _ENCODER.encode(problem)
    head = ResponseHead(
        status=outcome.status,
        headers=tuple(headers),
        reason=problem.title.encode(),
        length=len(body),
    )
    return Response(head=head, body=body)


def body_not_kept_response(status: int) -> Response:
    """Return the response to a resent request whose first response has no stored body.

    The body was streamed or too large to store.

    :param status: status of the first response.
    """
    problem = Problem(
        title="Body not kept",
        status=status,
        detail="the request was run and answered with this status; its body was not kept",
        remedy="ask for its state; do not send it again under another Idempotency-Key",
        outcome="answered",
    )
    body = _ENCODER.encode(problem)
    head = ResponseHead(
        status=status,
        headers=((b"content-type", b"application/problem+json"),),
        length=len(body),
    )
    return Response(head=head, body=body)
