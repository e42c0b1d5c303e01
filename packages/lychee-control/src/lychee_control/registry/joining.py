"""How a replica that was added, or whose disk was emptied, becomes a voter by itself."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from secrets import token_hex

from loguru import logger

from lychee_control.peers import JoinRequest, PeerFrame
from lychee_log import Replica, ReplicaAddress, stored_replica_id
from lychee_types.clock import Clock
from lychee_types.exceptions import InvariantError, LycheeError
from lychee_types.ids import ReplicaId
from lychee_types.operator_messages import ReplicaState
from lychee_types.records import Endpoint
from lychee_types.routed_settings import replica_id

ASK_S = 0.4
"""Interval at which a replica without a group asks to join, in seconds."""

FRESH_S = 2.0
"""Time for which a request to join counts, in seconds."""

LOST_S = 4.0
"""Silence of a voter after which a newcomer may take its place, in seconds."""

Post = Callable[..., None]
"""Sends a frame to a peer: ``post(to=..., frame=...)``."""


def own_id(data: Path, endpoint: Endpoint, *, is_first_start: bool) -> ReplicaId:
    """Return this replica's id: the stored one, else its address with a random part.

    A replica that lost its disk must not come back under its old id, since the group counts on
    what it had stored. The first voters know each other by their addresses alone.

    :param data: the data folder.
    :param endpoint: where it listens.
    :param is_first_start: whether the whole deployment starts for the first time.
    """
    stored = stored_replica_id(data)
    if stored is not None:
        return stored
    plain = replica_id(endpoint)
    return plain if is_first_start else ReplicaId(f"{plain}-{token_hex(4)}")


class JoinDesk:
    """Asks to join while this replica is no member, and lets others in while it leads.

    :param replica: the replicated log.
    :param newcomer: this replica.
    :param seeds: addresses of some replicas.
    :param wanted: number of voters.
    :param clock: source of time.
    :param post: sends a frame to a peer.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        newcomer: ReplicaAddress,
        seeds: tuple[Endpoint, ...],
        wanted: int,
        clock: Clock,
        post: Post,
    ) -> None:
        self._replica = replica
        self._newcomer = newcomer
        self._seeds = seeds
        self._wanted = wanted
        self._clock = clock
        self._post = post
        self._asking: dict[Endpoint, tuple[ReplicaAddress, float]] = {}

    def hear(self, frame: JoinRequest) -> None:
        """Take a request to join, or pass it on to the leader."""
        leader = self._replica.leader
        if self._replica.is_leader:
            self._asking[frame.newcomer.endpoint] = (frame.newcomer, self._clock.monotonic())
        elif leader is not None and leader.id != self._newcomer.id:
            self._post(to=leader, frame=frame)

    def use_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Ask these replicas from now on."""
        self._seeds = seeds

    async def run(self) -> None:
        """Ask, and let others in, until cancelled."""
        while True:
            if self._replica.is_leader:
                await self._let_in()
            elif not self._is_member():
                self._ask()
            await asyncio.sleep(ASK_S)

    def _is_member(self) -> bool:
        return any(voter.id == self._newcomer.id for voter in self._replica.voters)

    def _ask(self) -> None:
        request: PeerFrame = JoinRequest(newcomer=self._newcomer)
        for seed in self._seeds:
            if seed != self._newcomer.endpoint:
                self._post(to=ReplicaAddress(id=replica_id(seed), endpoint=seed), frame=request)

    async def _let_in(self) -> None:
        now = self._clock.monotonic()
        for endpoint, (newcomer, asked_at) in tuple(self._asking.items()):
            if now - asked_at > FRESH_S:
                del self._asking[endpoint]
                continue
            if newcomer.id in {voter.id for voter in self._replica.voters}:
                del self._asking[endpoint]
                continue
            old = self._place_for(newcomer)
            if old is not None or len(self._replica.voters) < self._wanted:
                await self._replace(old, newcomer)
                return

    def _place_for(self, newcomer: ReplicaAddress) -> ReplicaId | None:
        """Return the voter that a newcomer may replace, None if there is none."""
        states = self._replica.replica_states()
        voters = {voter.id for voter in self._replica.voters}
        for state in states:
            if state.id in voters and state.endpoint == newcomer.endpoint:
                return state.id
        if len(voters) < self._wanted:
            return None
        return next((state.id for state in states if state.id in voters and _is_lost(state)), None)

    async def _replace(self, old: ReplicaId | None, newcomer: ReplicaAddress) -> None:
        logger.bind(event="voter_change", old=old or "", new=newcomer.id).info(
            "a replica joins the group"
        )
        try:
            voters = await self._replica.replace_voter(old=old, new=newcomer)
        except InvariantError:
            raise
        except LycheeError as exc:
            logger.bind(event="voter_change_failed", new=newcomer.id).warning("{}", exc)
            return
        logger.bind(event="voters", voters=[voter.id for voter in voters]).info(
            "the voters have changed"
        )


def _is_lost(state: ReplicaState) -> bool:
    return state.silent_ms > LOST_S * 1_000
