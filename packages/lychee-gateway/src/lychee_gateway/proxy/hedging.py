"""Send second copies of requests whose first attempt takes longer than most (hedging)."""

import asyncio

from msgspec import Struct

from lychee_gateway.proxy.attempts import Attempt, TooLate
from lychee_gateway.proxy.calls import Call
from lychee_gateway.proxy.claims import AnswerClaim
from lychee_gateway.proxy.held import HeldAnswer
from lychee_gateway.proxy.metrics import ProxyMetrics
from lychee_gateway.proxy.placing import ServerSelector
from lychee_gateway.proxy.races import CopyRace, MakeAttempt, Racer
from lychee_gateway.proxy.request_bodies import Body
from lychee_gateway.proxy.retries import RetryBudgets
from lychee_gateway.proxy.servers import ProxyServer
from lychee_gateway.proxy.stopping import StopSchedule
from lychee_gateway.proxy.suspects import SuspectChecks
from lychee_gateway.proxy.tracked_sender import TrackedSender
from lychee_http.exceptions import CallerGoneError
from lychee_policy import CopyRequest, RouteCopies, Suppression
from lychee_types.clock import Clock
from lychee_types.routed_settings import HedgingSettings
from lychee_types.routing import Route

FORGET_S = 60.0
"""Time without a request after which a route's response times are dropped, in seconds."""


class RouteCopiesDump(Struct, frozen=True, kw_only=True):
    """What is known of one route's copies, as shown by a dump.

    :param route: its name.
    :param delay_ms: time after which a copy is due in ms, -1 while that is unknown.
    :param saved: number of copies that may be sent at once.
    """

    route: str
    delay_ms: int
    saved: float


