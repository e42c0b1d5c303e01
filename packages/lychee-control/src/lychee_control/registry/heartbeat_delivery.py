"""Grants by heartbeats: a server holds what the answer to its heartbeat names, and nothing else."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from loguru import logger
from msgspec.structs import replace

from lychee_control.registry.delivery import LeaderTerm
from lychee_control.registry.orders import GrantedKeys, Heartbeat
from lychee_control.registry.proposals import RangeWriter
from lychee_ranges import AnsweredGrants, KeyTable
from lychee_types.registry import (
    GrantPhase,
    KeyRange,
    RegisteredServer,
    ServerIncarnation,
)

LOST_HOLD_FRACTION = 0.85
"""Fraction of the hold time without a heartbeat after which an owner counts as lost."""

MAX_RANGES_PER_OWNER = 24
"""Mean number of ranges per owner above which adjacent ones are merged."""

MAX_ANSWER_RANGES = 64
"""Maximum number of ranges in an answer, which servers take only up to 4 KiB."""

ANSWER_WAIT_S = 0.7
"""Time for which an answer waits for a change of the server's ranges, in seconds.

A server takes an answer for up to a second. While an answer waits, the server learns of a change at
once, and not only by its next heartbeat.
"""

TURN_LIMIT_S = 1.0
"""Maximum wait for a moment at which both owners' heartbeats are at hand, in seconds."""

TURN_CHECK_S = 0.02
"""Interval at which such a moment is looked for, in seconds."""

RELEASE_S = 0.2
"""Time that an owner usually takes to release keys, in seconds."""

COMMIT_WAIT_S = 0.3
"""Time for which an answer waits for changes that are being committed, in seconds."""


class _Owner:
    """What is known of one server incarnation.

    :param incarnation: the incarnation.
    """

    def __init__(self, incarnation: ServerIncarnation) -> None:
        self.incarnation = incarnation
        self.sequence = -1
        self.received_at = 0.0
        self.in_hand = 0
        """Number of heartbeats whose answers wait."""
        self.arrived = asyncio.Event()
        self.changed = asyncio.Event()
        self.taking_turns: list[KeyRange] = []
        """Ranges, as they were, whose changes are committed while the next answer waits."""
        self.handovers: dict[tuple[int, int], str] = {}

    def notify(self) -> None:
        """Wake all that wait for a heartbeat or for a change."""
        for event in (self.arrived, self.changed):
            event.set()
            event.clear()


