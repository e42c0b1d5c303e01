"""When second copies of requests are sent, and how many, on seeded loads in simulated time."""

from dataclasses import replace
from itertools import pairwise

import pytest

from lychee_policy import CopyRequest, RouteCopies, Suppression
from lychee_policy import hedging as policy
from lychee_policy.hedging import BURST, RecentTimes, find_obstacle
from lychee_policy.hedging_testing import CopyLoad, CopySimulation

SECONDS = 60
SLOW_FROM_S = 30.0
SLOW_S = 1.0

GOOD = CopyRequest(
    is_idempotent=True,
    is_keyed=False,
    is_whole=True,
    is_suspected=False,
    is_stopping=False,
    attempts=1,
    max_attempts=2,
    is_answer_begun=False,
    left_s=1.0,
)


def fast_s(rng):
    return 0.03 + rng.expovariate(50)


def slow_share(share):
    return lambda rng, now: SLOW_S if rng.random() < share else fast_s(rng)


def all_slow(rng, now):
    return fast_s(rng) * (8 if now >= SLOW_FROM_S else 1)


def bimodal(rng, now):
    return (0.4 if rng.random() < 0.5 else 0.04) * rng.lognormvariate(0, 0.2)


def run(load):
    """Return the counts of a load without copies and with them."""
    plain = CopySimulation(replace(load, max_share=0.0)).run(SECONDS)
    return plain, CopySimulation(load).run(SECONDS)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({}, None),
        ({"is_idempotent": False}, Suppression.NOT_REPEATABLE),
        ({"is_keyed": True}, Suppression.KEYED),
        ({"is_whole": False}, Suppression.BODY_INCOMPLETE),
        ({"is_suspected": True}, Suppression.SUSPECTED),
        ({"is_stopping": True}, Suppression.STOPPING),
        ({"attempts": 2}, Suppression.NO_ATTEMPT_LEFT),
        ({"attempts": 2, "max_attempts": 3}, None),
        ({"max_attempts": 1}, Suppression.NO_ATTEMPT_LEFT),
        ({"is_answer_begun": True}, Suppression.ANSWER_BEGUN),
        ({"left_s": 0.04}, Suppression.NO_TIME),
        ({"left_s": 0.05}, None),
    ],
)
def test_a_request_gets_no_copy_for_each_of_these_reasons(change, reason):
    assert find_obstacle(replace(GOOD, **change), needed_s=0.05) is reason


@pytest.mark.parametrize("seed", range(3))
def test_one_slow_request_in_a_hundred_is_answered_by_its_copy(seed):
    plain, hedged = run(CopyLoad(work_s=slow_share(0.01), seed=seed))
    assert plain.percentile_s(99.5) == pytest.approx(SLOW_S)
    assert hedged.percentile_s(99) < 0.2
    assert hedged.percentile_s(99.9) < 0.4
    assert len(hedged.copies_at) < 0.07 * len(hedged.times_s)
    assert hedged.work_s < plain.work_s


@pytest.mark.parametrize("seed", range(3))
def test_one_slow_request_in_five_needs_a_percentile_below_the_slow_ones(seed):
    load = CopyLoad(work_s=slow_share(0.2), percentile=75, max_share=0.3, seed=seed)
    plain, hedged = run(load)
    assert plain.percentile_s(90) == pytest.approx(SLOW_S)
    assert hedged.percentile_s(90) < 0.3
    # Both copies are slow for one in 25.
    assert hedged.percentile_s(99) == pytest.approx(plain.percentile_s(99))
    assert hedged.work_s < plain.work_s
    _, too_high = run(replace(load, percentile=95))
    assert len(too_high.copies_at) < 0.01 * len(too_high.times_s)


@pytest.mark.parametrize("seed", range(3))
def test_copies_stop_at_once_when_all_requests_become_slow(seed):
    plain, hedged = run(CopyLoad(work_s=all_slow, seed=seed))
    after = [at for at in hedged.copies_at if SLOW_FROM_S <= at < SLOW_FROM_S + 5]
    assert len(after) <= BURST + 2
    assert Suppression.MANY_SLOW in hedged.suppressed
    assert hedged.work_s < 1.03 * plain.work_s


def test_copies_that_go_on_while_all_are_slow_would_be_found(monkeypatch):
    monkeypatch.setattr(policy, "DUE_SLACK", float("inf"))
    with pytest.raises(AssertionError):
        test_copies_stop_at_once_when_all_requests_become_slow(1)


