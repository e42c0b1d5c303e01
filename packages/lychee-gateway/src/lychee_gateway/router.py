"""The way of one request: from its head to the one outcome that its caller gets."""

import asyncio
import time
from random import Random
from time import monotonic

from loguru import logger

from lychee_gateway.calls import (
    Answer,
    Attempt,
    Broken,
    Call,
    Late,
    Moved,
    NotRun,
    NotSent,
    Outcome,
    Refusal,
    StreamSent,
    Unknown,
)
from lychee_gateway.dispatch import Dispatcher, Placed
from lychee_gateway.exchange import Exchange, PassOn
from lychee_gateway.ledger import LedgerCalls
from lychee_gateway.once import OnceRunner
from lychee_gateway.requests import (
    find_service,
    idempotency_key,
    origin_form,
    request_id,
    request_key,
    request_path,
)
from lychee_gateway.view import StateView
from lychee_http import CallerConnection, RequestHead
from lychee_http.exceptions import BadRequestError
from lychee_policy import HotKeyCounter, RetryBudget
from lychee_types.document import Service
from lychee_types.ids import ServiceName
from lychee_types.messages import (
    HotKey,
)

MAX_ATTEMPTS = 3
"""How often a request of a free service is placed at most."""

PAUSE_S = 0.03
"""Mean pause before a keyed request is tried again, in seconds."""

SHED = "shed"
"""Word of a server that refuses a request because it has too many."""

HOT_KEYS_SPARE = 2
"""Hot keys reported for each one that may be moved, since gateways see different ones."""

NO_STATE = NotRun(
    status=503,
    detail="this gateway has not got the configuration yet",
    remedy="come back after Retry-After, or ask another VM",
    retry_after_s=1,
)


