"""Bootstraps a new group from its initial voters.

A replica without a group never votes. The initial voter with the lowest id creates the founding
membership once it has received the storage number of every initial voter; the others adopt it. An
initial voter whose disk was emptied finds that the membership lists it with another storage number,
and stops.
"""

from lychee_log.exceptions import NEW_REPLICA_REMEDY, LostStorageError
from lychee_log.messages import Hello
from lychee_log.records import Membership, ReplicaAddress, StorageId
from lychee_types.ids import ReplicaId


class GroupBootstrap:
    """Bootstrap state of a replica without a group: the initial voters and their storage numbers.

    :param own_address: this replica.
    :param initial_voters: the initial voters in the settings; empty for a replica that joins an
        existing group.
    """

    def __init__(
        self, *, own_address: ReplicaAddress, initial_voters: tuple[ReplicaAddress, ...]
    ) -> None:
        self._own_address = own_address
        self._initial_voters = initial_voters
        self._storage_ids: dict[ReplicaId, StorageId] = {own_address.id: own_address.storage}

    @property
    def is_founder(self) -> bool:
        """Return whether this replica creates the founding membership."""
        return bool(self._initial_voters) and self._own_address.id == min(
            voter.id for voter in self._initial_voters
        )

    @property
    def other_voters(self) -> tuple[ReplicaAddress, ...]:
        """Return the initial voters other than this replica."""
        return tuple(voter for voter in self._initial_voters if voter.id != self._own_address.id)

    @property
    def missing_voters(self) -> tuple[ReplicaId, ...]:
        """Return the initial voters whose storage number this replica does not have yet."""
        return tuple(
            voter.id for voter in self._initial_voters if voter.id not in self._storage_ids
        )

    def record_hello(self, hello: Hello) -> None:
        """Record the storage number of an initial voter that has no group either."""
        if any(voter.id == hello.sender for voter in self._initial_voters):
            self._storage_ids[hello.sender] = hello.storage

    def initial_membership(self) -> Membership | None:
        """Return the founding membership, None if this replica may not create it yet."""
        if not self.is_founder or self.missing_voters:
            return None
        return Membership(
            voters=tuple(
                ReplicaAddress(
                    id=voter.id, endpoint=voter.endpoint, storage=self._storage_ids[voter.id]
                )
                for voter in self._initial_voters
            )
        )

    def check_membership(self, hello: Hello) -> None:
        """Check that this replica may belong to the group of another replica.

        :param hello: message of a replica that belongs to a group.
        :raises LostStorageError: if the membership lists this id with another storage number, or if
            this replica is an initial voter but not a member.
        """
        if hello.members is None:
            return
        listed = hello.members.find(self._own_address.id)
        if listed is not None and listed.storage != self._own_address.storage:
            raise lost_storage_error(self._own_address.id)
        if listed is None and self._initial_voters:
            raise LostStorageError(
                message=f"the group exists and replica {self._own_address.id} is no member of it",
                remedy=NEW_REPLICA_REMEDY,
            )


def lost_storage_error(replica: ReplicaId) -> LostStorageError:
    """Return the error for a replica that the membership lists with another storage number."""
    return LostStorageError(
        message=f"the group knows replica {replica} with other storage; its disk was emptied",
        remedy=NEW_REPLICA_REMEDY,
    )
