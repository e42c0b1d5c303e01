"""Routing of a request: reading it, sending it with retries, and deciding its outcome."""

import asyncio
import time
from random import Random
from time import monotonic

from loguru import logger

from lychee_gateway.calls import (
    Attempt,
    Call,
    ExchangeFailed,
    NotRun,
    NotSent,
    Outcome,
    OwnerChanged,
    Refusal,
    Response,
    StreamedResponse,
    TimedOut,
    UnknownOutcome,
)
from lychee_gateway.dispatch import Assignment, Dispatcher
from lychee_gateway.exchange import Exchange, ForwardStream
from lychee_gateway.ledger import LedgerClient
from lychee_gateway.once import AtMostOnceRunner
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
"""Attempts after which a refusal or failed connection of a free service's request is final."""

RETRY_PAUSE_S = 0.03
"""Mean delay before a keyed request that was not run is retried, in seconds."""

SHED_REASON = "shed"
"""Reason in the Lychee-Refused header of a server that sheds load."""

HOT_KEY_REPORT_FACTOR = 2
"""Number of hot keys reported for each hot key that may be placed individually.

It is above 1 because different gateways see different hot keys.
"""

NOT_CONFIGURED = NotRun(
    status=503,
    detail="this gateway has not got the configuration yet",
    remedy="come back after Retry-After, or ask another VM",
    retry_after_s=1,
)