class Router:
    """Takes requests to servers and decides what their callers are told.

    :param view: the replicated state.
    :param dispatcher: gives requests their places.
    :param exchange: sends them.
    :param ledger: remembers requests with an Idempotency-Key.
    :param draw: source of random numbers.
    """

    def __init__(
        self,
        *,
        view: StateView,
        dispatcher: Dispatcher,
        exchange: Exchange,
        ledger: LedgerCalls,
        draw: Random | None = None,
    ) -> None:
        self._view = view
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._once = OnceRunner(ledger=ledger)
        self._draw = draw or Random()
        self._counters: dict[ServiceName, HotKeyCounter] = {}
        self._budgets: dict[ServiceName, RetryBudget] = {}

    async def read_call(self, head: RequestHead, caller: CallerConnection) -> Call | NotRun:
        """Return a request with its body, or why it cannot be run.

        :raises BadRequestError: if the request cannot be taken.
        :raises CallerGoneError: if the caller left before its body was there.
        """
        arrived = monotonic()
        wall = time.time()
        document = self._view.state.document
        if document is None:
            return NO_STATE
        head = origin_form(head)
        path = request_path(head.target)
        service = find_service(document, path)
        if service is None:
            return NotRun(
                status=404, detail="no service has this path", remedy="check the URL's path"
            )
        key = request_key(service, path)
        deadline_s = service.deadline_ms / 1_000
        return Call(
            request_id=request_id(head),
            service=service,
            key=key,
            head=head,
            body=await caller.read_body(limit=service.max_request_bytes, timeout_s=deadline_s),
            arrived=arrived,
            deadline=arrived + deadline_s,
            deadline_ms=int((wall + deadline_s) * 1_000),
            idempotency_key=idempotency_key(service, head),
        )

    async def run(self, call: Call, pass_on: PassOn) -> Outcome:
        """Take a request to its outcome.

        :param call: the request.
        :param pass_on: streams an answer to the caller.
        """
        if call.key is not None and call.service.placement.hot_keys:
            self._counter(call.service).count(call.key)
        if call.idempotency_key is None:
            return await self._run(call, pass_on)
        return await self._once.run(call, lambda call: self._run(call, pass_on))

    def take_hot_keys(self, now: float) -> tuple[HotKey, ...]:
        """Return the hottest keys of each service since the last call.

        :param now: monotonic time in seconds.
        """
        return tuple(key for counter in self._counters.values() for key in counter.take(now))

    async def _run(self, call: Call, pass_on: PassOn) -> Outcome:
        self._budget(call.service).count_request(monotonic())
        while True:
            place = await self._dispatcher.place(call)
            if isinstance(place, NotRun):
                return _given_up(call, place)
            attempt = await self._attempt(call, place, pass_on)
            outcome = await self._settle(call, place, attempt)
            if outcome is not None:
                return outcome

    async def _attempt(self, call: Call, place: Placed, pass_on: PassOn) -> Attempt:
        with self._dispatcher.occupied(place):
            return await self._exchange.run(call, place, pass_on)

    async def _settle(self, call: Call, place: Placed, attempt: Attempt) -> Outcome | None:
        """Return the outcome of an attempt, or None if the request is to be tried again."""
        match attempt:
            case Answer() | StreamSent():
                return attempt
            case Moved():
                return None
            case NotSent() | Refusal():
                return await self._try_elsewhere(call, place, attempt)
            case Late():
                return Unknown(status=504, detail="no whole answer came before the deadline")
            case Broken(reason=reason):
                return self._try_again(call, place, reason)

    async def _try_elsewhere(
        self, call: Call, place: Placed, attempt: NotSent | Refusal
    ) -> Outcome | None:
        """Decide on a request that the last server did not run."""
        refused = _refused(attempt)
        _log_attempt("DEBUG", call, place, refused.detail)
        call.avoid.add(place.server.record.id)
        if call.key is None:
            return None if call.attempts < MAX_ATTEMPTS else _given_up(call, refused)
        if isinstance(attempt, Refusal) and attempt.reason == SHED:
            return _given_up(call, refused)
        pause_s = PAUSE_S * (0.5 + self._draw.random())
        if monotonic() + pause_s >= call.deadline:
            return _given_up(call, refused)
        await asyncio.sleep(pause_s)
        return None

    def _try_again(self, call: Call, place: Placed, reason: str) -> Outcome | None:
        """Decide on a request that the last server may have run."""
        _log_attempt("INFO", call, place, reason)
        now = monotonic()
        if call.service.idempotent and now < call.deadline:
            call.avoid.add(place.server.record.id)
            if self._budget(call.service).try_spend(now):
                return None
        return Unknown(status=502, detail=reason)

    def _counter(self, service: Service) -> HotKeyCounter:
        counter = self._counters.get(service.name)
        if counter is None:
            limit = HOT_KEYS_SPARE * service.placement.hot_keys
            counter = self._counters[service.name] = HotKeyCounter(
                service=service.name, limit=limit, now=monotonic()
            )
        return counter

    def _budget(self, service: Service) -> RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None or budget.share != service.retry_share:
            budget = self._budgets[service.name] = RetryBudget(share=service.retry_share)
        return budget


def bad_request(exc: BadRequestError) -> NotRun:
    """Return the outcome of a request that cannot be taken."""
    return NotRun(status=exc.status, detail=exc.message, remedy=exc.remedy)


def _refused(attempt: NotSent | Refusal) -> NotRun:
    detail, retry_after_s = attempt.reason, 1
    if isinstance(attempt, Refusal):
        detail = f"the server refused it: {attempt.reason}"
        retry_after_s = attempt.retry_after_s or 1
    return NotRun(
        status=503,
        detail=detail,
        remedy="come back after Retry-After",
        retry_after_s=retry_after_s,
    )


def _given_up(call: Call, outcome: NotRun) -> NotRun | Unknown:
    """Return the outcome, turned to unknown if an earlier attempt may have been run."""
    if not call.maybe_run:
        return outcome
    return Unknown(status=502, detail=f"an earlier attempt broke; then {outcome.detail}")


def _log_attempt(level: str, call: Call, place: Placed, reason: str) -> None:
    logger.bind(request=call.request_id).log(
        level,
        "attempt {} of {} at {} failed: {}",
        call.attempts,
        call.service.name,
        place.server.record.id,
        reason,
    )
