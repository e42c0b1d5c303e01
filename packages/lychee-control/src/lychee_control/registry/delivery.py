"""How grants of key ranges reach their owners: what the range manager needs of each way."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from lychee_control.registry.heartbeats import HeartbeatTracker
from lychee_types.clock import Clock
from lychee_types.ids import LogIndex
from lychee_types.registry import KeyRange, RegisteredServer, ServerIncarnation

Spawn = Callable[[Coroutine[Any, Any, None], str], "asyncio.Task[None]"]
"""Starts a named task that ends when this replica stops leading."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaderTerm:
    """What a leader's deliveries of grants share in one term.

    :param heartbeats: servers' last heartbeats.
    :param spawn: starts a task.
    :param clock: source of time.
    :param lease_expires_at: returns the monotonic time in seconds until which no other replica can
        be elected.
    :param find_successor: returns the other incarnation of the same server that is registered.
    :param heartbeat_s: interval between a server's heartbeats, in seconds.
    :param hold_s: hold time of a grant, in seconds.
    :param began_at: log index up to which former leaders may have committed tokens.
    """

    heartbeats: HeartbeatTracker
    spawn: Spawn
    clock: Clock
    lease_expires_at: Callable[[], float]
    find_successor: Callable[[ServerIncarnation], RegisteredServer | None]
    heartbeat_s: float
    hold_s: float
    began_at: LogIndex

    def is_replaced(self, incarnation: ServerIncarnation) -> bool:
        """Return whether another incarnation of the same server is registered."""
        return self.find_successor(incarnation) is not None

    @property
    def holds_lease(self) -> bool:
        """Return whether this replica's lease excludes any other leader now."""
        return self.clock.monotonic() < self.lease_expires_at()


class GrantDelivery(Protocol):
    """Hands out and takes back the ranges of one service.

    Which range has which owner is decided and committed by the range manager.
    """

    @property
    def max_ranges_per_owner(self) -> int:
        """Return the mean number of ranges per owner above which adjacent ones are merged."""
        ...

    def update_owners(
        self,
        owners: Mapping[ServerIncarnation, RegisteredServer],
        others: Mapping[ServerIncarnation, RegisteredServer],
    ) -> None:
        """Serve exactly these owners from now on.

        :param owners: the servers that own keys.
        :param others: servers that own none and may be given some.
        """
        ...

    def is_ready(self, server: ServerIncarnation) -> bool:
        """Return whether a server that owns no keys can be told at once of its first ones."""
        ...

    def wake_up(self, owners: Iterable[ServerIncarnation]) -> None:
        """Tell of a committed change of the ranges of some owners."""
        ...

    def is_lost(self, owner: ServerIncarnation, now: float) -> bool:
        """Return whether an owner's hold has nearly expired, as it can't be reached.

        Until then it may serve its keys.

        :param owner: the owner.
        :param now: monotonic time in seconds.
        """
        ...

    def may_move(self, keys: KeyRange, now: float) -> bool:
        """Return whether keys that are served could be moved without a long time unowned.

        :param keys: the keys with their owner.
        :param now: monotonic time in seconds.
        """
        ...

    async def wait_for_turn(self, keys: KeyRange, new_owner: ServerIncarnation) -> None:
        """Wait until the owner learns of a change of its keys as soon as it is committed.

        Returns as well once the owner can't hold them any more.

        :param keys: the keys with their owner.
        :param new_owner: their next owner, which is to learn of it soon after.
        """
        ...

    async def release(self, keys: KeyRange) -> str:
        """Have the owner release keys in phase releasing, and wait until it can't hold them.

        Returns its handover data, empty if there is none.
        """
        ...

    def free_at(self, keys: KeyRange) -> float:
        """Return the monotonic time in seconds from which no server can hold any of the keys."""
        ...
