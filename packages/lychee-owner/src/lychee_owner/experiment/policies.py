"""Placement policies for shards, to be compared with each other."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from math import ceil

import numpy as np
import numpy.typing as npt
from msgspec.msgpack import Encoder
from xxhash import xxh3_64_intdigest

from lychee_owner.hashing import all_shards
from lychee_owner.planner import difference
from lychee_owner.rendezvous import rendezvous
from lychee_types.commands import BeginTransition, encode_command
from lychee_types.ids import ServerId, ServiceName, Token
from lychee_types.records import Member, Placement

Names = npt.NDArray[np.str_]
"""For each shard, the id of its owner."""

RING_POINTS = 100
"""Number of points on the hash ring for a member of mean weight."""

_ENCODER = Encoder()


@dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """The owners of all shards.

    :param members: the members.
    :param owners: the owner of each shard.
    """

    members: tuple[Member, ...]
    owners: Names

    def counts(self) -> dict[ServerId, int]:
        """Return how many shards each member owns."""
        names, counts = np.unique(self.owners, return_counts=True)
        count_by_server = dict(zip(names.tolist(), counts.tolist(), strict=True))
        return {member.server: count_by_server.get(member.server, 0) for member in self.members}


class Policy(ABC):
    """A policy that assigns shards to members.

    :param name: its name in result rows.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name

    @abstractmethod
    def place(
        self, members: tuple[Member, ...], shards: int, before: Assignment | None
    ) -> Assignment:
        """Return the owners of all shards.

        :param members: the current members, in order of id.
        :param shards: number of shards.
        :param before: the previous assignment; None for the first one.
        """

    def shipped_bytes(self, *, before: Assignment, after: Assignment) -> int:
        """Return the number of bytes sent to each gateway for a change.

        Gateways compute the owners themselves, so only the changed members are sent.
        """
        change = difference(
            current=Placement(members=before.members),
            token=Token(1),
            target=Placement(members=after.members),
        )
        return len(encode_command(BeginTransition(service=ServiceName("lookup"), change=change)))


class Modulo(Policy):
    """The baseline: the shard's index modulo the number of members, regardless of their weights."""

    def place(
        self, members: tuple[Member, ...], shards: int, before: Assignment | None
    ) -> Assignment:
        """Return the owners of all shards."""
        names = np.array([member.server for member in members])
        return Assignment(members=members, owners=names[np.arange(shards) % len(members)])


class Rendezvous(Policy):
    """Weighted rendezvous hashing.

    :param bounded_load: limit as a multiple of the fair share; 0 for no limit.
    """

    def __init__(self, *, name: str, bounded_load: float = 0.0) -> None:
        super().__init__(name=name)
        self._bounded_load = bounded_load

    def place(
        self, members: tuple[Member, ...], shards: int, before: Assignment | None
    ) -> Assignment:
        """Return the owners of all shards."""
        names = np.array([member.server for member in members])
        owners = rendezvous(members, shards, bounded_load=self._bounded_load)
        return Assignment(members=members, owners=names[owners])


class BoundedRing(Policy):
    """Consistent hashing with bounded loads.

    Members have points on a hash ring by weight. A shard goes to the next point on the ring whose
    member is below its limit.

    :param bounded_load: limit as a multiple of the fair share.
    """

    def __init__(self, *, name: str, bounded_load: float) -> None:
        super().__init__(name=name)
        self._bounded_load = bounded_load

    def place(
        self, members: tuple[Member, ...], shards: int, before: Assignment | None
    ) -> Assignment:
        """Return the owners of all shards."""
        points_on_ring, point_members = _ring(members)
        remaining = _limits(members, shards, self._bounded_load)
        starts = np.searchsorted(points_on_ring, _hash_shards(shards)) % len(points_on_ring)
        owners = np.empty(shards, dtype=np.int64)
        for shard, start in enumerate(starts.tolist()):
            position = start
            while not remaining[point_members[position]]:
                position = (position + 1) % len(point_members)
            remaining[point_members[position]] -= 1
            owners[shard] = point_members[position]
        names = np.array([member.server for member in members])
        return Assignment(members=members, owners=names[owners])


