"""A single attempt to send a request to a backend server."""

from collections.abc import Awaitable, Callable
from time import monotonic

from lychee_gateway.calls import (
    Attempt,
    Call,
    ExchangeFailed,
    NotSent,
    OwnerChanged,
    Refusal,
    Response,
    StreamedResponse,
    TimedOut,
)
from lychee_gateway.dispatch import Assignment, Dispatcher
from lychee_gateway.drain import InFlightRequest, KeyedRequestTracker
from lychee_gateway.servers import BackendServers
from lychee_http import (
    Header,
    RequestHead,
    ResponseHead,
    ServerConnection,
    forwarded_headers,
    header_value,
)
from lychee_http.exceptions import ServerResponseError
from lychee_types.document import BodyMode
from lychee_types.ids import Token
from lychee_types.records import Endpoint
from lychee_types.timeouts import timeout_after_input

REFUSAL_HEADER = b"lychee-refused"
"""Response header by which a server declares that it did not run the request."""

REQUEST_ID_HEADER = b"lychee-request-id"
"""Header with the request's id; a server may repeat it in its answer."""

GATEWAY_HEADERS = frozenset(
    (REQUEST_ID_HEADER, b"lychee-token", b"lychee-deadline", b"content-length")
)
"""Request headers that the gateway sets itself; those of a caller are dropped."""

DROPPED_RESPONSE_HEADERS = frozenset((b"content-length", b"lychee-outcome", REFUSAL_HEADER))
"""Headers of a server's response that the gateway sets itself, or that are not for callers."""

MAX_RETRY_AFTER_DIGITS = 9
"""Maximum number of digits of a Retry-After; Python reads no number of some thousands."""

ForwardStream = Callable[[ResponseHead, ServerConnection], Awaitable[bool]]
"""Streams a response to the caller, and returns whether it was complete."""


def server_request_head(call: Call, endpoint: Endpoint, token: Token | None) -> RequestHead:
    """Return the request head that is sent to a server.

    :param call: the request.
    :param endpoint: the server's address, used as Host if the request has none.
    :param token: the fencing token, None for a free service.
    """
    headers: list[Header] = forwarded_headers(call.head.headers, drop=GATEWAY_HEADERS)
    if header_value(call.head.headers, b"host") is None:
        headers.insert(0, (b"host", str(endpoint).encode()))
    headers.append((REQUEST_ID_HEADER, call.request_id.encode()))
    headers.append((b"lychee-deadline", b"%d" % call.deadline_ms))
    if token is not None:
        headers.append((b"lychee-token", b"%d" % token))
    if call.body or header_value(call.head.headers, b"content-length") is not None:
        headers.append((b"content-length", b"%d" % len(call.body)))
    return RequestHead(method=call.head.method, target=call.head.target, headers=tuple(headers))


def caller_response_head(head: ResponseHead) -> ResponseHead:
    """Return the response head that is sent to the caller."""
    headers = tuple(forwarded_headers(head.headers, drop=DROPPED_RESPONSE_HEADERS))
    return ResponseHead(status=head.status, headers=headers, reason=head.reason, length=head.length)


