"""Asks to join the group while this replica is outside it, and to leave it at a planned stop."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from secrets import token_hex

from loguru import logger
from msgspec.structs import replace

from lychee_control.peers import JoinRequest, LeaderHint
from lychee_control.registry.admission import Admission
from lychee_log import (
    Replica,
    ReplicaAddress,
    StorageError,
    load_known_voters,
    store_known_voters,
    stored_replica_id,
)
from lychee_types.clock import Clock
from lychee_types.ids import UNKNOWN_DOMAIN, DomainName, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.routed_settings import replica_id

REQUEST_INTERVAL_S = 0.4
"""Interval at which a replica that is not a member asks to join, in seconds."""

HINT_VALID_S = 1.5
"""Time for which the leader's answer to a request to join is valid, in seconds."""

VOTER_LOST_S = 2.0
"""Time without a reply from a voter after which a joining replica may replace it, in seconds."""

LEAVE_INTERVAL_S = 0.1
"""Interval at which a stopping voter asks to leave, in seconds."""

Post = Callable[..., None]
"""Sends a frame to a peer: ``post(to=..., frame=...)``."""


def load_or_create_id(data: Path, endpoint: Endpoint, *, is_first_start: bool) -> ReplicaId:
    """Return this replica's id: the stored one, or a new one from its address and a random part.

    A replica that lost its disk must not return under its old id, because the group relies on
    what it had stored. The initial voters use only their addresses as ids, so that each can derive
    the ids of the others.

    :param data: the data folder.
    :param endpoint: where the replica listens.
    :param is_first_start: whether the whole deployment starts for the first time.
    """
    stored = stored_replica_id(data)
    if stored is not None:
        return stored
    plain = replica_id(endpoint)
    return plain if is_first_start else ReplicaId(f"{plain}-{token_hex(4)}")


