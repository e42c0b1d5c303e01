"""Send rejections of requests, and count and log all final answers."""

from loguru import logger

from lychee_gateway.proxy.calls import Call, Step
from lychee_gateway.proxy.codec import ProxyCodec, Rejection
from lychee_gateway.proxy.metrics import ProxyMetrics
from lychee_gateway.proxy.placing import NoServer
from lychee_gateway.proxy.suspects import SuspectChecks
from lychee_gateway.proxy.view import RoutedView
from lychee_http.exchange import CallerExchange
from lychee_types.clock import Clock

SUCCESS_LOG_INTERVAL = 100
"""One in this many successful requests is logged."""


class FinalAnswers:
    """Sends rejections, and counts and logs all final answers.

    :param codec: translates response heads.
    :param view: the gateway's copy of the replicated state.
    :param suspects: knows the requests under which servers end.
    :param metrics: the gateway's metrics.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        codec: ProxyCodec,
        view: RoutedView,
        suspects: SuspectChecks,
        metrics: ProxyMetrics,
        clock: Clock,
    ) -> None:
        self._codec = codec
        self._view = view
        self._suspects = suspects
        self._metrics = metrics
        self._clock = clock
        self._success_count = 0

    async def reject_bad_request(
        self, exchange: CallerExchange, request_id: str, rejection: Rejection
    ) -> None:
        """Log and send the rejection of a request that cannot be taken."""
        logger.bind(event="bad_request", request=request_id, status=rejection.status).info(
            "{}", rejection.reason
        )
        await self.reject(exchange, request_id, rejection)

    async def give_up(self, call: Call, refusal: NoServer) -> None:
        """Send the final answer of a request for which no further attempt is made."""
        if call.failed_answer is not None:
            await call.exchange.send(call.failed_answer.head, call.failed_answer.body)
            self.log(call, status=call.failed_answer.head.status)
        elif call.may_have_run:
            await self.end(call, Rejection(status=502, reason=refusal.reason))
        else:
            self._metrics.count_refusal(call.routed.service)
            rejection = Rejection(
                status=503, reason=refusal.reason, retry_after_s=refusal.retry_after_s
            )
            await self.end(call, rejection)

    async def end(self, call: Call, rejection: Rejection) -> None:
        """Log and send a rejection; cut the answer if a part of one was sent."""
        at_ms = round((self._clock.monotonic() - call.routed.arrived_at) * 1_000)
        call.trail.append(Step(outcome=rejection.reason, at_ms=at_ms))
        if call.exchange.response_started:
            call.exchange.truncate()
            self.log(call, status=rejection.status)
            return
        self.log(call, status=rejection.status)
        await self.reject(call.exchange, call.request.request_id, rejection)

    async def reject(self, exchange: CallerExchange, request_id: str, rejection: Rejection) -> None:
        """Send a rejection."""
        await exchange.send(*self._codec.reject(rejection, request_id))

    def _is_sampled(self) -> bool:
        """Return whether to log this successful request as a sample."""
        self._success_count += 1
        return self._success_count % SUCCESS_LOG_INTERVAL == 0

    def log(self, call: Call, *, status: int) -> None:
        """Count a final answer, and log it if it failed, took several steps or is sampled."""
        routed = call.routed
        seconds = self._clock.monotonic() - routed.arrived_at
        self._metrics.count_answer(routed.service, status, seconds)
        has_repeated_id = call.used_connections.has_repeated_id
        if has_repeated_id:
            self._metrics.count_repeated_id(routed.service)
        if status < 400 and len(call.trail) <= 1 and not self._is_sampled():
            return
        logger.bind(
            event="answered",
            request=call.request.request_id,
            route=call.route.name,
            service=routed.service,
            key=routed.key,
            status=status,
            ms=round(seconds * 1_000),
            is_cut=call.exchange.is_reported,
            attempts=call.attempts,
            trail=call.trail,
            repeated_id=has_repeated_id,
            copy=call.copy,
            signature=self._suspects.known_signature(call),
            version=self._view.state.version.number,
            index=self._view.state.index,
        ).info("request answered")
