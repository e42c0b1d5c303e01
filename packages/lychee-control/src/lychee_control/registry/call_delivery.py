"""Grants by calls: the leader calls each owner to grant, renew and release its ranges."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from loguru import logger

from lychee_control.registry.calls import (
    GRANT_TIMEOUT_S,
    GrantCodec,
    Released,
    ServerClient,
)
from lychee_control.registry.delivery import LeaderTerm
from lychee_control.registry.grant_renewer import GrantRenewer
from lychee_control.registry.proposals import RangeWriter
from lychee_ranges import KeyTable, OutstandingGrants, hold_limit_s
from lychee_types.registry import KeyRange, RegisteredServer, ServerIncarnation

LOST_HOLD_FRACTION = 0.85
"""Fraction of the hold time for which grants may fail before the owner counts as lost."""

RELEASE_RETRY_S = 0.3
"""Pause before a failed release is sent again, in seconds."""

MAX_RANGES_PER_OWNER = 4
"""Mean number of ranges per owner above which adjacent ones are merged; each is one call."""


class CallDelivery:
    """Grants, renews and releases the ranges of one service by calls to their owners.

    :param codec: translates calls to servers.
    :param table: returns the service's ranges as applied.
    :param writer: proposes changes of ranges.
    :param term: what the leader's deliveries share.
    """

    def __init__(
        self,
        *,
        codec: GrantCodec,
        table: Callable[[], KeyTable],
        writer: RangeWriter,
        term: LeaderTerm,
    ) -> None:
        self._codec = codec
        self._table = table
        self._writer = writer
        self._term = term
        # A former leader may have sent grants until this one was elected; they may still arrive.
        former_leader_until = term.clock.monotonic() + GRANT_TIMEOUT_S + hold_limit_s(term.hold_s)
        self._outstanding_grants = OutstandingGrants(
            hold_s=term.hold_s, former_leader_until=former_leader_until
        )
        self._renewers: dict[ServerIncarnation, GrantRenewer] = {}
        self._tasks: dict[ServerIncarnation, asyncio.Task[None]] = {}

    @property
    def max_ranges_per_owner(self) -> int:
        """Return the mean number of ranges per owner above which adjacent ones are merged."""
        return MAX_RANGES_PER_OWNER

    def update_owners(
        self,
        owners: Mapping[ServerIncarnation, RegisteredServer],
        others: Mapping[ServerIncarnation, RegisteredServer],
    ) -> None:
        """Run one renewer for each server that owns keys or may be given some."""
        servers = {**others, **owners}
        for incarnation, server in servers.items():
            if incarnation not in self._renewers:
                self._start_renewer(incarnation, server)
        for incarnation in [run for run in self._renewers if run not in servers]:
            self._tasks.pop(incarnation).cancel()
            self._renewers.pop(incarnation).client.close()

    def is_ready(self, server: ServerIncarnation) -> bool:
        """Return whether the connection to a server is open and a heartbeat came since."""
        renewer = self._renewers.get(server)
        return renewer is not None and renewer.is_ready

    def wake_up(self, owners: Iterable[ServerIncarnation]) -> None:
        """Have the renewers of some owners check for ranges to grant."""
        for incarnation in owners:
            renewer = self._renewers.get(incarnation)
            if renewer is not None:
                renewer.wake_up()

    def is_lost(self, owner: ServerIncarnation, now: float) -> bool:
        """Return whether grants to an owner have failed for nearly its whole hold."""
        renewer = self._renewers.get(owner)
        if renewer is None or not renewer.is_failing:
            return False
        return now - renewer.failing_since > LOST_HOLD_FRACTION * self._term.hold_s

    def may_move(self, keys: KeyRange, now: float) -> bool:
        """Return whether no unanswered grant of the keys may still start to hold."""
        return not self._outstanding_grants.has_unanswered(keys, now)

    async def wait_for_turn(self, keys: KeyRange, new_owner: ServerIncarnation) -> None:
        """Return at once, as an owner can be called at any moment."""

    def free_at(self, keys: KeyRange) -> float:
        """Return the monotonic time in seconds from which no server can hold any of the keys."""
        return self._outstanding_grants.free_at(keys)

    async def release(self, keys: KeyRange) -> str:
        """Have the owner release keys and return its handover data, empty if there is none.

        Also returns if the owner does not answer but its hold on the keys has expired.
        """
        handover = await self._call_release(keys)
        wait_s = self.free_at(keys) - self._term.clock.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        return handover

    async def _call_release(self, keys: KeyRange) -> str:
        renewer = self._renewers.get(keys.owner) if keys.owner is not None else None
        if renewer is None:
            return ""
        await renewer.wait_for_grant()
        successor = self._term.find_successor(renewer.server_incarnation)
        if successor is not None and successor.endpoint != renewer.client.endpoint:
            # Grants were sent to the former address only, where nobody holds keys any more.
            self._outstanding_grants.record_incarnation_end(renewer.server_incarnation)
            return ""
        while True:
            reply = await renewer.client.release(keys)
            if isinstance(reply, Released):
                self._outstanding_grants.record_release(keys)
                return reply.handover if successor is None else ""
            if self._term.clock.monotonic() >= self._outstanding_grants.free_at(keys):
                return ""
            logger.bind(event="release_failed", low=keys.low, high=keys.high).warning(
                "a release failed: {}", reply
            )
            await asyncio.sleep(RELEASE_RETRY_S)

    def _start_renewer(self, incarnation: ServerIncarnation, server: RegisteredServer) -> None:
        renewer = GrantRenewer(
            incarnation=incarnation,
            client=ServerClient(
                endpoint=server.endpoint,
                codec=self._codec,
                may_grant=lambda: self._term.holds_lease,
            ),
            table=self._table,
            writer=self._writer,
            outstanding=self._outstanding_grants,
            clock=self._term.clock,
            lease_expires_at=self._term.lease_expires_at,
            last_heartbeat_at=self._term.heartbeats.last_heartbeat_at,
            is_replaced=self._term.is_replaced,
            hold_s=self._term.hold_s,
            began_at=self._term.began_at,
        )
        self._renewers[incarnation] = renewer
        self._tasks[incarnation] = self._term.spawn(renewer.run(), f"owner {incarnation.server}")