class HeartbeatDelivery:
    """Names each owner's ranges in the answers to its heartbeats.

    :param table: returns the service's ranges as applied.
    :param writer: proposes changes of ranges.
    :param term: what the leader's deliveries share.
    """

    def __init__(
        self,
        *,
        table: Callable[[], KeyTable],
        writer: RangeWriter,
        term: LeaderTerm,
    ) -> None:
        self._table = table
        self._writer = writer
        self._term = term
        self._grants = AnsweredGrants(hold_s=term.hold_s, elected_at=term.clock.monotonic())
        self._owners: dict[ServerIncarnation, _Owner] = {}
        self._confirming: set[KeyRange] = set()

    @property
    def max_ranges_per_owner(self) -> int:
        """Return the mean number of ranges per owner above which adjacent ones are merged."""
        return MAX_RANGES_PER_OWNER

    def update_owners(
        self,
        owners: Mapping[ServerIncarnation, RegisteredServer],
        others: Mapping[ServerIncarnation, RegisteredServer],
    ) -> None:
        """Forget incarnations that own nothing and have ended or are silent."""
        now = self._term.clock.monotonic()
        former = [run for run in self._owners if run not in owners]
        ended = [run for run in former if self._term.is_replaced(run) or self.is_lost(run, now)]
        for incarnation in ended:
            del self._owners[incarnation]
            self._grants.record_incarnation_end(incarnation)

    def is_ready(self, server: ServerIncarnation) -> bool:
        """Return that any server can be told, by the answer to its next heartbeat."""
        return True

    def wake_up(self, owners: Iterable[ServerIncarnation]) -> None:
        """Have waiting answers to some owners look at their ranges again."""
        for incarnation in owners:
            if incarnation in self._owners:
                self._owners[incarnation].notify()

    def is_lost(self, owner: ServerIncarnation, now: float) -> bool:
        """Return whether an owner has sent no heartbeat for nearly its whole hold."""
        silent_s = now - self._term.heartbeats.last_heartbeat_at(owner)
        return silent_s > LOST_HOLD_FRACTION * self._term.hold_s

    def may_move(self, keys: KeyRange, now: float) -> bool:
        """Return whether no grant of a former leader may be in force."""
        return not self._grants.may_be_former_leaders(now)

    def free_at(self, keys: KeyRange) -> float:
        """Return the monotonic time in seconds from which no server can hold any of the keys."""
        return self._grants.free_at(keys)

    async def wait_for_turn(self, keys: KeyRange, new_owner: ServerIncarnation) -> None:
        """Wait for heartbeats of both owners, whose answers can tell of the change.

        Until then the keys are served by their owner.
        """
        if keys.owner is None:
            return
        source, target = self._owner(keys.owner), self._owner(new_owner)
        give_up_at = self._term.clock.monotonic() + TURN_LIMIT_S
        while not self._is_good_moment(source, target):
            if self._has_ended(keys) or self._term.clock.monotonic() >= give_up_at:
                break
            await asyncio.sleep(TURN_CHECK_S)
        source.taking_turns.append(keys)
        while not source.in_hand and not self._has_ended(keys):
            await self._wait(source.arrived, self._free_in_s(keys))

    def _is_good_moment(self, source: _Owner, target: _Owner) -> bool:
        """Return whether the source can be told now, and the target once the keys are released."""
        if not source.in_hand or target is source:
            return bool(source.in_hand)
        released_at = self._term.clock.monotonic() + RELEASE_S
        if target.in_hand:
            return released_at <= target.received_at + ANSWER_WAIT_S
        return released_at >= target.received_at + self._term.heartbeat_s

    async def release(self, keys: KeyRange) -> str:
        """Wait until the owner can't hold keys in phase releasing, and return its handover data."""
        if keys.owner is None:
            return ""
        owner = self._owner(keys.owner)
        owner.notify()
        while not self._has_ended(keys):
            handover = owner.handovers.get((keys.low, keys.high))
            if handover and handover != keys.handover:
                # Its acknowledgement ends the server's knowledge of it.
                keys = replace(keys, handover=handover)
                await self._writer.change(expected=keys, new=keys)
                continue
            await self._wait(owner.changed, self._free_in_s(keys))
        return owner.handovers.pop((keys.low, keys.high), keys.handover)

    async def answer(
        self, heartbeat: Heartbeat, received_at: float, *, may_wait: bool
    ) -> GrantedKeys | None:
        """Return what a server is to hold; None if nothing may be renewed or acknowledged.

        :param heartbeat: its newest heartbeat.
        :param received_at: when it was received, as monotonic time in seconds.
        :param may_wait: whether the answer may wait for a change of the server's ranges.
        """
        owner = self._owner(heartbeat.server.run)
        self._record(owner, heartbeat, received_at)
        owner.in_hand += 1
        owner.notify()
        try:
            await self._wait_for_change(owner, heartbeat, received_at, may_wait=may_wait)
        finally:
            owner.in_hand -= 1
            owner.taking_turns.clear()
        is_latest = owner.sequence == heartbeat.sequence
        if not is_latest or not self._term.holds_lease:
            return None
        if heartbeat.released and self._is_committing(owner, heartbeat):
            return None
        return self._grant(owner, heartbeat, received_at)

    def _owner(self, incarnation: ServerIncarnation) -> _Owner:
        known = self._owners.get(incarnation)
        if known is None:
            known = self._owners[incarnation] = _Owner(incarnation)
        return known

    def _record(self, owner: _Owner, heartbeat: Heartbeat, received_at: float) -> None:
        owner.sequence = heartbeat.sequence
        owner.received_at = received_at
        self._grants.record_heartbeat(
            owner.incarnation,
            sequence=heartbeat.sequence,
            holds=heartbeat.holds,
            now=received_at,
        )
        for released in heartbeat.released:
            for item in self._releasing(owner):
                if released.low <= item.low and item.high <= released.high:
                    owner.handovers[(item.low, item.high)] = released.handover

    async def _wait_for_change(
        self, owner: _Owner, heartbeat: Heartbeat, received_at: float, *, may_wait: bool
    ) -> None:
        """Wait while nothing else than the server knows is to be answered, but not for long."""
        while owner.sequence == heartbeat.sequence:
            is_committing = self._is_committing(owner, heartbeat)
            if not is_committing and (not may_wait or self._is_news(owner, heartbeat)):
                return
            wait_s = COMMIT_WAIT_S if is_committing else ANSWER_WAIT_S
            left_s = received_at + wait_s - self._term.clock.monotonic()
            if left_s <= 0:
                return
            await self._wait(owner.changed, left_s)

    def _is_committing(self, owner: _Owner, heartbeat: Heartbeat) -> bool:
        """Return whether a change that the answer is to tell of is not committed yet."""
        owner.taking_turns = [keys for keys in owner.taking_turns if self._is_unchanged(keys)]
        if owner.taking_turns:
            return True
        return any(
            released.low <= item.low and item.high <= released.high and not item.handover
            for released in heartbeat.released
            for item in self._releasing(owner)
        )

    def _is_unchanged(self, keys: KeyRange) -> bool:
        """Return whether a change of keys is not committed yet; merged ranges have no token."""
        current = self._table().overlapping(keys.low, keys.high)
        if keys.token == 0:
            return len(current) > 1
        before = (keys.owner, keys.token, keys.phase)
        return any((item.owner, item.token, item.phase) == before for item in current)

    def _is_news(self, owner: _Owner, heartbeat: Heartbeat) -> bool:
        """Return whether the server holds other keys than it is to hold."""
        if self._releasing(owner):
            return True
        held = {(item.low, item.high, item.token) for item in heartbeat.holds}
        return held != {(item.low, item.high, item.token) for item in self._granted(owner)}

    def _granted(self, owner: _Owner) -> list[KeyRange]:
        phases = (GrantPhase.ACTIVE, GrantPhase.GRANTING)
        owned = self._table().owned_by(owner.incarnation)
        return [item for item in owned if item.phase in phases]

    def _releasing(self, owner: _Owner) -> list[KeyRange]:
        owned = self._table().owned_by(owner.incarnation)
        return [item for item in owned if item.phase is GrantPhase.RELEASING]

    def _grant(self, owner: _Owner, heartbeat: Heartbeat, received_at: float) -> GrantedKeys:
        ranges = sorted(self._granted(owner), key=lambda item: item.phase is GrantPhase.GRANTING)
        if len(ranges) > MAX_ANSWER_RANGES:
            logger.bind(event="too_many_ranges", server=owner.incarnation.server).error(
                "only {} of {} ranges fit into an answer", MAX_ANSWER_RANGES, len(ranges)
            )
            ranges = ranges[:MAX_ANSWER_RANGES]
        self._grants.record_answer(
            owner.incarnation,
            sequence=heartbeat.sequence,
            ranges=ranges,
            received_at=received_at,
        )
        for item in ranges:
            if item.phase is GrantPhase.GRANTING and item not in self._confirming:
                self._term.spawn(self._confirm(item), f"grant to {owner.incarnation.server}")
        known = {item.token for item in heartbeat.holds}
        return GrantedKeys(
            ranges=tuple(
                replace(item, handover="") if item.token in known else item for item in ranges
            ),
            hold_s=self._term.hold_s,
        )

    async def _confirm(self, keys: KeyRange) -> None:
        """Commit that an owner serves keys, while it receives the answer that grants them.

        If the answer is lost, the server refuses requests for them until its next heartbeat.
        """
        self._confirming.add(keys)
        try:
            active = replace(keys, phase=GrantPhase.ACTIVE)
            if await self._writer.change(expected=keys, new=active):
                logger.bind(
                    event="granted",
                    low=keys.low,
                    high=keys.high,
                    token=keys.token,
                    server=keys.owner.server if keys.owner else "",
                ).info("an answer to a heartbeat granted keys")
        finally:
            self._confirming.discard(keys)

    def _has_ended(self, keys: KeyRange) -> bool:
        """Return whether the owner can't hold any of the keys now."""
        if keys.owner is not None and self._term.is_replaced(keys.owner):
            # An incarnation ends with its process, and the one that replaced it holds no keys yet.
            self._grants.record_incarnation_end(keys.owner)
            return True
        return self._free_in_s(keys) <= 0

    def _free_in_s(self, keys: KeyRange) -> float:
        return self._grants.free_at(keys) - self._term.clock.monotonic()

    async def _wait(self, event: asyncio.Event, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(max(timeout_s, 0.0)):
                await event.wait()
        except TimeoutError:
            return