class MinimalTable(Policy):
    """An explicit owner table in which as few shards as possible move.

    Members above their limit give up shards, and members that are below the corresponding lower
    limit get some from the others.

    :param bounded_load: upper limit as a multiple of the fair share; its inverse is the lower one.
    """

    def __init__(self, *, name: str, bounded_load: float) -> None:
        super().__init__(name=name)
        self._bounded_load = bounded_load

    def place(
        self, members: tuple[Member, ...], shards: int, before: Assignment | None
    ) -> Assignment:
        """Return the owners of all shards."""
        no_owner = ServerId("")
        owners = [no_owner] * shards if before is None else list(map(ServerId, before.owners))
        limits = dict(
            zip(
                [member.server for member in members],
                _limits(members, shards, self._bounded_load),
                strict=True,
            )
        )
        owned_counts: dict[ServerId, int] = dict.fromkeys(limits, 0)
        unassigned: list[int] = []
        for shard, owner in enumerate(owners):
            if owner in limits and owned_counts[owner] < limits[owner]:
                owned_counts[owner] += 1
            else:
                unassigned.append(shard)
        self._fill_up(owners, members, owned_counts)
        self._assign(owners, unassigned, members, owned_counts)
        return Assignment(members=members, owners=np.array(owners))

    def _fill_up(
        self, owners: list[ServerId], members: tuple[Member, ...], owned_counts: dict[ServerId, int]
    ) -> None:
        """Move shards from members above their fair share to members below their lower limit."""
        min_counts = dict(
            zip(owned_counts, _limits(members, len(owners), 1 / self._bounded_load), strict=True)
        )
        weights = {member.server: member.weight for member in members}
        total = sum(weights.values())
        surplus = [
            (shard, owner)
            for shard, owner in enumerate(owners)
            if owner in owned_counts and owned_counts[owner] > len(owners) * weights[owner] / total
        ]
        for server in owned_counts:
            while owned_counts[server] < min_counts[server] and surplus:
                shard, owner = surplus.pop()
                if (
                    owned_counts[owner] > len(owners) * weights[owner] / total
                    and owners[shard] == owner
                ):
                    owners[shard] = server
                    owned_counts[owner] -= 1
                    owned_counts[server] += 1

    def _assign(
        self,
        owners: list[ServerId],
        unassigned: list[int],
        members: tuple[Member, ...],
        owned_counts: dict[ServerId, int],
    ) -> None:
        weights = np.array([member.weight for member in members])
        counts = np.array([owned_counts[member.server] for member in members], dtype=float)
        for shard in unassigned:
            position = int(np.argmin((counts + 1) / weights))
            counts[position] += 1
            owners[shard] = members[position].server

    def shipped_bytes(self, *, before: Assignment, after: Assignment) -> int:
        """Return the number of bytes sent to each gateway: shard and owner of each moved shard."""
        positions = {member.server: position for position, member in enumerate(after.members)}
        moved = np.flatnonzero(before.owners != after.owners).tolist()
        return len(_ENCODER.encode([(shard, positions[after.owners[shard]]) for shard in moved]))


def _limits(members: tuple[Member, ...], shards: int, bounded_load: float) -> list[int]:
    total = sum(member.weight for member in members)
    return [ceil(bounded_load * shards * member.weight / total) for member in members]


def _ring(members: tuple[Member, ...]) -> tuple[npt.NDArray[np.uint64], list[int]]:
    mean = sum(member.weight for member in members) / len(members)
    points = [
        (xxh3_64_intdigest(f"{member.server}/{point}".encode()), position)
        for position, member in enumerate(members)
        for point in range(max(1, round(RING_POINTS * member.weight / mean)))
    ]
    points.sort()
    return np.array([at for at, _ in points], dtype=np.uint64), [position for _, position in points]


def _hash_shards(shards: int) -> npt.NDArray[np.uint64]:
    mixed = all_shards(shards) * np.uint64(0x9E3779B97F4A7C15)
    mixed ^= mixed >> np.uint64(29)
    return mixed * np.uint64(0xBF58476D1CE4E5B9)


def policies(bounded_load: float) -> tuple[Policy, ...]:
    """Return all policies to compare.

    :param bounded_load: limit as a multiple of the fair share, for policies that have one.
    """
    return (
        Modulo(name="modulo"),
        Rendezvous(name="rendezvous"),
        Rendezvous(name="bounded rendezvous", bounded_load=bounded_load),
        BoundedRing(name="bounded ring", bounded_load=bounded_load),
        MinimalTable(name="minimal table", bounded_load=bounded_load),
    )
