"""How the first voters become a group.

A replica without a group votes for nobody. The first voter by id writes the founding membership
once it has heard the storage number of every first voter; the others take it over. A first voter
whose disk was emptied finds a group that knows it with another storage number, and stops.
"""

from lychee_log.exceptions import NEW_REPLICA_REMEDY, LostStorageError
from lychee_log.messages import Hello
from lychee_log.records import Membership, ReplicaAddress, StorageId
from lychee_types.ids import ReplicaId


class Founding:
    """What a replica without a group knows of the first voters.

    :param me: this replica.
    :param first: the first voters of the settings; empty for a replica that joins a group.
    """

    def __init__(self, *, me: ReplicaAddress, first: tuple[ReplicaAddress, ...]) -> None:
        self._me = me
        self._first = first
        self._storages: dict[ReplicaId, StorageId] = {me.id: me.storage}

    @property
    def is_founder(self) -> bool:
        """Return whether this replica writes the founding membership."""
        return bool(self._first) and self._me.id == min(voter.id for voter in self._first)

    @property
    def others(self) -> tuple[ReplicaAddress, ...]:
        """Return the other first voters."""
        return tuple(voter for voter in self._first if voter.id != self._me.id)

    @property
    def missing(self) -> tuple[ReplicaId, ...]:
        """Return the first voters that have not been heard."""
        return tuple(voter.id for voter in self._first if voter.id not in self._storages)

    def hear(self, hello: Hello) -> None:
        """Take note of a first voter that has no group either."""
        if any(voter.id == hello.sender for voter in self._first):
            self._storages[hello.sender] = hello.storage

    def membership(self) -> Membership | None:
        """Return the founding membership if this replica may write it now."""
        if not self.is_founder or self.missing:
            return None
        return Membership(
            voters=tuple(
                ReplicaAddress(
                    id=voter.id, endpoint=voter.endpoint, storage=self._storages[voter.id]
                )
                for voter in self._first
            )
        )

    def check_against(self, hello: Hello) -> None:
        """Stop if a group exists that this first voter cannot belong to.

        :param hello: word of a replica that has a group.
        :raises LostStorageError: if the group knows this id with other storage, or not at all.
        """
        if hello.members is None:
            return
        listed = hello.members.find(self._me.id)
        if listed is not None and listed.storage != self._me.storage:
            raise lost_storage(self._me.id)
        if listed is None and self._first:
            raise LostStorageError(
                message=f"the group exists and replica {self._me.id} is no member of it",
                remedy=NEW_REPLICA_REMEDY,
            )


def lost_storage(replica: ReplicaId) -> LostStorageError:
    """Return the error for a replica whose storage is not the one that its group knows."""
    return LostStorageError(
        message=f"the group knows replica {replica} with other storage; its disk was emptied",
        remedy=NEW_REPLICA_REMEDY,
    )
