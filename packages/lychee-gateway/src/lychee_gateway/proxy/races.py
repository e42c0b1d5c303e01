"""Run two attempts at one request at the same time, of which one may pass its answer on."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from lychee_gateway.proxy.attempts import MIN_FAILURE_STATUS, Attempt, WholeAnswer
from lychee_gateway.proxy.claims import AnswerClaim
from lychee_gateway.proxy.held import HeldAnswer
from lychee_types.clock import Clock
from lychee_types.timeouts import timeout_after_input

MakeAttempt = Callable[[AnswerClaim], Awaitable[Attempt]]
"""Makes an attempt with a claim."""


class Racer(AnswerClaim):
    """One of the attempts, and its claim.

    :param race: its race.
    :param make: makes the attempt.
    :param held: the room for its answer.
    :param sent_at: monotonic time in seconds at which it began.
    """

    def __init__(
        self, *, race: "CopyRace", make: MakeAttempt, held: HeldAnswer, sent_at: float
    ) -> None:
        super().__init__()
        self.held = held
        self.sent_at = sent_at
        self.is_counted = False
        self._race = race
        self.task = asyncio.create_task(self._run(make))

    def take(self) -> None:
        """Take the right to send an answer, and cancel the other attempt.

        :raises asyncio.CancelledError: if another attempt has it.
        """
        if not self._race.take(self):
            raise asyncio.CancelledError()

    def lose(self) -> None:
        """Let another attempt have the right, and cancel this one."""
        self.is_lost = True
        self.cancel()

    def cancel(self) -> None:
        """Cancel the attempt; if it has a result already, what that shows is still recorded."""
        if not self.is_over:
            self.task.cancel()

    async def _run(self, make: MakeAttempt) -> Attempt:
        attempt = await make(self)
        if isinstance(attempt, WholeAnswer) and attempt.head.status < MIN_FAILURE_STATUS:
            self.take()
        return attempt


class CopyRace:
    """Up to two attempts at one request; the first that has an answer to pass on wins.

    :param on_failure: called with each failed attempt beside which another one goes on or has won.
    :param clock: source of time.
    """

    def __init__(self, *, on_failure: Callable[[Attempt], None], clock: Clock) -> None:
        self.racers: list[Racer] = []
        self.winner: Racer | None = None
        self.won_at = 0.0
        self._on_failure = on_failure
        self._clock = clock

    def start(self, make: MakeAttempt, held: HeldAnswer) -> Racer:
        """Start an attempt.

        :param make: makes it.
        :param held: the room for its answer.
        """
        racer = Racer(race=self, make=make, held=held, sent_at=self._clock.monotonic())
        self.racers.append(racer)
        return racer

    def take(self, racer: Racer) -> bool:
        """Let an attempt win unless another one has; return whether it has won."""
        if self.winner is None:
            self.winner = racer
            self.won_at = self._clock.monotonic()
            for other in self.racers:
                if other is not racer:
                    other.lose()
        return self.winner is racer

    async def outlasts(self, racer: Racer, delay_s: float) -> bool:
        """Return whether an attempt still runs after a time in seconds."""
        with suppress(TimeoutError):
            async with timeout_after_input(delay_s):
                await asyncio.wait({racer.task})
        return not (racer.task.done() or racer.is_over)

    async def finish(self) -> Attempt:
        """Wait for the result that decides: the winner's, else that of the last to fail."""
        pending = {racer.task for racer in self.racers}
        failed: tuple[Racer, Attempt] | None = None
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for racer in self.racers:
                if racer.task not in done or racer.task.cancelled():
                    continue
                attempt = racer.task.result()
                if failed is not None:
                    failed[0].is_counted = True
                    self._on_failure(failed[1])
                if racer is self.winner:
                    return attempt
                if isinstance(attempt, WholeAnswer):
                    racer.held.keep(len(attempt.body))
                failed = (racer, attempt)
        if failed is None:
            # Something other than this race has cancelled the attempts.
            raise asyncio.CancelledError()
        return failed[1]

    async def end(self) -> None:
        """Cancel what still runs, and wait until its connections are closed."""
        for racer in self.racers:
            racer.cancel()
        running = [racer.task for racer in self.racers if not racer.is_over]
        if running:
            await asyncio.wait(running)
