"""Adds, removes or replaces a voter, one membership change at a time."""

import asyncio
from collections.abc import Callable

from expression import Result
from loguru import logger

from lychee_log.core import Core
from lychee_log.membership import with_learner, with_promoted_learner, without_member
from lychee_log.records import EntryId, Membership, ReplicaAddress
from lychee_types.clock import Clock
from lychee_types.exceptions import LycheeError, UnavailableError
from lychee_types.ids import ReplicaId

POLL_INTERVAL_S = 0.02
"""Interval at which the end of a step is polled for, in seconds."""

STORAGE_ID_REQUEST_INTERVAL_S = 0.2
"""Interval at which a new replica is asked for its storage number, in seconds."""

ANSWER_TIMEOUT_S = 10.0
"""Maximum wait for a commit, in seconds."""

FIRST_REPLY_TIMEOUT_S = 3.0
"""Maximum wait for a new replica's storage number, in seconds."""

NEWCOMER_SILENCE_S = 3.0
"""Time without a reply after which a new replica that catches up is given up, in seconds."""

CATCH_UP_TIMEOUT_S = 120.0
"""Maximum wait until a new replica holds the whole log, in seconds."""


class VoterReplacement:
    """One change of voters, made by the leader.

    :param core: the leader's core.
    :param clock: source of time.
    :param wake_loop: wakes the replica's loop, which performs the core's effects.
    """

    def __init__(self, *, core: Core, clock: Clock, wake_loop: Callable[[], None]) -> None:
        self._core = core
        self._clock = clock
        self._wake_loop = wake_loop
        self._term = core.state.term

    async def run(
        self, *, old: ReplicaId | None, new: ReplicaAddress | None
    ) -> tuple[ReplicaAddress, ...]:
        """Make the change, and return the voters after it.

        The new voter votes before the old one leaves, which may come back with its disk. An old one
        at the new one's address has lost it, and leaves once the new one holds the log.

        :param old: the voter to remove, None to only add one.
        :param new: the voter to add, None to only remove one.
        :raises UnavailableError: if a step takes too long or the leadership is lost.
        :raises MembershipError: if the change is not allowed.
        """
        await self._wait_until(
            lambda: self._core.is_ready_leader, ANSWER_TIMEOUT_S, "the leader is not ready"
        )
        if new is not None:
            await self._add_learner(new)
            if old is not None and self._is_at_address_of(old, new):
                # Its disk is lost. Beside it, the newcomer would be one that the others can't miss.
                logger.bind(event="voter_out_first", old=old, new=new.id).info(
                    "a voter that has lost its disk leaves before the newcomer votes"
                )
                await self._remove(old)
            await self._promote(new.id)
        if old is not None:
            await self._remove(old)
        if new is not None and self._is_leading:
            await self._catch_up(new.id)
        return self._members.voters

    @property
    def _members(self) -> Membership:
        return self._core.state.members

    @property
    def _is_leading(self) -> bool:
        return self._core.leader is not None and self._core.state.term == self._term

    def _is_at_address_of(self, old: ReplicaId, new: ReplicaAddress) -> bool:
        listed = self._members.find(old)
        return listed is not None and listed.id != new.id and listed.endpoint == new.endpoint

    async def _add_learner(self, new: ReplicaAddress) -> None:
        if self._members.find(new.id) is None:
            learner = await self._request_storage_id(new)
            await self._change_members(with_learner(self._members, learner))
        await self._catch_up(new.id)

    async def _promote(self, new: ReplicaId) -> None:
        if not self._members.is_voter(new):
            await self._change_members(with_promoted_learner(self._members, new))
            await self._catch_up(new)

    async def _remove(self, old: ReplicaId) -> None:
        if self._members.find(old) is not None:
            await self._change_members(without_member(self._members, old))

    async def _request_storage_id(self, new: ReplicaAddress) -> ReplicaAddress:
        deadline = self._clock.monotonic() + FIRST_REPLY_TIMEOUT_S
        while self._clock.monotonic() < deadline:
            self._core.request_storage_id(new)
            self._wake_loop()
            await asyncio.sleep(STORAGE_ID_REQUEST_INTERVAL_S)
            self._check_leading()
            answered = self._core.joining_replica
            if answered is not None and answered.id == new.id:
                return answered
        raise UnavailableError(
            message=f"replica {new.id} at {new.endpoint} does not answer as a new replica",
            remedy="start it with an empty data folder and without first voters, then ask again",
        )

    async def _catch_up(self, replica: ReplicaId) -> None:
        began = self._clock.monotonic()

        def is_done() -> bool:
            now = self._clock.monotonic()
            if now - max(began, self._heard_at(replica)) > NEWCOMER_SILENCE_S:
                raise UnavailableError(
                    message=f"replica {replica} does not answer any more",
                    remedy="check that it runs, then ask again",
                )
            return self._core.is_caught_up(replica, now)

        await self._wait_until(
            is_done,
            CATCH_UP_TIMEOUT_S,
            f"replica {replica} does not hold the whole log yet",
        )

    def _heard_at(self, replica: ReplicaId) -> float:
        """Return when a member has replied last, 0.0 if it never has."""
        leader = self._core.leader
        peer = leader.leadership.peers.get(replica) if leader is not None else None
        return peer.last_reply_at if peer is not None else 0.0

    async def _change_members(self, members: Membership) -> None:
        result: Result[EntryId, LycheeError] = self._core.change_members(members)
        if result.is_error():
            raise result.error
        change = result.ok
        self._wake_loop()
        await self._wait_until(
            lambda: self._is_committed(change),
            ANSWER_TIMEOUT_S,
            "the change is appended and not committed yet",
        )

    def _is_committed(self, change: EntryId) -> bool:
        state = self._core.state
        return state.commit_index >= change.index and state.log.term_at(change.index) == change.term

    async def _wait_until(
        self, is_done: Callable[[], bool], timeout_s: float, message: str
    ) -> None:
        deadline = self._clock.monotonic() + timeout_s
        while not is_done():
            self._check_leading()
            if self._clock.monotonic() > deadline:
                raise UnavailableError(message=message, remedy="wait a moment and ask again")
            await asyncio.sleep(POLL_INTERVAL_S)

    def _check_leading(self) -> None:
        if not self._is_leading:
            raise UnavailableError(
                message="the leadership was lost during the change of voters",
                remedy="ask the new leader for the same change; it goes on from where it stands",
            )