class Exchange:
    """Sends requests to servers and reads the responses.

    :param dispatcher: checks the owner and the lease just before the request is written.
    :param servers: records responses and failures.
    :param keyed_requests: tracks keyed requests that a server may still run.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        servers: BackendServers,
        keyed_requests: KeyedRequestTracker,
    ) -> None:
        self._dispatcher = dispatcher
        self._servers = servers
        self._keyed_requests = keyed_requests

    async def send(
        self, call: Call, assignment: Assignment, forward_stream: ForwardStream
    ) -> Attempt:
        """Send a request to its assigned server and return the result of the attempt."""
        pool = assignment.server.pool
        started_at = monotonic()
        try:
            conn = await pool.acquire(
                timeout_s=call.deadline - started_at, but=call.used_connections
            )
        except OSError as exc:
            self._servers.record_failure(assignment.server)
            return NotSent(reason=f"no connection: {type(exc).__name__}")
        # Another copy of an answer to an earlier attempt may still come on its connection.
        call.used_connections.add(conn)
        with pool.release_after_use(conn):
            attempt = await self._send_on(call, assignment, conn, forward_stream)
        match attempt:
            case Response(head=head):
                response_s = monotonic() - started_at
                self._servers.record_response(
                    assignment.server, response_s=response_s, status=head.status
                )
            case ExchangeFailed() | TimedOut() | StreamedResponse(complete=False):
                self._servers.record_failure(assignment.server)
            case Refusal():
                self._dispatcher.pause_server(assignment)
        return attempt

    async def _send_on(
        self,
        call: Call,
        assignment: Assignment,
        conn: ServerConnection,
        forward_stream: ForwardStream,
    ) -> Attempt:
        token = assignment.token
        if call.key is not None:
            token = self._dispatcher.recheck_token(call, assignment)
            if token is None:
                return OwnerChanged()
        if monotonic() >= call.deadline:
            return NotSent(reason="the deadline has passed")
        in_flight_request = self._track_if_keyed(call, assignment)
        conn.send(server_request_head(call, assignment.server.record.endpoint, token), call.body)
        sent_at = monotonic()
        may_have_run_before, call.may_have_run = call.may_have_run, True
        try:
            left_s = call.deadline - monotonic()
            async with timeout_after_input(left_s, has_input=conn.has_input):
                with assignment.server.awaiting_response():
                    head = await conn.read_head()
                named = header_value(head.headers, REQUEST_ID_HEADER)
                if named not in (None, call.request_id.encode()):
                    return ExchangeFailed(reason="the answer belongs to another request")
                if named is None and _is_refusal(head):
                    # Another copy of it could not be told from the next answer.
                    conn.forbid_reuse()
                if _is_streamed(call, head):
                    body = None
                else:
                    body = await _read_body(conn, call.service.max_response_bytes)
        except TimeoutError:
            return TimedOut()
        except ServerResponseError as exc:
            return ExchangeFailed(reason=exc.message)
        if body is None:
            response_s = monotonic() - sent_at
            self._servers.record_response(
                assignment.server, response_s=response_s, status=head.status
            )
            complete = await forward_stream(caller_response_head(head), conn)
            attempt: Attempt = StreamedResponse(status=head.status, complete=complete)
        else:
            complete = True
            attempt = _classify_response(head, body)
            if isinstance(attempt, Refusal):
                call.may_have_run = may_have_run_before
        if in_flight_request is not None and complete:
            self._keyed_requests.end(in_flight_request)
        return attempt

    def _track_if_keyed(self, call: Call, assignment: Assignment) -> InFlightRequest | None:
        if call.key is None:
            return None
        return self._keyed_requests.begin(
            service=call.service.name,
            key=call.key,
            server=assignment.server.record.id,
            deadline=call.deadline,
        )


def _is_refusal(head: ResponseHead) -> bool:
    return head.status == 503 and header_value(head.headers, REFUSAL_HEADER) is not None


def _is_streamed(call: Call, head: ResponseHead) -> bool:
    return call.service.body is BodyMode.STREAMED and not _is_refusal(head)


def _classify_response(head: ResponseHead, body: bytes) -> Attempt:
    reason = header_value(head.headers, REFUSAL_HEADER)
    if head.status != 503 or reason is None:
        return Response(head=caller_response_head(head), body=body)
    retry_after = header_value(head.headers, b"retry-after") or b""
    is_delay = retry_after.isdigit() and len(retry_after) <= MAX_RETRY_AFTER_DIGITS
    return Refusal(
        reason=reason.decode("latin-1"),
        retry_after_s=int(retry_after) if is_delay else None,
    )


async def _read_body(conn: ServerConnection, limit: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while chunk := await conn.read_chunk():
        parts.append(chunk)
        size += len(chunk)
        if size > limit:
            raise ServerResponseError(
                message=f"the answer is larger than {limit} bytes",
                remedy="raise the service's max_response_bytes or stream the service",
            )
    return b"".join(parts)
