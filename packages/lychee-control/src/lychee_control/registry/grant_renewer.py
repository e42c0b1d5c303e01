"""Grants key ranges to one server incarnation and renews the grants, one call at a time."""

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
    ServerClient,
    WrongServer,
)
from lychee_control.registry.proposals import RangeWriter
from lychee_ranges import KeyTable, OutstandingGrants
from lychee_types.clock import Clock
from lychee_types.ids import Token
from lychee_types.registry import GrantPhase, KeyRange, ServerIncarnation

RENEWALS_PER_HOLD = 3.5
"""Number of renewals per hold time."""

RETRY_S = 0.2
"""Pause after a failed grant, in seconds."""


class GrantRenewer:
    """Grants and renews the ranges of one server incarnation.

    :param incarnation: the incarnation.
    :param client: sends calls to it.
    :param table: returns the service's ranges as applied.
    :param writer: proposes changes of ranges.
    :param outstanding: records grants that may be in force.
    :param clock: source of time.
    :param lease_expires_at: returns the monotonic time in seconds until which no other replica can
        be elected.
    :param last_heartbeat_at: returns the monotonic time in seconds at which the last heartbeat of
        an incarnation was received.
    :param is_replaced: returns whether another incarnation of the same server is registered.
    :param hold_s: hold time of a grant, in seconds.
    """

    def __init__(
        self,
        *,
        incarnation: ServerIncarnation,
        client: ServerClient,
        table: Callable[[], KeyTable],
        writer: RangeWriter,
        outstanding: OutstandingGrants,
        clock: Clock,
        lease_expires_at: Callable[[], float],
        last_heartbeat_at: Callable[[ServerIncarnation], float],
        is_replaced: Callable[[ServerIncarnation], bool],
        hold_s: float,
    ) -> None:
        self.server_incarnation = incarnation
        self.client = client
        self.failures = 0
        self.failing_since = 0.0
        self._table = table
        self._writer = writer
        self._outstanding = outstanding
        self._clock = clock
        self._lease_expires_at = lease_expires_at
        self._last_heartbeat_at = last_heartbeat_at
        self._is_replaced = is_replaced
        self._hold_s = hold_s
        self._renew_at: dict[tuple[int, int, Token], float] = {}
        self._failed_at = 0.0
        self._grant_lock = asyncio.Lock()
        self._wake = asyncio.Event()

    @property
    def is_failing(self) -> bool:
        """Return whether the last grant failed."""
        return self.failures > 0

    def wake_up(self) -> None:
        """Check the ranges for due grants now."""
        self._wake.set()

    async def wait_for_grant(self) -> None:
        """Wait until a grant in progress has ended."""
        async with self._grant_lock:
            pass

    async def run(self) -> None:
        """Grant and renew until cancelled."""
        while True:
            await self._grant_due_ranges()
            try:
                async with asyncio.timeout(self._pause_s()):
                    await self._wake.wait()
            except TimeoutError:
                continue
            finally:
                self._wake.clear()

    def _granted_ranges(self) -> list[KeyRange]:
        phases = (GrantPhase.GRANTING, GrantPhase.ACTIVE)
        owned = self._table().owned_by(self.server_incarnation)
        return [key_range for key_range in owned if key_range.phase in phases]

    def _pause_s(self) -> float:
        due = min(self._renew_at.values(), default=self._clock.monotonic() + 1.0)
        return max(0.01, due - self._clock.monotonic())

    async def _grant_due_ranges(self) -> None:
        granted = self._granted_ranges()
        known = {(r.low, r.high, r.token): r for r in granted}
        self._renew_at = {key: due for key, due in self._renew_at.items() if key in known}
        for key, key_range in known.items():
            now = self._clock.monotonic()
            if now < self._renew_at.setdefault(key, now):
                continue
            if not await self._grant(key_range):
                self._renew_at[key] = self._clock.monotonic() + RETRY_S
                return
            self._renew_at[key] = self._clock.monotonic() + self._hold_s / RENEWALS_PER_HOLD

    async def _grant(self, key_range: KeyRange) -> bool:
        """Send one grant and return whether more may be sent now."""
        async with self._grant_lock:
            if key_range not in self._table().overlapping(key_range.low, key_range.high):
                return True
            now = self._clock.monotonic()
            # After a failure, the address may belong to another incarnation, which does not own
            # these keys. So no grant is sent until a heartbeat of this incarnation has arrived.
            if (
                now >= self._lease_expires_at()
                or self._last_heartbeat_at(self.server_incarnation) < self._failed_at
            ):
                return False
            if self._is_replaced(self.server_incarnation):
                return False
            sent = self._outstanding.record_sent(key_range, now)
            reply = await self.client.grant(key_range, hold_s=self._hold_s)
            match reply:
                case CallFailed(maybe_sent=False):
                    self._outstanding.remove_unsent(sent)
                case CallFailed():
                    self._outstanding.record_abandoned(sent, self._clock.monotonic())
                case _:
                    self._outstanding.record_answer(sent)
        self._record_reply(key_range, reply)
        if isinstance(reply, GrantAccepted):
            if key_range.phase is GrantPhase.GRANTING:
                active = replace(key_range, phase=GrantPhase.ACTIVE, handover="")
                await self._writer.change(expected=key_range, new=active)
            return True
        if isinstance(reply, GrantStale):
            fresh = replace(key_range, phase=GrantPhase.GRANTING, token=Token(0))
            await self._writer.change(expected=key_range, new=fresh)
        return isinstance(reply, GrantStale)

    def _record_reply(self, key_range: KeyRange, reply: CallReply) -> None:
        now = self._clock.monotonic()
        match reply:
            case GrantAccepted():
                self.failures = 0
                if key_range.phase is GrantPhase.GRANTING:
                    logger.bind(event="granted", **_log_fields(key_range)).info(
                        "the server accepted the grant"
                    )
                return
            case CallFailed() | Released():
                self._failed_at = now
            case GrantStale() | WrongServer():
                pass
        if self.failures == 0:
            self.failing_since = now
        self.failures += 1
        logger.bind(event="grant_failed", **_log_fields(key_range)).warning(
            "grant failed: {}", reply
        )


def _log_fields(key_range: KeyRange) -> dict[str, object]:
    owner = key_range.owner
    return {
        "low": key_range.low,
        "high": key_range.high,
        "token": key_range.token,
        "server": owner.server if owner else "",
    }
