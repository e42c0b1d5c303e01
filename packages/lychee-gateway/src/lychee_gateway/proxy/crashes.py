"""Requests under which servers end: what this gateway has seen, and what it sends again."""

from collections import Counter
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager

from loguru import logger
from msgspec.msgpack import Encoder
from xxhash import xxh3_128_digest

from lychee_gateway.proxy.codec import CallerRequest
from lychee_policy import CrashTable, EndedAttempt, Verdict, wait_for_turn_s
from lychee_types.clock import Clock
from lychee_types.crash_messages import CrashReport, KnownCrashes
from lychee_types.ids import GatewayId, RequestSignature
from lychee_types.registry import ServerIncarnation

REPORT_INTERVAL_S = 1.0
"""Interval at which recent ends are reported again, for new leaders, in seconds."""

RECENT_S = 10.0
"""Time for which an end is reported again, in seconds."""

_ENCODER = Encoder()


def request_signature(
    request: CallerRequest,
    *,
    method: bytes,
    target: bytes,
    body: bytes,
    declared_length: bytes | None,
) -> RequestSignature:
    """Return what tells a request apart from others, but not from a repeat of itself.

    :param request: the decoded head.
    :param method: its method.
    :param target: its path with the query string.
    :param body: the first bytes of its body; a long body is not held back to be compared whole.
    :param declared_length: the body's length in the head, None if it declares none.
    """
    parts = (request.host, request.key, request.account, method, target, body, declared_length)
    return RequestSignature(xxh3_128_digest(_ENCODER.encode(parts)))


class CrashGuard:
    """Knows the requests under which servers have ended, and how they may be sent.

    :param clock: source of time.
    :param own_id: this gateway's id.
    :param others: returns the ids of the other gateways.
    """

    def __init__(
        self, *, clock: Clock, own_id: GatewayId, others: Callable[[], Collection[GatewayId]]
    ) -> None:
        self._clock = clock
        self._own_id = own_id
        self._others = others
        self._table = CrashTable()
        self._running: Counter[RequestSignature] = Counter()
        self._recent: dict[RequestSignature, float] = {}
        self._is_report_due = False
        self._reported_at = 0.0

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._table)

    def __contains__(self, signature: RequestSignature) -> bool:
        """Return whether anything is known of a request."""
        return signature in self._table

    def verdict(self, signature: RequestSignature) -> Verdict:
        """Return how a request may be sent."""
        return self._table.verdict(signature, self._clock.monotonic())

    def blocked_for_s(self, signature: RequestSignature) -> float:
        """Return how long a blocked request stays blocked, in seconds."""
        return self._table.blocked_for_s(signature, self._clock.monotonic())

    def wait_for_turn_s(self, signature: RequestSignature) -> float:
        """Return after which time this gateway may send a suspected request, in seconds.

        Gateways take turns, so that it is at one server at a time.
        """
        ended_at = self._table.last_end_at(signature)
        if ended_at is None:
            return 0.0
        since_end_s = self._clock.monotonic() - ended_at
        return wait_for_turn_s(signature, self._own_id, self._others(), since_end_s=since_end_s)

    def is_running(self, signature: RequestSignature) -> bool:
        """Return whether this gateway is sending the same request just now."""
        return self._running[signature] > 0

    @contextmanager
    def track(self, signature: RequestSignature | None) -> Iterator[None]:
        """Count a request as running inside the block, if it has a signature."""
        if signature is None:
            yield
            return
        self._running[signature] += 1
        try:
            yield
        finally:
            self._running[signature] -= 1
            if not self._running[signature]:
                del self._running[signature]

    def record_end(
        self,
        signature: RequestSignature,
        run: ServerIncarnation,
        *,
        sent_at: float,
        request_id: str,
    ) -> None:
        """Record that a server ended while it had a request.

        :param signature: the request's signature.
        :param run: the server.
        :param sent_at: monotonic time in seconds at which the request was sent to it.
        :param request_id: the caller's id, for the log.
        """
        now = self._clock.monotonic()
        end = EndedAttempt(sent_at=sent_at, ended_at=now)
        if not self._table.record_end(signature, run, end):
            return
        self._recent[signature] = now
        self._is_report_due = True
        logger.bind(
            event="server_ended",
            server=run.server,
            request=request_id,
            signature=signature.hex(),
            ends=self._table.count_ends(signature, now),
        ).warning("a server ended while it had a request")

    def record_answer(self, signature: RequestSignature) -> None:
        """Record that a server has answered a request of which ends are known."""
        now = self._clock.monotonic()
        if self._table.record_answer(signature, now):
            self._recent[signature] = now
            self._is_report_due = True

    def receive_news(self, news: KnownCrashes) -> None:
        """Add what the leader knows."""
        now = self._clock.monotonic()
        for known in news.requests:
            before = self._table.verdict(known.signature, now)
            self._table.merge(known, now)
            after = self._table.verdict(known.signature, now)
            if after is not before:
                logger.bind(
                    event="request_verdict", signature=known.signature.hex(), verdict=after.value
                ).info("how a request may be sent has changed")

    def take_report(self) -> CrashReport | None:
        """Return what the leader may not know yet, None if there is nothing."""
        now = self._clock.monotonic()
        is_repeat_due = bool(self._recent) and now - self._reported_at >= REPORT_INTERVAL_S
        if not self._is_report_due and not is_repeat_due:
            return None
        self._is_report_due = False
        self._reported_at = now
        self._table.drop_old(now)
        report = CrashReport(requests=self._table.export(list(self._recent), now))
        self._recent = {
            signature: at for signature, at in self._recent.items() if now - at < RECENT_S
        }
        return report
