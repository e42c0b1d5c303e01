"""Keeping one server's grants alive: each range is granted, confirmed and renewed in turn."""

import asyncio
from collections.abc import Callable

from loguru import logger
from msgspec.structs import replace

from lychee_control.registry.calls import (
    CallFailed,
    CallReply,
    GrantAccepted,
    GrantStale,
    Released,
    ServerCalls,
    WrongServer,
)
from lychee_control.registry.proposals import RangeWriter
from lychee_ranges import Exposures, KeyTable
from lychee_types.clock import Clock
from lychee_types.ids import Token
from lychee_types.registry import GrantPhase, KeyRange, ServerRun

RENEWALS_PER_HOLD = 3.5
"""Renewals in one hold time."""

RETRY_S = 0.2
"""Pause after a grant that was not answered, in seconds."""


class Owner:
    """Grants to one run of a server.

    :param run: the run.
    :param calls: calls to it.
    :param table: returns the service's ranges as applied.
    :param writer: proposes changes of ranges.
    :param exposures: what grants may be in force.
    :param clock: source of time.
    :param leads_until: until when no other leader can exist, clock seconds.
    :param heard_at: when the run was last heard, clock seconds.
    :param is_over: whether a later run of the server is registered.
    :param hold_s: hold time of a grant, in seconds.
    """

    def __init__(
        self,
        *,
        run: ServerRun,
        calls: ServerCalls,
        table: Callable[[], KeyTable],
        writer: RangeWriter,
        exposures: Exposures,
        clock: Clock,
        leads_until: Callable[[], float],
        heard_at: Callable[[ServerRun], float],
        is_over: Callable[[ServerRun], bool],
        hold_s: float,
    ) -> None:
        self.run_id = run
        self.calls = calls
        self.failures = 0
        self.failing_since = 0.0
        self._table = table
        self._writer = writer
        self._exposures = exposures
        self._clock = clock
        self._leads_until = leads_until
        self._heard_at = heard_at
        self._is_over = is_over
        self._hold_s = hold_s
        self._due: dict[tuple[int, int, Token], float] = {}
        self._broken_at = 0.0
        self._granting = asyncio.Lock()
        self._wake = asyncio.Event()

    @property
    def is_failing(self) -> bool:
        """Return whether the last grant had no usable answer."""
        return self.failures > 0

    def wake(self) -> None:
        """Look at the ranges again."""
        self._wake.set()

    async def barrier(self) -> None:
        """Return once a grant that was under way has ended."""
        async with self._granting:
            pass

    async def run(self) -> None:
        """Grant and renew until cancelled."""
        while True:
            await self._grant_due()
            try:
                async with asyncio.timeout(self._pause_s()):
                    await self._wake.wait()
            except TimeoutError:
                continue
            finally:
                self._wake.clear()

    def _mine(self) -> list[KeyRange]:
        phases = (GrantPhase.GRANTING, GrantPhase.ACTIVE)
        return [
            key_range
            for key_range in self._table().ranges
            if key_range.owner == self.run_id and key_range.phase in phases
        ]

    def _pause_s(self) -> float:
        due = min(self._due.values(), default=self._clock.monotonic() + 1.0)
        return max(0.01, due - self._clock.monotonic())

    async def _grant_due(self) -> None:
        mine = self._mine()
        known = {(r.low, r.high, r.token): r for r in mine}
        self._due = {key: due for key, due in self._due.items() if key in known}
        for key, key_range in known.items():
            now = self._clock.monotonic()
            if now < self._due.setdefault(key, now):
                continue
            if not await self._grant(key_range):
                self._due[key] = self._clock.monotonic() + RETRY_S
                return
            self._due[key] = self._clock.monotonic() + self._hold_s / RENEWALS_PER_HOLD

    async def _grant(self, key_range: KeyRange) -> bool:
        """Send one grant; False if nothing more should be sent now."""
        async with self._granting:
            if key_range not in self._table().overlapping(key_range.low, key_range.high):
                return True
            now = self._clock.monotonic()
            # A new run at the address holds nothing; only its own heartbeat can tell.
            if now >= self._leads_until() or self._heard_at(self.run_id) < self._broken_at:
                return False
            if self._is_over(self.run_id):
                return False
            sent = self._exposures.sent(key_range, now)
            reply = await self.calls.grant(key_range, hold_s=self._hold_s)
            match reply:
                case CallFailed(maybe_sent=False):
                    self._exposures.withdrawn(sent)
                case CallFailed():
                    self._exposures.given_up(sent, self._clock.monotonic())
                case _:
                    self._exposures.answered(sent)
        self._note(key_range, reply)
        if isinstance(reply, GrantAccepted):
            if key_range.phase is GrantPhase.GRANTING:
                active = replace(key_range, phase=GrantPhase.ACTIVE, handover="")
                await self._writer.change(expected=key_range, new=active)
            return True
        if isinstance(reply, GrantStale):
            fresh = replace(key_range, phase=GrantPhase.GRANTING, token=Token(0))
            await self._writer.change(expected=key_range, new=fresh)
        return isinstance(reply, GrantStale)

    def _note(self, key_range: KeyRange, reply: CallReply) -> None:
        now = self._clock.monotonic()
        match reply:
            case GrantAccepted():
                self.failures = 0
                if key_range.phase is GrantPhase.GRANTING:
                    logger.bind(event="granted", **_fields(key_range)).info(
                        "the owner confirmed the grant"
                    )
                return
            case CallFailed() | Released():
                self._broken_at = now
            case GrantStale() | WrongServer():
                pass
        if self.failures == 0:
            self.failing_since = now
        self.failures += 1
        logger.bind(event="grant_failed", **_fields(key_range)).warning("a grant failed: {}", reply)


def _fields(key_range: KeyRange) -> dict[str, object]:
    owner = key_range.owner
    return {
        "low": key_range.low,
        "high": key_range.high,
        "token": key_range.token,
        "server": owner.server if owner else "",
    }