class Router:
    """Sends requests to backend servers and decides the outcome that callers get.

    :param view: the replicated state.
    :param dispatcher: assigns requests to servers.
    :param exchange: sends requests to servers.
    :param ledger: stores the outcomes of requests with an Idempotency-Key.
    :param rng: random number generator.
    """

    def __init__(
        self,
        *,
        view: StateView,
        dispatcher: Dispatcher,
        exchange: Exchange,
        ledger: LedgerClient,
        rng: Random | None = None,
    ) -> None:
        self._view = view
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._at_most_once = AtMostOnceRunner(ledger=ledger)
        self._rng = rng or Random()
        self._hot_key_counters: dict[ServiceName, HotKeyCounter] = {}
        self._retry_budgets: dict[ServiceName, RetryBudget] = {}

    async def read_call(self, head: RequestHead, caller: CallerConnection) -> Call | NotRun:
        """Read a request with its body, or return why it cannot be run.

        :raises BadRequestError: if the request is malformed or too large.
        :raises CallerGoneError: if the caller disconnected before its body was complete.
        """
        arrived_at = monotonic()
        unix_time_s = time.time()
        document = self._view.state.document
        if document is None:
            return NOT_CONFIGURED
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
            arrived_at=arrived_at,
            deadline=arrived_at + deadline_s,
            deadline_ms=int((unix_time_s + deadline_s) * 1_000),
            idempotency_key=idempotency_key(service, head),
        )

    async def run(self, call: Call, forward_stream: ForwardStream) -> Outcome:
        """Run a request and return its outcome.

        :param call: the request.
        :param forward_stream: streams a response to the caller.
        """
        if call.key is not None and call.service.placement.hot_keys:
            self._hot_key_counter(call.service).count(call.key)
        if call.idempotency_key is None:
            return await self._run(call, forward_stream)
        return await self._at_most_once.run(call, lambda call: self._run(call, forward_stream))

    def take_hot_keys(self, now: float) -> tuple[HotKey, ...]:
        """Return the hottest keys of each service since the last call.

        :param now: monotonic time in seconds.
        """
        return tuple(
            key for counter in self._hot_key_counters.values() for key in counter.take(now)
        )

    async def _run(self, call: Call, forward_stream: ForwardStream) -> Outcome:
        self._retry_budget(call.service).count_request(monotonic())
        while True:
            assignment = await self._dispatcher.assign(call)
            if isinstance(assignment, NotRun):
                return _final_outcome(call, assignment)
            attempt = await self._attempt(call, assignment, forward_stream)
            outcome = await self._resolve(call, assignment, attempt)
            if outcome is not None:
                return outcome

    async def _attempt(
        self, call: Call, assignment: Assignment, forward_stream: ForwardStream
    ) -> Attempt:
        with self._dispatcher.releasing(assignment):
            return await self._exchange.send(call, assignment, forward_stream)

    async def _resolve(
        self, call: Call, assignment: Assignment, attempt: Attempt
    ) -> Outcome | None:
        """Return the outcome after an attempt, or None if the request is to be retried."""
        match attempt:
            case Response() | StreamedResponse():
                return attempt
            case OwnerChanged():
                return None
            case NotSent() | Refusal():
                return await self._resolve_not_run(call, assignment, attempt)
            case TimedOut():
                return UnknownOutcome(status=504, detail="no whole answer came before the deadline")
            case ExchangeFailed(reason=reason):
                return self._resolve_may_have_run(call, assignment, reason)

    async def _resolve_not_run(
        self, call: Call, assignment: Assignment, attempt: NotSent | Refusal
    ) -> Outcome | None:
        """Return the outcome of a request that the server did not run, or None to retry it."""
        not_run = _not_run_outcome(attempt)
        _log_failed_attempt("DEBUG", call, assignment, not_run.detail)
        call.avoided_servers.add(assignment.server.record.id)
        if call.key is None:
            return None if call.attempts < MAX_ATTEMPTS else _final_outcome(call, not_run)
        if isinstance(attempt, Refusal) and attempt.reason == SHED_REASON:
            return _final_outcome(call, not_run)
        delay_s = RETRY_PAUSE_S * (0.5 + self._rng.random())
        if monotonic() + delay_s >= call.deadline:
            return _final_outcome(call, not_run)
        await asyncio.sleep(delay_s)
        return None

    def _resolve_may_have_run(
        self, call: Call, assignment: Assignment, reason: str
    ) -> Outcome | None:
        """Return the outcome of a request that the server may have run, or None to retry it."""
        _log_failed_attempt("INFO", call, assignment, reason)
        now = monotonic()
        if call.service.idempotent and now < call.deadline:
            call.avoided_servers.add(assignment.server.record.id)
            if self._retry_budget(call.service).try_spend(now):
                return None
        return UnknownOutcome(status=502, detail=reason)

    def _hot_key_counter(self, service: Service) -> HotKeyCounter:
        counter = self._hot_key_counters.get(service.name)
        if counter is None:
            limit = HOT_KEY_REPORT_FACTOR * service.placement.hot_keys
            counter = self._hot_key_counters[service.name] = HotKeyCounter(
                service=service.name, limit=limit, now=monotonic()
            )
        return counter

    def _retry_budget(self, service: Service) -> RetryBudget:
        budget = self._retry_budgets.get(service.name)
        if budget is None or budget.share != service.retry_share:
            budget = self._retry_budgets[service.name] = RetryBudget(share=service.retry_share)
        return budget


def bad_request_outcome(exc: BadRequestError) -> NotRun:
    """Return the outcome of a malformed request."""
    return NotRun(status=exc.status, detail=exc.message, remedy=exc.remedy)


def _not_run_outcome(attempt: NotSent | Refusal) -> NotRun:
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


def _final_outcome(call: Call, outcome: NotRun) -> NotRun | UnknownOutcome:
    """Return the outcome, or an unknown one if a server may have run an earlier attempt."""
    if not call.may_have_run:
        return outcome
    return UnknownOutcome(status=502, detail=f"an earlier attempt broke; then {outcome.detail}")


def _log_failed_attempt(level: str, call: Call, assignment: Assignment, reason: str) -> None:
    logger.bind(request=call.request_id).log(
        level,
        "attempt {} to run a request to {} on server {} failed: {}",
        call.attempts,
        call.service.name,
        assignment.server.record.id,
        reason,
    )
