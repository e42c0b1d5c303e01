"""Computed placement: which member owns each shard and each key of a service."""

from collections.abc import Mapping
from functools import lru_cache

import numpy as np
import numpy.typing as npt
from xxhash import xxh3_64_intdigest

from lychee_types.ids import KeyHash, ServerId, Shard
from lychee_types.records import Member, Placement

Owners = npt.NDArray[np.int32]
"""For each shard the index of its owner among the placement's members."""

_MIX_1 = np.uint64(0xBF58476D1CE4E5B9)
_MIX_2 = np.uint64(0x94D049BB133111EB)


def hash_key(key: bytes) -> KeyHash:
    """Return the 64-bit hash of the raw bytes of a key."""
    return KeyHash(xxh3_64_intdigest(key))


def shard_of(key: KeyHash, shards: int) -> Shard:
    """Return the shard of a key.

    :param key: the key's hash.
    :param shards: the service's number of shards, a power of two.
    """
    return Shard(key & (shards - 1))


@lru_cache(maxsize=4_096)
def _draws(server: ServerId, shards: int) -> npt.NDArray[np.float64]:
    """Return one exponential draw a shard, fixed by the server's id."""
    seed = np.uint64(xxh3_64_intdigest(server.encode()))
    x = np.arange(shards, dtype=np.uint64) * np.uint64(0x9E3779B97F4A7C15) + seed
    x = (x ^ (x >> np.uint64(30))) * _MIX_1
    x = (x ^ (x >> np.uint64(27))) * _MIX_2
    x ^= x >> np.uint64(31)
    uniform = (x.astype(np.float64) + 0.5) / 2.0**64
    return -np.log(uniform)


def rendezvous(members: tuple[Member, ...], shards: int) -> Owners:
    """Return the owners by weighted rendezvous hashing.

    A member that joins or leaves moves only the shards that it gains or loses.

    :param members: the members; must not be empty.
    :param shards: the service's number of shards.
    """
    draws = np.stack([_draws(member.server, shards) / member.weight for member in members])
    owners: Owners = np.argmin(draws, axis=0).astype(np.int32)
    return owners


class OwnerTable:
    """Looks up the owner of a key in one placement.

    :param placement: the placement.
    :param shards: the service's number of shards, a power of two.
    """

    def __init__(self, *, placement: Placement, shards: int) -> None:
        self.placement = placement
        self.shards = shards
        self._servers = [member.server for member in placement.members]
        self._keys: Mapping[KeyHash, ServerId] = {key.key: key.server for key in placement.keys}
        self.owners: list[int] = (
            rendezvous(placement.members, shards).tolist() if placement.members else []
        )

    def owner(self, key: KeyHash) -> ServerId | None:
        """Return the owner of a key, or None if the placement has no member."""
        if self._keys:
            server = self._keys.get(key)
            if server is not None:
                return server
        if not self.owners:
            return None
        return self._servers[self.owners[key & (self.shards - 1)]]

    @property
    def placed_keys(self) -> frozenset[KeyHash]:
        """The keys that are placed apart from their shard."""
        return frozenset(self._keys)

    def spread(self, shards: int) -> npt.NDArray[np.str_]:
        """Return the owner of each shard by name, empty where there is none.

        :param shards: a multiple of this table's shards.
        """
        if not self.owners:
            return np.full(shards, "", dtype=np.str_)
        names = np.array(self._servers, dtype=np.str_)[np.array(self.owners)]
        return np.tile(names, shards // self.shards)

    def servers_by_shard(self) -> list[ServerId]:
        """Return the owner of each shard, an empty list if the placement has no member."""
        return [self._servers[owner] for owner in self.owners]

    def shard_owner(self, shard: Shard) -> ServerId | None:
        """Return the owner of a shard, or None if the placement has no member."""
        return self._servers[self.owners[shard]] if self.owners else None
