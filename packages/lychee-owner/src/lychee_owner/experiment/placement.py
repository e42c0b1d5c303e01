"""Comparison of placement policies by imbalance, churn and bytes sent to gateways."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from time import perf_counter

import numpy as np

from lychee_owner.experiment.policies import Assignment, Policy, policies
from lychee_types.ids import ServerId
from lychee_types.records import Member

DOMAINS = 3
SPEEDS = (1.0, 2.0, 3.0, 4.0)


@dataclass(frozen=True, kw_only=True, slots=True)
class DeploymentSize:
    """The size of a deployment.

    :param name: its name in result rows.
    :param servers: number of backend servers, with speeds from 1 to 4 in three failure domains.
    :param shards: number of shards.
    :param bounded_load: limit of a server as a multiple of its fair share.
    """

    name: str
    servers: int
    shards: int
    bounded_load: float


SIZES = (
    DeploymentSize(name="skaft", servers=17, shards=1_024, bounded_load=1.1),
    DeploymentSize(name="kemer", servers=17, shards=4_096, bounded_load=1.05),
    DeploymentSize(name="two-years-400", servers=400, shards=65_536, bounded_load=1.1),
    DeploymentSize(name="two-years-1000", servers=1_000, shards=65_536, bounded_load=1.1),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRow:
    """Result of one placement policy for one event.

    :param size: name of the deployment size.
    :param policy: name of the placement policy.
    :param event: name of the event.
    :param imbalance: maximum over mean of the servers' shards per speed.
    :param moved: number of shards that changed their owner.
    :param min_moves: the fewest shards that any policy has to move.
    :param shipped_bytes: number of bytes sent to each gateway.
    :param compute_ms: time to compute the new owners, in milliseconds.
    """

    size: str
    policy: str
    event: str
    imbalance: float
    moved: int
    min_moves: int
    shipped_bytes: int
    compute_ms: float

    @property
    def churn(self) -> float:
        """Moved shards relative to the fewest possible."""
        return self.moved / self.min_moves if self.min_moves else 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """A change of the members.

    :param name: its name in result rows.
    :param members: the members afterwards.
    """

    name: str
    members: tuple[Member, ...]


def compare_placements(
    sizes: Sequence[DeploymentSize] = SIZES, *, repeats: int = 5
) -> tuple[PlacementRow, ...]:
    """Return a row for each size, policy and event.

    :param sizes: the deployment sizes.
    :param repeats: number of servers on which an event of a single server is tried; the rows
        contain the means.
    """
    return tuple(
        row
        for size in sizes
        for policy in policies(size.bounded_load)
        for row in _rows(size=size, policy=policy, repeats=repeats)
    )


def members_of(size: DeploymentSize) -> tuple[Member, ...]:
    """Return the members of a deployment."""
    return tuple(
        Member(server=ServerId(f"s{position:04d}"), weight=SPEEDS[position % len(SPEEDS)])
        for position in range(size.servers)
    )


def _rows(*, size: DeploymentSize, policy: Policy, repeats: int) -> Iterable[PlacementRow]:
    members = members_of(size)
    before = policy.place(members, size.shards, None)
    names = ("loss", "leave", "join", "speed halved", "domain lost", "domain back")
    for name in names:
        positions = range(0, repeats) if name not in {"domain lost", "domain back"} else range(1)
        rows = [
            _row(
                size=size,
                policy=policy,
                name=name,
                before=before,
                position=3 * position + position % 3,
            )
            for position in positions
        ]
        yield _mean(rows)


def _row(
    *, size: DeploymentSize, policy: Policy, name: str, before: Assignment, position: int
) -> PlacementRow:
    members = _members_after(name=name, members=before.members, position=position)
    if name == "domain back":
        lost = _members_after(name="domain lost", members=before.members, position=position)
        before = policy.place(lost, size.shards, before)
    started = perf_counter()
    after = policy.place(members, size.shards, before)
    compute_ms = (perf_counter() - started) * 1_000
    return PlacementRow(
        size=size.name,
        policy=policy.name,
        event=name,
        imbalance=imbalance(after),
        moved=int((before.owners != after.owners).sum()),
        min_moves=minimum_moves(before=before, after=after),
        shipped_bytes=policy.shipped_bytes(before=before, after=after),
        compute_ms=compute_ms,
    )


def _members_after(*, name: str, members: tuple[Member, ...], position: int) -> tuple[Member, ...]:
    match name:
        case "loss" | "leave":
            return members[:position] + members[position + 1 :]
        case "join":
            joining = Member(server=ServerId(f"t{position:04d}"), weight=SPEEDS[position % 4])
            return (*members, joining)
        case "speed halved":
            slow_member = members[position]
            half = Member(server=slow_member.server, weight=slow_member.weight / 2)
            return (*members[:position], half, *members[position + 1 :])
        case "domain lost":
            return tuple(m for i, m in enumerate(members) if i % DOMAINS)
        case _:
            return members


def _mean(rows: Sequence[PlacementRow]) -> PlacementRow:
    first = rows[0]
    return PlacementRow(
        size=first.size,
        policy=first.policy,
        event=first.event,
        imbalance=float(np.mean([row.imbalance for row in rows])),
        moved=round(float(np.mean([row.moved for row in rows]))),
        min_moves=round(float(np.mean([row.min_moves for row in rows]))),
        shipped_bytes=round(float(np.mean([row.shipped_bytes for row in rows]))),
        compute_ms=float(np.mean([row.compute_ms for row in rows])),
    )


def imbalance(assignment: Assignment) -> float:
    """Return the maximum over the mean of the members' shards per weight."""
    counts = assignment.counts()
    total = sum(member.weight for member in assignment.members)
    fair = len(assignment.owners) / total
    return max(counts[member.server] / member.weight for member in assignment.members) / fair


def minimum_moves(*, before: Assignment, after: Assignment) -> int:
    """Return how many shards must move: those of removed members or the gains, if larger."""
    counts = before.counts()
    weights_after = {member.server: member.weight for member in after.members}
    weights_before = {member.server: member.weight for member in before.members}
    gone = sum(count for server, count in counts.items() if server not in weights_after)
    gained = _fair_gain(
        weights_after=weights_after, weights_before=weights_before, shards=len(after.owners)
    )
    return max(gone, gained)


def _fair_gain(
    *, weights_after: dict[ServerId, float], weights_before: dict[ServerId, float], shards: int
) -> int:
    total, before = sum(weights_after.values()), sum(weights_before.values())
    gains = [
        shards * (w / total - weights_before.get(server, 0.0) / before)
        for server, w in weights_after.items()
    ]
    return int(sum(gain for gain in gains if gain > 0))