@pytest.mark.parametrize("seed", range(3))
def test_two_kinds_of_requests_get_no_more_copies_than_the_slowest_of_them(seed):
    plain, hedged = run(CopyLoad(work_s=bimodal, seed=seed))
    assert len(hedged.copies_at) < 0.07 * len(hedged.times_s)
    assert hedged.work_s < 1.03 * plain.work_s
    assert hedged.percentile_s(99) <= plain.percentile_s(99)
    assert hedged.percentile_s(99.9) <= 1.05 * plain.percentile_s(99.9)


@pytest.mark.parametrize("seed", range(3))
def test_a_burst_beyond_the_servers_capacity_gets_no_more_load_by_copies(seed):
    load = CopyLoad(
        work_s=slow_share(0.01),
        per_s=lambda now: 600.0 if SLOW_FROM_S <= now < SLOW_FROM_S + 5 else 60.0,
        slots=20,
        seed=seed,
    )
    plain, hedged = run(load)
    assert sum(SLOW_FROM_S + 0.5 <= at < SLOW_FROM_S + 5 for at in hedged.copies_at) <= 5
    assert hedged.percentile_s(99) <= 1.05 * plain.percentile_s(99)
    assert hedged.percentile_s(99.9) <= 1.05 * plain.percentile_s(99.9)
    assert hedged.work_s <= 1.02 * plain.work_s


@pytest.mark.parametrize("max_share", [0.01, 0.05, 0.3])
def test_copies_never_exceed_their_share_of_the_requests_and_a_small_burst(max_share):
    load = CopyLoad(work_s=slow_share(0.2), percentile=60, max_share=max_share)
    counts = CopySimulation(load).run(SECONDS)
    assert len(counts.copies_at) <= max_share * len(counts.times_s) + BURST
    # A window has its own share, saved copies, and more requests than usual by chance.
    for begin, end in pairwise(range(0, SECONDS, 5)):
        in_window = sum(begin <= at < end for at in counts.copies_at)
        assert in_window <= max_share * 1.2 * 100 * 5 + BURST + 1


def test_nothing_is_due_before_enough_times_are_known_and_after_they_are_too_old():
    times = RecentTimes(percentile=95, now=0.0)
    for _ in range(39):
        times.record(0.1, 1.0)
    assert times.high_s(1.0) is None
    times.record(0.1, 1.3)
    assert times.high_s(1.3) == pytest.approx(0.1, rel=0.02)
    assert times.high_s(6.0) == pytest.approx(0.1, rel=0.02)
    assert times.high_s(17.0) is None


@pytest.mark.parametrize("per_s", [2, 4, 8])
def test_the_percentile_stays_known_where_a_gateway_gets_few_requests(per_s):
    # No copy was sent on a deployment of 62 gateways, as ten seconds held too few times.
    times = RecentTimes(percentile=95, now=0.0)
    unknown = 0
    for step in range(90 * per_s):
        now = step / per_s
        times.record(0.1, now)
        unknown += now > 21 and times.high_s(now) is None
    assert unknown == 0


def test_the_percentile_follows_a_change_within_ten_seconds():
    times = RecentTimes(percentile=95, now=0.0)
    for step in range(2_000):
        now = step / 100
        times.record(0.05 if now < 10 else 0.5, now)
    assert times.high_s(10.5) is not None
    assert times.high_s(20.0) == pytest.approx(0.5, rel=0.02)
    assert times.median_s(20.0) == pytest.approx(0.5, rel=0.02)


def test_times_outside_the_histograms_range_are_recorded_as_its_ends():
    times = RecentTimes(percentile=50, now=0.0)
    for seconds in (0.0, 1e9):
        for _ in range(20):
            times.record(seconds, 0.0)
    assert times.high_s(0.0) == pytest.approx(0.0001)


def test_a_new_route_has_no_copy_to_spend():
    copies = RouteCopies(max_share=0.1, percentile=95, now=0.0)
    copies.count_request(0.0)
    assert copies.find_suppression(GOOD, 0.0) is Suppression.SHARE_SPENT
    for _ in range(10):
        copies.count_request(0.0)
    assert copies.find_suppression(GOOD, 0.0) is None
    copies.spend()
    assert copies.find_suppression(GOOD, 0.0) is Suppression.SHARE_SPENT
