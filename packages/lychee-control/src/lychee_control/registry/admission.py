"""Decides, at the leader, which replica becomes a voter and which voter leaves the group."""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from lychee_log import Replica, ReplicaAddress
from lychee_types.clock import Clock
from lychee_types.exceptions import InvariantError, LycheeError
from lychee_types.ids import UNKNOWN_DOMAIN, DomainName, ReplicaId
from lychee_types.operator_messages import ReplicaState
from lychee_types.records import Endpoint

REQUEST_VALID_S = 2.0
"""Time for which a request to join or to leave is valid, in seconds."""

COLLECT_S = 0.6
"""Time for which a new leader collects requests before it adds a voter, in seconds.

The first replica that asks may be in a failure domain that has a voter.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class _JoinOrder:
    """A replica's request to join.

    :param newcomer: the replica.
    :param domain: its failure domain.
    :param heard_at: monotonic time in seconds at which the request arrived.
    """

    newcomer: ReplicaAddress
    domain: DomainName
    heard_at: float


class Admission:
    """Keeps requests to join and to leave, and carries one out at a time while this replica leads.

    A replica that does not lead keeps them as well, so that it knows them if it is elected.

    :param replica: the replicated log.
    :param target_voter_count: number of voters that the group should have.
    :param voter_lost_s: returns the time without a reply after which a voter counts as lost, in
        seconds.
    :param clock: source of time.
    :param domain_of: returns the failure domain of a voter; None if voters are not spread over
        failure domains.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        target_voter_count: int,
        voter_lost_s: Callable[[], float],
        clock: Clock,
        domain_of: Callable[[ReplicaId], DomainName] | None = None,
    ) -> None:
        self._replica = replica
        self._target_voter_count = target_voter_count
        self._voter_lost_s = voter_lost_s
        self._clock = clock
        self._domain_of = domain_of
        self._leads_since: float | None = None
        self._joining: dict[Endpoint, _JoinOrder] = {}
        self._leaving: dict[ReplicaId, float] = {}
        self._failed_at: dict[ReplicaId, float] = {}

    @property
    def asking_endpoints(self) -> frozenset[Endpoint]:
        """Return the addresses of the replicas that ask to join."""
        return frozenset(self._joining)

    def record_joining(self, newcomer: ReplicaAddress, domain: DomainName = UNKNOWN_DOMAIN) -> None:
        """Record that a replica of a failure domain asks to join."""
        self._joining[newcomer.endpoint] = _JoinOrder(
            newcomer=newcomer, domain=domain, heard_at=self._clock.monotonic()
        )
        self._leaving.pop(newcomer.id, None)

    def record_leaving(self, voter: ReplicaId) -> None:
        """Record that a voter asks to leave, as it is being stopped."""
        self._leaving[voter] = self._clock.monotonic()

    def candidates(self) -> list[ReplicaAddress]:
        """Return the replicas that ask to join and are no voters, the most promising first.

        Those that could not be added come last, then those of failure domains that have voters, if
        voters are spread. The others are ordered by how recently they were heard of.
        """
        self._forget_outdated()
        voters = self._voter_ids()
        domains = [self._domain_of(voter) for voter in voters] if self._domain_of else []
        requests = [req for req in self._joining.values() if req.newcomer.id not in voters]
        requests.sort(
            key=lambda req: (
                self._failed_at.get(req.newcomer.id, 0.0),
                domains.count(req.domain),
                -req.heard_at,
            )
        )
        return [req.newcomer for req in requests]

    def begin_term(self) -> None:
        """Record that this replica begins to lead."""
        self._leads_since = self._clock.monotonic()

    async def carry_out_next(self) -> None:
        """Let one replica join in place of another or in addition, or remove a lost member."""
        for newcomer in self.candidates():
            old = self._voter_to_replace(newcomer)
            if old is not None or self._may_add():
                await self._replace(old, newcomer)
                return
        surplus = self._surplus_member()
        if surplus is not None:
            await self._replace(surplus, None)

    def _may_add(self) -> bool:
        """Return whether the group lacks voters, and enough replicas were waited for."""
        if len(self._replica.voters) >= self._target_voter_count:
            return False
        if self._domain_of is None or self._leads_since is None:
            return True
        return self._clock.monotonic() - self._leads_since >= COLLECT_S

    def _forget_outdated(self) -> None:
        oldest = self._clock.monotonic() - REQUEST_VALID_S
        self._joining = {key: req for key, req in self._joining.items() if req.heard_at >= oldest}
        self._leaving = {key: at for key, at in self._leaving.items() if at >= oldest}
        asking = {req.newcomer.id for req in self._joining.values()}
        self._failed_at = {key: at for key, at in self._failed_at.items() if key in asking}

    def _voter_ids(self) -> set[ReplicaId]:
        return {voter.id for voter in self._replica.voters}

    def _voter_to_replace(self, newcomer: ReplicaAddress) -> ReplicaId | None:
        """Return the voter that a joining replica may replace, None if there is none.

        A voter at its own address has lost its disk; one that leaves goes before one that is lost.
        """
        voters = self._replica.voters
        for voter in voters:
            if voter.endpoint == newcomer.endpoint:
                return voter.id
        if len(voters) < self._target_voter_count:
            return None
        return self._voter_to_remove()

    def _voter_to_remove(self) -> ReplicaId | None:
        """Return a voter that leaves or is lost, None if there is none."""
        voters = self._voter_ids()
        for voter in voters & self._leaving.keys():
            return voter
        states = self._replica.replica_states()
        return next((s.id for s in states if s.id in voters and self._is_lost(s)), None)

    def _surplus_member(self) -> ReplicaId | None:
        """Return a member that an interrupted replacement has left behind, None if there is none.

        It is a voter beyond those that the group should have, or a learner that is gone.
        """
        voters, states = self._voter_ids(), self._replica.replica_states()
        if len(voters) > self._target_voter_count:
            return self._voter_to_remove()
        return next((s.id for s in states if s.id not in voters and self._is_lost(s)), None)

    def _is_lost(self, state: ReplicaState) -> bool:
        return state.silent_ms > self._voter_lost_s() * 1_000

    async def _replace(self, old: ReplicaId | None, new: ReplicaAddress | None) -> None:
        names = {"old": old or "", "new": new.id if new is not None else ""}
        logger.bind(event="voter_change", **names).info("changing the members of the group")
        try:
            voters = await self._replica.replace_voter(old=old, new=new)
        except InvariantError:
            raise
        except LycheeError as exc:
            logger.bind(event="voter_change_failed", **names).warning("{}", exc)
            if new is not None:
                self._failed_at[new.id] = self._clock.monotonic()
            return
        logger.bind(event="voters", voters=[voter.id for voter in voters]).info(
            "voters of the group changed"
        )
