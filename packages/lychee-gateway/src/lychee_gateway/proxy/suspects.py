"""How requests under which servers have ended are sent, and what attempts at them show."""

import asyncio
from contextlib import AbstractContextManager

from lychee_gateway.proxy.attempts import (
    MIN_FAILURE_STATUS,
    Attempt,
    NoAnswer,
    PassedOn,
    Sender,
    WholeAnswer,
)
from lychee_gateway.proxy.calls import Call
from lychee_gateway.proxy.crashes import CrashGuard, request_signature
from lychee_gateway.proxy.metrics import ProxyMetrics
from lychee_gateway.proxy.placing import NoServer
from lychee_gateway.proxy.request_bodies import Body
from lychee_gateway.proxy.servers import ProxyServer
from lychee_http import ResponseHead, header_value
from lychee_policy import Verdict
from lychee_types.clock import Clock
from lychee_types.ids import RequestSignature

MAX_ENDS = 2
"""Ended servers after which a request is sent to no other one before its caller repeats it."""

SUSPECT_RETRY_S = 0.3
"""Retry delay of a request that is sent to one server at a time, in seconds."""


class SuspectChecks:
    """Checks requests against what is known of ends of servers.

    :param guard: knows the requests under which servers end.
    :param sender: finds out whether a server has ended.
    :param metrics: the gateway's metrics.
    :param clock: source of time.
    """

    def __init__(
        self, *, guard: CrashGuard, sender: Sender, metrics: ProxyMetrics, clock: Clock
    ) -> None:
        self._guard = guard
        self._sender = sender
        self._metrics = metrics
        self._clock = clock
        self._checks: set[asyncio.Task[None]] = set()

    def refuse(self, call: Call, body: Body) -> NoServer | None:
        """Return why a request under which servers have ended is not sent now, None if it is."""
        if call.ends >= MAX_ENDS:
            return NoServer(reason="servers end under this request", retry_after_s=SUSPECT_RETRY_S)
        if not len(self._guard):
            return None
        signature = _signature(call, body)
        match self._guard.verdict(signature):
            case Verdict.BLOCKED:
                self._metrics.count_blocked(call.routed.service)
                return NoServer(
                    reason="servers end under this request; it is blocked",
                    retry_after_s=self._guard.blocked_for_s(signature),
                )
            case Verdict.SUSPECTED if call.attempts or self._guard.is_running(signature):
                return NoServer(
                    reason="servers ended under this request; it is sent to one at a time",
                    retry_after_s=SUSPECT_RETRY_S,
                )
            case Verdict.SUSPECTED:
                call.routed.is_suspect = True
                return self._wait_for_turn(signature)
        return None

    def is_free(self, call: Call, body: Body) -> bool:
        """Return whether a request may be at several servers at once."""
        if call.routed.is_suspect or call.ends:
            return False
        return not len(self._guard) or (self._guard.verdict(_signature(call, body)) is Verdict.FREE)

    def track(self, call: Call) -> AbstractContextManager[None]:
        """Count a request as running inside the block, if its signature is needed."""
        return self._guard.track(call.signature)

    async def record(
        self, call: Call, body: Body, server: ProxyServer, attempt: Attempt, *, sent_at: float
    ) -> None:
        """Record whether the server has answered, or has ended and not just lost an answer.

        A check that outlasts the request's deadline is not waited for, but recorded all the same.
        """
        match attempt:
            case WholeAnswer(head=ResponseHead(status=status)) | PassedOn(
                status=status, is_whole=True
            ):
                # A server in trouble may fail a request before it runs it.
                if len(self._guard) and status < MIN_FAILURE_STATUS:
                    self._guard.record_answer(_signature(call, body))
            case NoAnswer(is_disconnected=True) | PassedOn(is_disconnected=True):
                check = asyncio.create_task(self._check_end(call, body, server, sent_at=sent_at))
                self._checks.add(check)
                check.add_done_callback(self._checks.discard)
                left_s = call.routed.deadline - self._clock.monotonic()
                await asyncio.wait({check}, timeout=max(0.0, left_s))
                if check.done():
                    check.result()

    async def _check_end(
        self, call: Call, body: Body, server: ProxyServer, *, sent_at: float
    ) -> None:
        if await self._sender.has_ended(server):
            self._record_end(call, body, server, sent_at=sent_at)

    def known_signature(self, call: Call) -> str | None:
        """Return the signature of a request under which servers have ended, for the log."""
        if call.signature is None or call.signature not in self._guard:
            return None
        return call.signature.hex()

    def _wait_for_turn(self, signature: RequestSignature) -> NoServer | None:
        """Return why this gateway does not send a suspected request now, None if it may."""
        wait_s = self._guard.wait_for_turn_s(signature)
        if not wait_s:
            return None
        return NoServer(
            reason="servers ended under this request; it is another gateway's turn to send it",
            retry_after_s=wait_s,
        )

    def _record_end(self, call: Call, body: Body, server: ProxyServer, *, sent_at: float) -> None:
        call.ends += 1
        self._guard.record_end(
            _signature(call, body),
            server.run,
            sent_at=sent_at,
            request_id=call.request.request_id,
        )
        self._metrics.count_server_end(call.routed.service)


def _signature(call: Call, body: Body) -> RequestSignature:
    if call.signature is None:
        head = call.exchange.head
        call.signature = request_signature(
            call.request,
            method=head.method,
            target=head.target,
            body=body.buffered,
            declared_length=header_value(head.headers, b"content-length"),
        )
    return call.signature
