"""Ways to place shards, for comparison."""

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
"""For each shard the name of its owner."""

RING_POINTS = 100
"""Points on the ring for a member of mean weight."""

_ENCODER = Encoder()


@dataclass(frozen=True, kw_only=True, slots=True)
class Assignment:
    """Who owns what.

    :param members: the members.
    :param owners: the owner of each shard.
    """

    members: tuple[Member, ...]
    owners: Names

    def counts(self) -> dict[ServerId, int]:
        """Return how many shards each member owns."""
        names, counts = np.unique(self.owners, return_counts=True)
        found = dict(zip(names.tolist(), counts.tolist(), strict=True))
        return {member.server: found.get(member.server, 0) for member in self.members}


class Policy(ABC):
    """A way to place shards.

    :param name: its name in result rows.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name

    @abstractmethod
    def place(
        self, members: tuple[Member, ...], shards: int, before: Assignment | None
    ) -> Assignment:
        """Return the owners of all shards.

        :param members: the members now, in order of id.
        :param shards: number of shards.
        :param before: the assignment so far, None at first.
        """

    def shipped_bytes(self, *, before: Assignment, after: Assignment) -> int:
        """Return how many bytes one gateway is sent for a change.

        Owners are computed, so only the members that changed are sent.
        """
        change = difference(
            current=Placement(members=before.members),
            token=Token(1),
            target=Placement(members=after.members),
        )
        return len(encode_command(BeginTransition(service=ServiceName("lookup"), change=change)))


class Modulo(Policy):
    """The baseline: the shard's index modulo the number of members, whatever their weights."""

    def place(
        self, members: tuple[Member, ...], shards: int, before: Assignment | None
    ) -> Assignment:
        """Return the owners of all shards."""
        names = np.array([member.server for member in members])
        return Assignment(members=members, owners=names[np.arange(shards) % len(members)])


class Rendezvous(Policy):
    """Weighted rendezvous hashing.

    :param bounded_load: highest share over the fair share, 0 for no bound.
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
    """A ring with points by weight, on which a shard goes on to the next member with room.

    :param bounded_load: highest share over the fair share.
    """

    def __init__(self, *, name: str, bounded_load: float) -> None:
        super().__init__(name=name)
        self._bounded_load = bounded_load

    def place(
        self, members: tuple[Member, ...], shards: int, before: Assignment | None
    ) -> Assignment:
        """Return the owners of all shards."""
        places, holders = _ring(members)
        room = _limits(members, shards, self._bounded_load)
        starts = np.searchsorted(places, _scatter(shards)) % len(places)
        owners = np.empty(shards, dtype=np.int64)
        for shard, start in enumerate(starts.tolist()):
            position = start
            while not room[holders[position]]:
                position = (position + 1) % len(holders)
            room[holders[position]] -= 1
            owners[shard] = holders[position]
        names = np.array([member.server for member in members])
        return Assignment(members=members, owners=names[owners])


class MinimalTable(Policy):
    """An explicit table from which only the shards move that must.

    Members over their bound give up shards, and members that are as far below their fair share
    get some from the others.

    :param bounded_load: highest share over the fair share.
    """

    def __init__(self, *, name: str, bounded_load: float) -> None:
        super().__init__(name=name)
        self._bounded_load = bounded_load

    def place(
        self, members: tuple[Member, ...], shards: int, before: Assignment | None
    ) -> Assignment:
        """Return the owners of all shards."""
        nobody = ServerId("")
        owners = [nobody] * shards if before is None else list(map(ServerId, before.owners))
        limits = dict(
            zip(
                [member.server for member in members],
                _limits(members, shards, self._bounded_load),
                strict=True,
            )
        )
        held: dict[ServerId, int] = dict.fromkeys(limits, 0)
        homeless: list[int] = []
        for shard, owner in enumerate(owners):
            if owner in limits and held[owner] < limits[owner]:
                held[owner] += 1
            else:
                homeless.append(shard)
        self._level(owners, members, held)
        self._fill(owners, homeless, members, held)
        return Assignment(members=members, owners=np.array(owners))

    def _level(
        self, owners: list[ServerId], members: tuple[Member, ...], held: dict[ServerId, int]
    ) -> None:
        """Give members far below their fair share shards of the members with the most."""
        least = dict(zip(held, _limits(members, len(owners), 1 / self._bounded_load), strict=True))
        weights = {member.server: member.weight for member in members}
        total = sum(weights.values())
        spare = [
            (shard, owner)
            for shard, owner in enumerate(owners)
            if owner in held and held[owner] > len(owners) * weights[owner] / total
        ]
        for server in held:
            while held[server] < least[server] and spare:
                shard, owner = spare.pop()
                if held[owner] > len(owners) * weights[owner] / total and owners[shard] == owner:
                    owners[shard] = server
                    held[owner] -= 1
                    held[server] += 1

    def _fill(
        self,
        owners: list[ServerId],
        homeless: list[int],
        members: tuple[Member, ...],
        held: dict[ServerId, int],
    ) -> None:
        weights = np.array([member.weight for member in members])
        counts = np.array([held[member.server] for member in members], dtype=float)
        for shard in homeless:
            position = int(np.argmin((counts + 1) / weights))
            counts[position] += 1
            owners[shard] = members[position].server

    def shipped_bytes(self, *, before: Assignment, after: Assignment) -> int:
        """Return how many bytes one gateway is sent: shard and owner of each that moves."""
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
    return np.array([at for at, _ in points], dtype=np.uint64), [holder for _, holder in points]


def _scatter(shards: int) -> npt.NDArray[np.uint64]:
    mixed = all_shards(shards) * np.uint64(0x9E3779B97F4A7C15)
    mixed ^= mixed >> np.uint64(29)
    return mixed * np.uint64(0xBF58476D1CE4E5B9)


def policies(bounded_load: float) -> tuple[Policy, ...]:
    """Return all ways to compare.

    :param bounded_load: highest share over the fair share, where a way has such a bound.
    """
    return (
        Modulo(name="modulo"),
        Rendezvous(name="rendezvous"),
        Rendezvous(name="bounded rendezvous", bounded_load=bounded_load),
        BoundedRing(name="bounded ring", bounded_load=bounded_load),
        MinimalTable(name="minimal table", bounded_load=bounded_load),
    )
