"""Owners of the shards and keys of a service, computed from its placement."""

from collections.abc import Mapping

import numpy as np
import numpy.typing as npt

from lychee_owner.hashing import hash_key, shard_of
from lychee_owner.rendezvous import Owners, Ranking, apply_shard_limits, rank, rendezvous, rerank
from lychee_types.ids import KeyHash, ServerId, Shard
from lychee_types.records import Placement

__all__ = ["OwnerTable", "Owners", "hash_key", "rendezvous", "shard_of"]


class OwnerTable:
    """Looks up the owner of a key in one placement.

    :param placement: the placement.
    :param shards: the number of shards, a power of two.
    :param base: table of another placement of the same service, to compute this one incrementally.
    """

    def __init__(
        self, *, placement: Placement, shards: int, base: "OwnerTable | None" = None
    ) -> None:
        self.placement = placement
        self.shards = shards
        self._servers = [member.server for member in placement.members]
        self._keys: Mapping[KeyHash, ServerId] = {key.key: key.server for key in placement.keys}
        self._ranking: Ranking | None = None
        self.owners: list[int] = []
        if base is not None and self._has_same_shard_owners(base):
            self._ranking, self.owners = base._ranking, base.owners
        elif placement.members:
            self._ranking = self._rank(base)
            self.owners = apply_shard_limits(self._ranking, placement.bounded_load).tolist()

    def _has_same_shard_owners(self, base: "OwnerTable") -> bool:
        ours, theirs = self.placement, base.placement
        return (
            self.shards == base.shards
            and ours.members == theirs.members
            and ours.bounded_load == theirs.bounded_load
        )

    def _rank(self, base: "OwnerTable | None") -> Ranking:
        members = self.placement.members
        if base is None or base._ranking is None or base.shards != self.shards:
            return rank(members, self.shards)
        return rerank(base._ranking, members)

    def owner(self, key: KeyHash) -> ServerId | None:
        """Return the owner of a key, or None if the placement has no member."""
        if self._keys:
            server = self._keys.get(key)
            if server is not None:
                return server
        return self.owner_of_key_shard(key)

    def owner_of_key_shard(self, key: KeyHash) -> ServerId | None:
        """Return the owner of a key's shard, even if the key itself is placed individually."""
        if not self.owners:
            return None
        return self._servers[self.owners[key & (self.shards - 1)]]

    @property
    def individual_keys(self) -> frozenset[KeyHash]:
        """The keys whose owner is set individually instead of by their shard."""
        return frozenset(self._keys)

    def tiled_owners(self, shards: int) -> npt.NDArray[np.str_]:
        """Return the owner's id for each shard after a split into more shards; empty if none.

        :param shards: number of shards after the split, a multiple of this table's number.
        """
        if not self.owners:
            return np.full(shards, "", dtype=np.str_)
        names = np.array(self._servers, dtype=np.str_)[np.array(self.owners)]
        return np.tile(names, shards // self.shards)

    def servers_by_shard(self) -> list[ServerId]:
        """Return the owner of each shard; an empty list if the placement has no member."""
        return [self._servers[owner] for owner in self.owners]

    def shard_owner(self, shard: Shard) -> ServerId | None:
        """Return the owner of a shard, or None if the placement has no member."""
        return self._servers[self.owners[shard]] if self.owners else None
