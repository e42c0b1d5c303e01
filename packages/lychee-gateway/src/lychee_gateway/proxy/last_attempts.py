"""End attempts in time for an answer of the gateway's own before it stops."""

from collections.abc import Awaitable

from lychee_gateway.proxy.attempts import Attempt, NotRun, TooLate
from lychee_gateway.proxy.stopping import StopSchedule
from lychee_http.exchange import CallerExchange

REASON = "this gateway stopped"
"""Why an attempt was ended, as shown in the log and to its caller."""


async def end_at_stop(
    attempt: Awaitable[Attempt], *, stop: StopSchedule, exchange: CallerExchange
) -> Attempt:
    """Return the result of an attempt, which a stop of the gateway may end.

    An answer that is being passed on goes on, as nothing else can be said to its caller.

    :param attempt: makes the attempt.
    :param stop: the schedule of the gateway's stop.
    :param exchange: the exchange with the caller.
    """
    sent_before = len(exchange.sendings)
    try:
        async with stop.limit_attempt(is_exempt=lambda: exchange.response_started):
            return await attempt
    except TimeoutError:
        # Attempts have no other end by a timeout: they return what became of them.
        if len(exchange.sendings) == sent_before:
            return NotRun(reason=REASON, was_sent=False)
        return TooLate(reason=REASON)
