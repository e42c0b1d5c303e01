"""Tests of the computed placement."""

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from lychee_owner.hashing import negative_log
from lychee_owner.placement import OwnerTable
from lychee_owner.planner import apply_change, difference
from lychee_owner.rendezvous import rank, rendezvous, rerank, shard_limits
from lychee_types.records import KeyOwner, Member, Placement

SHARDS = 128

MEMBERS = st.dictionaries(
    st.sampled_from([f"r{i}" for i in range(12)]), st.integers(1, 8), min_size=1
).map(lambda weights: tuple(Member(server=s, weight=float(w)) for s, w in sorted(weights.items())))


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(before=MEMBERS, after=MEMBERS)
def test_an_incremental_ranking_equals_a_full_one(before, after) -> None:
    incremental, fresh = rerank(rank(before, SHARDS), after), rank(after, SHARDS)
    assert np.array_equal(incremental.preferred, fresh.preferred)
    assert np.array_equal(incremental.scores, fresh.scores)


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(members=MEMBERS, load=st.sampled_from([1.0, 1.05, 1.3]))
def test_no_member_exceeds_its_limit_and_only_full_members_reject_shards(members, load) -> None:
    owners = rendezvous(members, SHARDS, bounded_load=load)
    counts = np.bincount(owners, minlength=len(members))
    limits = shard_limits(members, SHARDS, load)
    assert (counts <= limits).all()
    wanted = rendezvous(members, SHARDS)
    rejected = wanted[owners != wanted]
    assert (counts[rejected] == limits[rejected]).all()


def test_the_owners_are_the_same_on_every_vm() -> None:
    members = tuple(Member(server=f"r{i}", weight=float(i % 4 + 1)) for i in range(5))
    owners = rendezvous(members, 16, bounded_load=1.1)
    assert owners.tolist() == [2, 2, 2, 3, 1, 4, 0, 3, 3, 3, 3, 1, 3, 1, 3, 0]


def test_the_logarithm_is_accurate() -> None:
    values = np.random.default_rng(1).random(10_000) + 2.0**-60
    assert np.allclose(negative_log(values), -np.log(values), rtol=1e-13, atol=1e-15)


def test_owners_of_individual_keys_and_of_split_shards() -> None:
    member = Member(server="r1", weight=1.0)
    with_individual_key = Placement(
        members=(member,), keys=(KeyOwner(key=7, server="r2"),), shards=4
    )
    table = OwnerTable(placement=with_individual_key, shards=4)
    assert table.owner(7) == "r2" and table.owner(3) == "r1"
    assert table.tiled_owners(8).tolist() == ["r1"] * 8


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(before=MEMBERS, after=MEMBERS)
def test_applying_a_placement_change_gives_the_target(before, after) -> None:
    current = Placement(members=before, shards=8)
    keys = (KeyOwner(key=7, server=after[0].server),)
    target = Placement(members=after, keys=keys, shards=16, bounded_load=1.1)
    change = difference(current=current, token=3, target=target)
    assert apply_change(current=current, change=change) == target
