"""Make attempts at servers, and record what they show."""

import asyncio

from lychee_gateway.proxy.attempts import Attempt, Sender
from lychee_gateway.proxy.calls import Call, Step, describe, has_lost_key
from lychee_gateway.proxy.claims import AnswerClaim
from lychee_gateway.proxy.held import HeldAnswer
from lychee_gateway.proxy.metrics import ProxyMetrics
from lychee_gateway.proxy.request_bodies import Body
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.suspects import SuspectChecks
from lychee_types.clock import Clock


class TrackedSender:
    """Makes attempts that are recorded in the trail of their requests and in the metrics.

    :param sender: sends requests to servers.
    :param suspects: learns under which requests servers end.
    :param metrics: the gateway's metrics.
    :param clock: source of time.
    """

    def __init__(
        self, *, sender: Sender, suspects: SuspectChecks, metrics: ProxyMetrics, clock: Clock
    ) -> None:
        self._sender = sender
        self._suspects = suspects
        self._metrics = metrics
        self._clock = clock

    async def send(
        self,
        call: Call,
        body: Body,
        server: ProxyServer,
        held: HeldAnswer,
        claim: AnswerClaim,
        selected_at: float,
    ) -> Attempt:
        """Make one attempt and return its result.

        :param call: the request.
        :param body: its body.
        :param server: the server.
        :param held: the room for the answer.
        :param claim: the attempt's claim to pass its answer on.
        :param selected_at: monotonic time at which the server was selected, in seconds.
        """
        now = self._clock.monotonic()
        occupied, word_age_ms = server.estimated_occupancy(now), server.occupancy_age_ms(now)

        probed = call.routed.probed

        def add_step(outcome: str) -> None:
            call.trail.append(
                Step(
                    server=server.run.server,
                    occupied=round(occupied, 1),
                    word_age_ms=word_age_ms,
                    probed=probed,
                    at_ms=round((now - call.routed.arrived_at) * 1_000),
                    outcome=outcome,
                )
            )

        if call.routed.key is None:
            call.routed.tried.append(server.run)
        try:
            with self._suspects.track(call):
                attempt = await self._sender.send(
                    exchange=call.exchange,
                    body=body,
                    server=server,
                    deadline=call.routed.deadline,
                    request_id=call.request.request_id,
                    used=call.used_connections,
                    held=held,
                    claim=claim,
                    selected_at=selected_at,
                )
        except asyncio.CancelledError:
            if claim.is_lost:
                add_step("cancelled")
                self._metrics.count_attempt(call.routed.service, "Cancelled")
                server.record_cancelled(now, self._clock.monotonic())
            raise
        claim.is_over = True
        await self._suspects.record(call, body, server, attempt, sent_at=now)
        if call.routed.key is not None and has_lost_key(attempt):
            call.routed.tried.append(server.run)
        add_step(describe(attempt))
        self._metrics.count_attempt(call.routed.service, type(attempt).__name__)
        return attempt