class JoinHandler:
    """Asks to join while this replica is not a member, and has others join while it leads.

    :param replica: the replicated log.
    :param this_replica: id and address of this replica.
    :param seeds: addresses of replicas that requests to join are sent to.
    :param target_voter_count: number of voters that the group should have.
    :param clock: source of time.
    :param post: sends a frame to a peer.
    :param leader_silence_s: returns the time since a message of the leader, in seconds.
    :param data: the data folder, which keeps the voters that the leader has told.
    :param domain: this replica's failure domain.
    :param domain_of: returns the failure domain of a voter; None if voters are not spread over
        failure domains.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        this_replica: ReplicaAddress,
        seeds: tuple[Endpoint, ...],
        target_voter_count: int,
        clock: Clock,
        post: Post,
        leader_silence_s: Callable[[], float],
        data: Path,
        domain: DomainName = UNKNOWN_DOMAIN,
        domain_of: Callable[[ReplicaId], DomainName] | None = None,
    ) -> None:
        self._replica = replica
        self._domain = domain
        self._this_replica = this_replica
        self._seeds = seeds
        self._clock = clock
        self._post = post
        self._leader_silence_s = leader_silence_s
        self._admission = Admission(
            replica=replica,
            target_voter_count=target_voter_count,
            voter_lost_s=lambda: VOTER_LOST_S,
            clock=clock,
            domain_of=domain_of,
        )
        self._has_news = asyncio.Event()
        self._is_leaving = False
        self._hint: LeaderHint | None = None
        self._hint_at = 0.0
        self._data = data
        self._told_voters = self._stored_voters = load_known_voters(data)
        self._has_store_failed = False

    @property
    def leader(self) -> ReplicaAddress | None:
        """Return the leader, as the log or, while this replica stands by, the leader itself says.

        None if it is not known.
        """
        if self._replica.leader is not None or self._hint is None:
            return self._replica.leader
        is_valid = self._clock.monotonic() - self._hint_at <= HINT_VALID_S
        return self._hint.leader if is_valid else None

    @property
    def voters(self) -> tuple[ReplicaAddress, ...]:
        """Return the voters, as the log or, while this replica stands by, the leader says."""
        if self._told_voters and self._is_outside():
            return self._told_voters
        return self._replica.voters

    def receive_hint(self, frame: LeaderHint) -> None:
        """Record who leads, and who votes."""
        self._hint, self._hint_at = frame, self._clock.monotonic()
        if frame.voters:
            self._told_voters = frame.voters

    def handle_request(self, frame: JoinRequest) -> None:
        """Record a request to join or to leave, and answer it, or forward it to the leader."""
        leader = self.leader
        if frame.is_leaving:
            self._admission.record_leaving(frame.newcomer.id)
            self._has_news.set()
        else:
            self._admission.record_joining(frame.newcomer, frame.domain)
        if self._replica.is_leader:
            self._send_hint(frame.newcomer)
        elif frame.to_pass_on and leader is not None and leader.id != self._this_replica.id:
            # Not passed on any further: two replicas may each take the other for the leader.
            self._post(to=leader, frame=replace(frame, to_pass_on=False))

    def set_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Set the replicas to send requests to from now on."""
        self._seeds = seeds

    async def run(self) -> None:
        """Ask to join, or add joining replicas, until cancelled."""
        was_leader = False
        while True:
            is_leader = self._replica.is_leader
            if is_leader and not was_leader:
                self._admission.begin_term()
            was_leader = is_leader
            if is_leader:
                self._introduce_to_seeds()
                await self._admission.carry_out_next()
            elif self._is_leaving:
                pass
            elif self._is_outside():
                self._send_requests()
                await self._store_voters()
            else:
                self._told_voters = ()
            await self._wait_for_news()

    async def leave(self, *, timeout_s: float) -> None:
        """Let a replica that stands by take this voter's place before it stops.

        A voter that only ends counts as lost until the leader notices, and another loss in that
        time may be one too many. Returns at once if no replica stands by.

        :param timeout_s: maximum time in seconds.
        """
        self._is_leaving, self._told_voters = True, ()
        until = self._clock.monotonic() + timeout_s
        request = JoinRequest(newcomer=self._this_replica, is_leaving=True, to_pass_on=False)
        while self._clock.monotonic() < until and self._can_be_replaced():
            leader = self.leader
            if leader is not None:
                self._post(to=leader, frame=request)
            await asyncio.sleep(LEAVE_INTERVAL_S)
        if self._has_left():
            logger.bind(event="left").info("another replica has taken this voter's place")

    def _can_be_replaced(self) -> bool:
        """Return whether this replica is a voter that another one can still replace."""
        if not self._replica.is_voter or self._replica.is_leader or self._has_left():
            return False
        return bool(self._admission.candidates())

    def _has_left(self) -> bool:
        own_id = self._this_replica.id
        return bool(self._told_voters) and own_id not in {v.id for v in self._told_voters}

    async def _wait_for_news(self) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(REQUEST_INTERVAL_S):
                await self._has_news.wait()
        self._has_news.clear()

    def _is_outside(self) -> bool:
        """Return whether this replica is no voter, or may be none any more."""
        return not self._replica.is_voter or self._may_have_been_replaced()

    def _may_have_been_replaced(self) -> bool:
        """Return whether the leader has been silent so long that it may have replaced this voter.

        Nobody tells a replica that was away. The leader ignores a request of one that is a voter.
        """
        return self._leader_silence_s() > VOTER_LOST_S

    def _send_requests(self) -> None:
        leader = self.leader
        known = {voter.endpoint: voter for voter in (*self._replica.voters, *self._told_voters)}
        for seed in self._seeds:
            known.setdefault(seed, _address_of(seed))
        request = JoinRequest(
            newcomer=self._this_replica, to_pass_on=leader is None, domain=self._domain
        )
        if leader is not None:
            known[leader.endpoint] = leader
        for replica in known.values():
            if replica.endpoint != self._this_replica.endpoint:
                self._post(to=replica, frame=request)

    def _send_hint(self, to: ReplicaAddress) -> None:
        # A change that is not committed may be undone, and a leaving voter relies on its own.
        voters = self._replica.voters if self._replica.is_membership_committed else ()
        self._post(to=to, frame=LeaderHint(leader=self._this_replica, voters=voters))

    def _introduce_to_seeds(self) -> None:
        """Tell the seeds who leads that are no voters and have not asked.

        After a restart of all, replicas that stand by may know nobody but each other, and gateways
        nobody but them.
        """
        known = {voter.endpoint for voter in self._replica.voters}
        known |= self._admission.asking_endpoints
        for seed in self._seeds:
            if seed not in known:
                self._send_hint(_address_of(seed))

    async def _store_voters(self) -> None:
        """Store the voters that the leader has told if they are others than those stored."""
        voters = self._told_voters
        if voters == self._stored_voters or not voters or not self._replica.is_running:
            return
        try:
            await asyncio.to_thread(store_known_voters, self._data, voters)
        except StorageError as exc:
            if not self._has_store_failed:
                logger.bind(event="known_voters_unstored").warning("{}", exc)
            self._has_store_failed = True
            return
        self._stored_voters, self._has_store_failed = voters, False


def _address_of(seed: Endpoint) -> ReplicaAddress:
    return ReplicaAddress(id=replica_id(seed), endpoint=seed)