class Hedger:
    """Sends requests to servers, and second copies of those that may run more than once.

    :param sender: makes attempts.
    :param selector: selects the copies' servers.
    :param suspects: knows the requests under which servers end.
    :param retries: this gateway's part of the retry budget.
    :param metrics: the gateway's metrics.
    :param stop: the schedule of the gateway's stop.
    :param settings: how many copies are sent, and when.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        sender: TrackedSender,
        selector: ServerSelector,
        suspects: SuspectChecks,
        retries: RetryBudgets,
        metrics: ProxyMetrics,
        stop: StopSchedule,
        settings: HedgingSettings,
        clock: Clock,
    ) -> None:
        self._sender = sender
        self._selector = selector
        self._suspects = suspects
        self._retries = retries
        self._metrics = metrics
        self._stop = stop
        self._settings = settings
        self._clock = clock
        self._routes: dict[str, RouteCopies] = {}

    async def send(self, call: Call, body: Body, server: ProxyServer, held: HeldAnswer) -> Attempt:
        """Send a request to a server, and maybe a copy to another; return what decides.

        All other attempts have been counted.

        :param call: the request.
        :param body: its body.
        :param server: the server of the first attempt.
        :param held: the room for the answer.
        """
        is_excluded = not call.is_idempotent or call.routed.key is not None or bool(call.trail)
        if not self._settings.max_share or is_excluded:
            return await self._sender.send(
                call, body, server, held, AnswerClaim(), self._clock.monotonic()
            )
        now = self._clock.monotonic()
        copies = self._find(call.route.name, now)
        copies.count_request(now)
        race = CopyRace(on_failure=call.count_other, clock=self._clock)
        first = race.start(self._maker(call, body, server, held), held)
        try:
            delay_s = copies.delay_s(now)
            if delay_s is not None and await race.outlasts(first, delay_s):
                await self._try_copy(call, body, copies, race)
            attempt = await race.finish()
            self._record(call, copies, race, attempt)
            return attempt
        except (asyncio.CancelledError, CallerGoneError):
            if len(race.racers) > 1:
                self._metrics.count_copy(call.routed.service, "left")
            raise
        finally:
            await race.end()

    def dump(self) -> tuple[RouteCopiesDump, ...]:
        """Return what is known of all routes' copies."""
        now = self._clock.monotonic()
        rows = []
        for route, copies in self._routes.items():
            delay_s = copies.delay_s(now)
            delay_ms = -1 if delay_s is None else round(delay_s * 1_000)
            rows.append(
                RouteCopiesDump(route=route, delay_ms=delay_ms, saved=round(copies.saved, 2))
            )
        return tuple(rows)

    def explain(self, route: Route) -> str:
        """Return when a second copy of a route's requests is sent, or why none is."""
        if not self._settings.max_share:
            return "none: hedging.max_share is 0"
        if not route.kind.is_idempotent:
            return "none: the requests may run only once"
        copies = self._routes.get(route.name)
        delay_s = copies.delay_s(self._clock.monotonic()) if copies is not None else None
        if copies is None or delay_s is None:
            return "none: too few response times are known"
        if copies.saved < 1:
            return "none now: max_share is used up"
        return f"after {round(delay_s * 1_000)} ms without an answer, to a server with a free slot"

    def _find(self, route: str, now: float) -> RouteCopies:
        copies = self._routes.get(route)
        if copies is None:
            self._forget_old_routes(now)
            copies = self._routes[route] = RouteCopies(
                max_share=self._settings.max_share,
                percentile=self._settings.percentile,
                now=now,
            )
        return copies

    def _forget_old_routes(self, now: float) -> None:
        """Forget routes without requests, as the configuration may have others now."""
        self._routes = {
            route: copies
            for route, copies in self._routes.items()
            if now - copies.last_request_at < FORGET_S
        }

    def _maker(self, call: Call, body: Body, server: ProxyServer, held: HeldAnswer) -> MakeAttempt:
        selected_at = self._clock.monotonic()
        return lambda claim: self._sender.send(call, body, server, held, claim, selected_at)

    async def _try_copy(self, call: Call, body: Body, copies: RouteCopies, race: CopyRace) -> None:
        """Send a copy to another server unless there is a reason against it."""
        service = call.routed.service
        match await self._choose_server(call, body, copies, race.racers[0]):
            case Suppression() as reason:
                call.copy = reason.value
                self._metrics.count_suppressed_copy(service, reason.value)
            case ProxyServer() as server:
                copies.spend()
                call.copy = "sent"
                self._metrics.count_copy(service, "sent")
                held = race.racers[0].held.make_other()
                race.start(self._maker(call, body, server, held), held)

    async def _choose_server(
        self, call: Call, body: Body, copies: RouteCopies, first: Racer
    ) -> ProxyServer | Suppression:
        """Return the server for a copy that is due, or why there is no copy."""
        now = self._clock.monotonic()
        reason = copies.find_suppression(self._describe(call, body, first, now), now)
        if reason is not None:
            return reason
        server = await self._selector.select_for_copy(call.routed)
        if first.is_over or first.has_begun:
            # Its answer came while other servers were asked for their load.
            return Suppression.ANSWER_BEGUN
        if server is None:
            return Suppression.NO_ROOM
        if not self._retries.try_spend(call.routed.service, now=now):
            return Suppression.RETRY_BUDGET
        return server

    def _describe(self, call: Call, body: Body, first: Racer, now: float) -> CopyRequest:
        return CopyRequest(
            is_idempotent=call.is_idempotent,
            is_keyed=call.routed.key is not None,
            is_whole=body.is_whole,
            is_suspected=not self._suspects.is_free(call, body),
            is_stopping=self._stop.has_begun,
            attempts=call.attempts + 1,
            max_attempts=call.route.max_attempts,
            is_answer_begun=first.has_begun,
            left_s=call.routed.deadline - now,
        )

    def _record(self, call: Call, copies: RouteCopies, race: CopyRace, attempt: Attempt) -> None:
        """Record the response time of the first attempt, and what became of a copy."""
        first, winner = race.racers[0], race.winner
        now = self._clock.monotonic()
        if winner is not None and (winner is first or first.is_lost):
            copies.times.record(race.won_at - first.sent_at, now)
        elif isinstance(attempt, TooLate):
            copies.times.record(now - first.sent_at, now)
        if len(race.racers) == 1:
            return
        service = call.routed.service
        if winner is None:
            call.copy = "failed"
        else:
            call.copy = "lost" if winner is first else "won"
            loser = race.racers[1] if winner is first else first
            if not loser.is_counted:
                call.attempts += 1
            if not loser.is_over:
                self._metrics.count_cancelled(service, race.won_at - loser.sent_at)
        self._metrics.count_copy(service, call.copy)
