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
    ServerClient,
)
from lychee_control.registry.proposals import RangeWriter
from lychee_ranges import KeyTable, OutstandingGrants, SentGrant
from lychee_types.clock import Clock
from lychee_types.ids import LogIndex, Token
from lychee_types.registry import GrantPhase, KeyRange, ServerIncarnation

RENEWALS_PER_HOLD = 3.5
"""Number of renewals per hold time."""

RETRY_S = 0.2
"""Pause after a failed grant, in seconds."""

IDENTIFY_CHECK_S = 0.05
"""Interval at which a heartbeat on an open connection is looked for, in seconds."""

IDENTIFY_S = 0.5
"""Time for which a new leader waits for a heartbeat of a former leader's owner, in seconds.

The rest of the hold is for an election, new tokens and the grants.
"""


class GrantRenewer:
    """Grants and renews the ranges of one server incarnation.

    A call names the server's id only, and a successor may answer at the incarnation's address
    before it is registered. A connection ends with the process at its other end. So a token is sent
    on one connection only: on another one, and by another leader, the range gets a new token first.

    So that a successor gets no keys before it is registered, nothing is sent on a connection until
    a heartbeat has been received since it was opened. So that this takes no time from the keys, the
    connection is opened before the incarnation owns any. With a server that closed one before that,
    a heartbeat since the end of the last one is asked for, before the next one is opened. A new
    leader waits for a heartbeat of a former leader's owner as long as its hold allows.

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
    :param began_at: log index up to which former leaders may have committed tokens, and sent them.
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
        began_at: LogIndex,
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
        self._began_at = began_at
        self._connection = 0
        self._heard_since = 0.0
        self._is_connected = False
        self._ended_at = 0.0
        self._closes_unheard = False
        self._identified_connection = 0
        self._has_lost_connection = False
        self._identify_until = clock.monotonic() + IDENTIFY_S
        self._connection_of: dict[Token, int] = {}
        self._renew_at: dict[tuple[int, int, Token], float] = {}
        self._retry_at = 0.0
        self._grant_lock = asyncio.Lock()
        self._wake = asyncio.Event()
        client.on_ended = self._record_connection_end

    @property
    def is_failing(self) -> bool:
        """Return whether the last grant failed."""
        return self.failures > 0

    @property
    def is_ready(self) -> bool:
        """Return whether a grant could be sent now."""
        return self._is_connected and self._is_identified()

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
            if not self._table().owned_by(self.server_incarnation):
                self.failures = 0
            await self._stay_connected()
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
        now = self._clock.monotonic()
        due = min(self._renew_at.values(), default=now + 1.0)
        if not self._is_connected:
            due = min(due, now + RETRY_S)
        return max(0.01, max(due, self._retry_at) - now)

    async def _stay_connected(self) -> None:
        """Open the connection if there is none, so that it is identified once keys are due."""
        async with self._grant_lock:
            if self._may_grant():
                await self._connect()

    async def _connect(self) -> bool:
        """Open the connection if there is none; return whether there is one."""
        if not self._is_connected and not self._may_connect():
            return False
        connection = await self.client.connect()
        if isinstance(connection, CallFailed):
            self._record_failed_connection(connection)
            return False
        self._is_connected = True
        if connection != self._connection:
            self._connection = connection
            now = self._clock.monotonic()
            self._heard_since = self._ended_at if self._closes_unheard else now
        return True

    def _may_connect(self) -> bool:
        """Return whether the next connection may be opened now."""
        now = self._clock.monotonic()
        if self._closes_unheard and self._heard_at() < self._ended_at:
            self._retry_at = max(self._retry_at, now + IDENTIFY_CHECK_S)
        return now >= self._retry_at

    async def _grant_due_ranges(self) -> None:
        granted = self._granted_ranges()
        known = {(r.low, r.high, r.token): r for r in granted}
        self._renew_at = {key: due for key, due in self._renew_at.items() if key in known}
        tokens = {item.token for item in granted}
        self._connection_of = {t: c for t, c in self._connection_of.items() if t in tokens}
        began_at = self._clock.monotonic()
        for key in known:
            self._renew_at.setdefault(key, began_at)
        # Those that expire first come first, as one failure ends the pass.
        for key in sorted(known, key=self._renew_at.__getitem__):
            key_range = known[key]
            if self._clock.monotonic() < self._renew_at[key]:
                return
            if not await self._grant(key_range):
                self._retry_at = self._renew_at[key] = self._clock.monotonic() + self._retry_s()
                return
            self._renew_at[key] = self._clock.monotonic() + self._hold_s / RENEWALS_PER_HOLD

    def _retry_s(self) -> float:
        if not self._may_grant():
            return RETRY_S
        if not self._is_connected:
            return max(0.0, self._retry_at - self._clock.monotonic())
        return RETRY_S if self._is_identified() else IDENTIFY_CHECK_S

    async def _grant(self, key_range: KeyRange) -> bool:
        """Send one grant and return whether more may be sent now."""
        async with self._grant_lock:
            if not self._may_grant() or not await self._connect():
                return False
            if not self._is_current(key_range):
                return True
            if not self._is_identified() and not self._may_assume(key_range):
                self._record_unidentified(key_range)
                return False
            may_send = self._may_send(key_range.token)
            if may_send:
                if not self._may_grant():
                    return False
                reply = await self._call_grant(key_range)
        if not may_send:
            return await self._set_new_tokens()
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

    def _is_current(self, key_range: KeyRange) -> bool:
        return key_range in self._table().overlapping(key_range.low, key_range.high)

    def _may_grant(self) -> bool:
        """Return whether this replica leads and no successor of the incarnation is registered."""
        has_lease = self._clock.monotonic() < self._lease_expires_at()
        return has_lease and not self._is_replaced(self.server_incarnation)

    def _heard_at(self) -> float:
        return self._last_heartbeat_at(self.server_incarnation)

    def _is_identified(self) -> bool:
        """Return whether the process at the other end of the connection is the incarnation."""
        if self._heard_at() >= self._heard_since:
            self._identified_connection = self._connection
        return self._identified_connection == self._connection

    def _may_assume(self, key_range: KeyRange) -> bool:
        """Return whether a former leader's owner is granted its range without a heartbeat."""
        if self._has_lost_connection or key_range.token > self._began_at:
            return False
        if self._clock.monotonic() < self._identify_until:
            return False
        self._identified_connection = self._connection
        return True

    def _record_connection_end(self) -> None:
        """Count the end of the connection as a failure, as the process there may be gone."""
        self._ended_at = self._clock.monotonic()
        if not self._is_identified():
            self._closes_unheard = True
        self._retry_at = self._ended_at + RETRY_S
        self._is_connected = False
        self._has_lost_connection = True
        self._count_failure()

    def _record_unidentified(self, key_range: KeyRange) -> None:
        if self.failures == 0:
            logger.bind(event="heartbeat_awaited", **_log_fields(key_range)).info(
                "no heartbeat has come since the connection for grants was opened"
            )
        self._count_failure()

    def _record_failed_connection(self, reply: CallFailed) -> None:
        self._has_lost_connection = True
        self._retry_at = self._clock.monotonic() + RETRY_S
        self._count_failure()
        logger.bind(event="connection_failed", server=self.server_incarnation.server).warning(
            "no connection for grants: {}", reply
        )

    def _may_send(self, token: Token) -> bool:
        """Return whether a token was sent on no connection but the present one."""
        is_own = token > self._began_at
        return is_own and self._connection_of.get(token, self._connection) == self._connection

    async def _set_new_tokens(self) -> bool:
        """Give new tokens to ranges whose tokens may not be sent; return whether all have them.

        Each range stays due when it was, as its owner holds it under the former token until then.
        """
        old = [item for item in self._granted_ranges() if not self._may_send(item.token)]
        changes = [
            self._writer.change(expected=item, new=replace(item, token=Token(0))) for item in old
        ]
        are_set = await asyncio.gather(*changes)
        due_at = {(low, high): due for (low, high, _), due in self._renew_at.items()}
        for item in self._granted_ranges():
            if (item.low, item.high) in due_at:
                key = (item.low, item.high, item.token)
                self._renew_at.setdefault(key, due_at[(item.low, item.high)])
        return all(are_set)

    async def _call_grant(self, key_range: KeyRange) -> CallReply:
        self._connection_of[key_range.token] = self._connection
        sent = self._outstanding.record_sent(key_range, self._clock.monotonic())
        reply: CallReply = CallFailed(reason="cancelled", maybe_sent=True)
        try:
            reply = await self.client.grant(key_range, hold_s=self._hold_s)
        finally:
            self._record_end(sent, reply)
        return reply

    def _record_end(self, sent: SentGrant, reply: CallReply) -> None:
        match reply:
            case CallFailed(maybe_sent=False):
                self._outstanding.remove_unsent(sent)
            case CallFailed():
                self._outstanding.record_abandoned(sent, self._clock.monotonic())
            case _:
                self._outstanding.record_answer(sent, self._clock.monotonic())

    def _record_reply(self, key_range: KeyRange, reply: CallReply) -> None:
        if isinstance(reply, GrantAccepted):
            self.failures = 0
            if key_range.phase is GrantPhase.GRANTING:
                logger.bind(event="granted", **_log_fields(key_range)).info(
                    "the server accepted the grant"
                )
            return
        self._count_failure()
        logger.bind(event="grant_failed", **_log_fields(key_range)).warning(
            "grant failed: {}", reply
        )

    def _count_failure(self) -> None:
        if self.failures == 0:
            self.failing_since = self._clock.monotonic()
        self.failures += 1


def _log_fields(key_range: KeyRange) -> dict[str, object]:
    owner = key_range.owner
    return {
        "low": key_range.low,
        "high": key_range.high,
        "token": key_range.token,
        "server": owner.server if owner else "",
    }
