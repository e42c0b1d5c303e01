"""Weighted rendezvous hashing with bounded load.

The owners depend on the members alone, not on earlier placements. Each shard has a score for each
member: the member's pseudorandom draw for that shard, divided by the member's weight. A shard
prefers members with lower scores. A member keeps the shards with its lowest scores up to its
limit; the others go on to the next member that they prefer. The result is the shard-optimal stable
matching, which is unique.
"""

from dataclasses import dataclass
from math import ceil

import numpy as np
import numpy.typing as npt

from lychee_owner.hashing import CACHED_SHARDS, Floats, Shards, all_draws, all_shards, draws
from lychee_types.records import Member

Owners = npt.NDArray[np.int32]
"""For each shard, the index of its owner among the members."""

FULL_RANK_SHARE = 0.5
"""Fraction of changed members above which the whole ranking is recomputed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Ranking:
    """The member that each shard prefers.

    :param members: the members in order of id.
    :param preferred: index of the preferred member of each shard.
    :param scores: score of that member; lower is better.
    """

    members: tuple[Member, ...]
    preferred: Owners
    scores: Floats

    @property
    def shards(self) -> int:
        """Number of shards."""
        return len(self.preferred)


def rank(members: tuple[Member, ...], shards: int) -> Ranking:
    """Return the preferred member of each shard.

    :param members: the members; must not be empty.
    :param shards: number of shards.
    """
    preferred = np.zeros(shards, dtype=np.int32)
    scores = np.full(shards, np.inf)
    for position, member in enumerate(members):
        _prefer(preferred, scores, position, _member_scores(member, shards))
    return Ranking(members=members, preferred=preferred, scores=scores)


def rerank(ranking: Ranking, members: tuple[Member, ...]) -> Ranking:
    """Return the ranking for changed members, computed incrementally.

    :param ranking: the ranking of the previous members.
    :param members: the current members; must not be empty.
    """
    before = {member.server: member.weight for member in ranking.members}
    changed = [i for i, m in enumerate(members) if before.get(m.server) != m.weight]
    removed_count = len(before) - (len(members) - len(changed))
    if max(len(changed), removed_count) > FULL_RANK_SHARE * len(members):
        return rank(members, ranking.shards)
    kept = {m.server: i for i, m in enumerate(members) if before.get(m.server) == m.weight}
    mapping = np.array([kept.get(m.server, -1) for m in ranking.members], dtype=np.int32)
    preferred = mapping[ranking.preferred]
    scores = ranking.scores.copy()
    unranked = np.flatnonzero(preferred < 0)
    scores[unranked] = np.inf
    if len(unranked):
        table = score_table(members, unranked.astype(np.uint64))
        preferred[unranked] = np.argmin(table, axis=0)
        scores[unranked] = np.min(table, axis=0)
    for position in changed:
        _prefer(preferred, scores, position, _member_scores(members[position], ranking.shards))
    return Ranking(members=members, preferred=preferred, scores=scores)


def _prefer(preferred: Owners, scores: Floats, position: int, candidate: Floats) -> None:
    """Make a member the preferred one where its score is lower; ties go to the lower index."""
    better = (candidate < scores) | ((candidate == scores) & (position < preferred))
    preferred[better] = position
    scores[better] = candidate[better]


def _member_scores(member: Member, shards: int) -> Floats:
    if shards <= CACHED_SHARDS:
        return all_draws(member.server, shards) / member.weight
    return draws(member.server, all_shards(shards)) / member.weight


def score_table(members: tuple[Member, ...], shards: Shards) -> Floats:
    """Return the score of each member (rows) for some shards (columns)."""
    return np.stack([draws(member.server, shards) / member.weight for member in members])


def shard_limits(members: tuple[Member, ...], shards: int, bounded_load: float) -> Owners:
    """Return the maximum number of shards that each member may own.

    :param members: the members; must not be empty.
    :param shards: number of shards.
    :param bounded_load: limit as a multiple of the fair share by weight, at least 1.
    """
    total = sum(member.weight for member in members)
    fair = [shards * member.weight / total for member in members]
    return np.array([ceil(max(bounded_load, 1.0) * share) for share in fair], dtype=np.int32)


def apply_shard_limits(ranking: Ranking, bounded_load: float) -> Owners:
    """Return the owner of each shard such that no member exceeds its limit.

    :param ranking: the preferred members.
    :param bounded_load: limit as a multiple of the fair share by weight; 0 for no limit.
    """
    if not bounded_load or len(ranking.members) < 2:
        return ranking.preferred
    limits = shard_limits(ranking.members, ranking.shards, bounded_load)
    matching = _Matching(ranking=ranking)
    while len(rejected := matching.rejections(limits)):
        matching.propose_next(rejected)
    return matching.owners


class _Matching:
    """Deferred acceptance (Gale-Shapley): shards propose to members in order of preference."""

    def __init__(self, *, ranking: Ranking) -> None:
        self._members = ranking.members
        self.owners = ranking.preferred.copy()
        self._scores = ranking.scores.copy()
        self._rows = np.full(ranking.shards, -1, dtype=np.int64)
        self._positions = np.zeros(ranking.shards, dtype=np.int64)
        self._orders = np.empty((0, len(ranking.members)), dtype=np.int64)
        self._tables = np.empty((0, len(ranking.members)))

    def rejections(self, limits: Owners) -> npt.NDArray[np.int64]:
        """Return the shards that members over their limit reject."""
        counts = np.bincount(self.owners, minlength=len(limits))
        rejected = [self._surplus(int(i), int(limits[i])) for i in np.flatnonzero(counts > limits)]
        return np.concatenate(rejected) if rejected else np.empty(0, dtype=np.int64)

    def _surplus(self, member: int, limit: int) -> npt.NDArray[np.int64]:
        owned = np.flatnonzero(self.owners == member)
        order = np.lexsort((owned, self._scores[owned]))
        return owned[order[limit:]]

    def propose_next(self, rejected: npt.NDArray[np.int64]) -> None:
        """Make each rejected shard propose to the next member that it prefers."""
        self._load_rows(rejected[self._rows[rejected] < 0])
        self._positions[rejected] += 1
        rows = self._rows[rejected]
        members = self._orders[rows, self._positions[rejected]]
        self.owners[rejected] = members
        self._scores[rejected] = self._tables[rows, members]

    def _load_rows(self, shards: npt.NDArray[np.int64]) -> None:
        if not len(shards):
            return
        table = score_table(self._members, shards.astype(np.uint64)).T
        start = len(self._tables)
        self._rows[shards] = np.arange(start, start + len(shards))
        self._tables = np.concatenate([self._tables, table])
        order = np.argsort(table, axis=1, kind="stable")
        self._orders = np.concatenate([self._orders, order])


def rendezvous(members: tuple[Member, ...], shards: int, *, bounded_load: float = 0.0) -> Owners:
    """Return the owner of each shard.

    :param members: the members in order of id; must not be empty.
    :param shards: number of shards, a power of two.
    :param bounded_load: limit as a multiple of the fair share by weight; 0 for no limit.
    """
    return apply_shard_limits(rank(members, shards), bounded_load)
