"""Shares of overloaded owners, and what gateways admit by them."""

from random import Random

import pytest

from lychee_policy import AnsweredWork, OwnerAdmission, OwnerLoad, OwnerShares, estimated_demand
from lychee_policy.owner_admission import (
    EARLIEST_RETURN_SHARE,
    MAX_FALL,
    MAX_RISE,
    MIN_SHARE,
    SHARE_HOLD_S,
    UTILIZATION,
)
from lychee_types.ids import Incarnation, ServerId
from lychee_types.overload_messages import OwnerShare
from lychee_types.registry import ServerIncarnation

RUN = ServerIncarnation(server=ServerId("a"), incarnation=Incarnation(1))
OTHER = ServerIncarnation(server=ServerId("a"), incarnation=Incarnation(2))


def load(demand_per_s, *, capacity_per_s=10.0, excess=0.0):
    return OwnerLoad(
        run=RUN, demand_per_s=demand_per_s, capacity_per_s=capacity_per_s, excess=excess
    )


def admission(share, *, seed=1, retry_s=2.0):
    found = OwnerAdmission(rng=Random(seed))
    found.record((OwnerShare(run=RUN, share=share, retry_s=retry_s),), 0.0)
    return found


def admitted(decision, priority, *, requests=2_000, now=0.5):
    refusals = [
        decision.refused_for_s(RUN, "s", priority=priority, now=now) for _ in range(requests)
    ]
    return refusals.count(None) / requests


def test_shares_converge_to_the_capacity_under_constant_demand():
    shares, found = OwnerShares(), []
    for _ in range(12):
        found += [owner.share for owner in shares.update((load(30.0),))]
    assert found[-6:] == pytest.approx([UTILIZATION / 3] * 6)


def test_a_share_changes_by_a_bounded_step():
    shares = OwnerShares()
    assert shares.update((load(1_000.0),))[0].share == pytest.approx(MAX_FALL)
    for _ in range(9):
        (low,) = shares.update((load(1_000.0),))
    assert low.share == pytest.approx(UTILIZATION / 100)
    (risen,) = shares.update((load(20.0),))
    assert risen.share == pytest.approx(low.share + MAX_RISE / 2)


def test_an_owner_within_its_capacity_is_not_overloaded_and_others_are_forgotten():
    shares = OwnerShares()
    assert not shares.update((load(5.0), load(0.0)))
    assert shares.update((load(30.0),)) and len(shares) == 1
    assert not shares.update(()) and not len(shares)


def test_a_long_queue_lowers_the_share_and_some_requests_are_always_admitted():
    (calm,), (queued,) = (
        OwnerShares().update((load(20.0, excess=excess),)) for excess in (0.0, 1.0)
    )
    assert queued.share < calm.share
    shares = OwnerShares()
    for _ in range(20):
        (least,) = shares.update((load(1e9),))
    assert least.share == MIN_SHARE


def test_the_demand_follows_the_latest_rate_only_where_chance_does_not_explain_it():
    assert estimated_demand(steady=100.0, latest=101.0, latest_window_s=0.4) == 100.0
    assert estimated_demand(steady=10.0, latest=200.0, latest_window_s=0.4) > 150.0
    assert estimated_demand(steady=200.0, latest=0.0, latest_window_s=0.4) == 0.0


def test_capacity_is_the_work_of_answers_and_no_less_than_what_is_answered():
    known = AnsweredWork(updated_at=0.0)
    assert known.capacity_per_s(slots=2, mean_s=0.1) == pytest.approx(20.0)
    for step in range(60):
        known.add(10, 2.0, 1.0 + step)
    assert known.capacity_per_s(slots=2, mean_s=0.1) == pytest.approx(10.0, rel=0.15)
    known.add(10_000, 2_000.0, 61.0)
    assert known.capacity_per_s(slots=2, mean_s=0.1) > 1_000


def test_occupancy_that_is_not_reported_any_more_is_not_used():
    known = AnsweredWork(updated_at=0.0)
    known.record_occupied(10, 5.0, slots=2)
    assert known.excess(slots=2, now=5.1) > 0
    assert known.excess(slots=2, now=9.0) == 0.0


@pytest.mark.parametrize("share", [0.1, 0.5, 0.9])
def test_a_share_of_the_requests_is_admitted(share):
    assert admitted(admission(share), 1) == pytest.approx(share, abs=0.04)


def test_a_share_expires_and_holds_for_its_incarnation_only():
    decision = admission(0.01)
    assert admitted(decision, 1, now=SHARE_HOLD_S - 0.1) < 0.1
    assert decision.refused_for_s(OTHER, "s", priority=1, now=0.1) is None
    assert admitted(decision, 1, now=SHARE_HOLD_S) == 1.0


def test_urgent_routes_are_admitted_first():
    decision = admission(0.5)
    for number in range(400):
        decision.count("s", 1 if number % 4 == 0 else 5)
    assert admitted(decision, 1) == 1.0
    assert admitted(decision, 5) == pytest.approx(1 / 3, abs=0.07)
    decision.record((OwnerShare(run=RUN, share=0.2, retry_s=2.0),), 0.0)
    assert admitted(decision, 1) == pytest.approx(0.8, abs=0.1)
    assert admitted(decision, 5) == 0.0


def test_returns_of_refused_callers_are_spread():
    decision = admission(0.001, retry_s=4.0)
    returns = [decision.refused_for_s(RUN, "s", priority=1, now=0.1) for _ in range(500)]
    returns = [at for at in returns if at is not None]
    assert 4.0 * EARLIEST_RETURN_SHARE <= min(returns) < 1.8 and 3.8 < max(returns) <= 4.0
