"""Tests of the load-balancing policies."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lychee_policy import (
    Candidate,
    DeadlineQueue,
    Ejected,
    HotKeyCounter,
    InUse,
    LeastConnections,
    OutlierDetector,
    PowerOfTwo,
    Probing,
    ResponseTime,
    RetryBudget,
    RoundRobin,
    can_meet_deadline,
    choose,
    expected_response_s,
    is_slow,
    is_stuck,
    limits_for,
    typical_response_s,
    warm_up_share,
)
from lychee_types.records import Endpoint, ServerRecord

repeatable = settings(derandomize=True, deadline=None, database=None)


def record(**changes):
    values = dict(
        id="s",
        incarnation=1,
        endpoint=Endpoint(host="127.0.0.1", port=1),
        domain="nord",
        service="x",
        slots=3,
        connections=120,
    )
    return ServerRecord(**{**values, **changes})


@pytest.mark.parametrize(
    ("slots", "connections", "gateways", "in_flight", "share"),
    [
        (3, 120, 1, 3, 120),
        (3, 120, 10, 1, 12),
        (4, 50, 2, 2, 25),
        (8, 2, 1, 2, 2),
        (3, 5, 10, 1, 1),
    ],
)
def test_limits_are_shares_and_at_least_one(slots, connections, gateways, in_flight, share):
    limits = limits_for(record(slots=slots, connections=connections), gateways=gateways)
    assert (limits.in_flight, limits.connections) == (in_flight, share)


def request_shares(rule, speeds, requests=4_000, slots=8):
    """Return the share of requests that each server gets in a closed-loop simulation."""
    rng, in_flight, counts, completions = Random(1), [0] * len(speeds), [0] * len(speeds), []
    now = 0.0
    for number in range(requests):
        now += 0.5
        for entry in [e for e in completions if e[0] <= now]:
            completions.remove(entry)
            in_flight[entry[1]] -= 1
        candidates = [
            Candidate(server=str(n), in_flight=in_flight[n], response_s=1 / speed)
            for n, speed in enumerate(speeds)
            if in_flight[n] < slots
        ]
        if not candidates:
            continue
        n = int(choose(rule, candidates, rng=rng, choices_made=number).server)
        in_flight[n] += 1
        counts[n] += 1
        completions.append((now + in_flight[n] / speeds[n], n))
    return [count / sum(counts) for count in counts]


def test_power_of_two_follows_speed_and_the_baselines_do_not():
    speeds = (4.0, 1.0, 1.0, 1.0)
    fast = {rule: request_shares(rule, speeds)[0] for rule in (PowerOfTwo(), RoundRobin())}
    assert fast[RoundRobin()] == pytest.approx(0.25, abs=0.01)
    assert fast[PowerOfTwo()] > 0.45
    assert 0.2 < request_shares(LeastConnections(), (1.0, 1.0, 1.0, 1.0))[0] < 0.3


def test_a_retry_budget_is_a_share_of_recent_requests():
    budget = RetryBudget(share=0.1)
    for n in range(100):
        budget.count_request(50.0 + n / 100)
    assert sum(budget.try_spend(51.0) for _ in range(50)) == 10
    assert not budget.try_spend(60.9)
    assert sum(budget.try_spend(75.0) for _ in range(50)) == 3


@repeatable
@given(st.lists(st.tuples(st.integers(0, 9), st.booleans()), max_size=60))
def test_a_queue_gives_the_earliest_deadline_first(steps):
    queue, model = DeadlineQueue(), []
    for n, (deadline, take) in enumerate(steps):
        if take and model:
            head = queue.head()
            assert (head.deadline, head.item) == min(model)
            queue.remove(head)
            queue.remove(head)
            model.remove(min(model))
        else:
            queue.push(n, deadline=deadline)
            model.append((deadline, n))
        assert len(queue) == len(model)
        assert [(w.deadline, w.item) for w in queue.waiting()] == sorted(model)


def test_a_request_that_cannot_meet_its_deadline_is_recognized():
    common = dict(now=0.0, parallel=2, service_s=0.1)
    assert can_meet_deadline(deadline=0.3, ahead=2, **common)
    assert not can_meet_deadline(deadline=0.3, ahead=4, **common)


def make_detector(count=4):
    detector = OutlierDetector()
    detector.set_servers({f"s{n}" for n in range(count)})
    return detector


def test_a_failing_server_is_ejected_for_longer_each_time_and_probed():
    detector, now, pauses = make_detector(), 100.0, []
    for _ in range(5):
        while not detector.record_failure("s0", now):
            pass
        pauses.append(detector.ejection_state("s0", now).until - now)
        now += pauses[-1]
        assert detector.ejection_state("s0", now) == Probing()
    assert pauses == [1, 2, 4, 8, 16]
    for successes in range(3):
        assert detector.ejection_state("s0", now) == Probing(successes=successes)
        detector.record_success("s0", now)
    assert detector.ejection_state("s0", now) == InUse()


def test_at_most_half_of_the_servers_are_ejected():
    detector = make_detector(5)
    for server in ("s0", "s1", "s2", "s3", "s4"):
        for _ in range(20):
            detector.record_failure(server, 10.0)
    ejected = [s for s in range(5) if isinstance(detector.ejection_state(f"s{s}", 10.0), Ejected)]
    assert ejected == [0, 1]


def test_a_server_that_fails_every_other_request_is_ejected():
    detector = make_detector()
    for _ in range(10):
        detector.record_success("s1", 1.0)
        detector.record_failure("s1", 1.0)
    assert isinstance(detector.ejection_state("s1", 1.0), Ejected)


def test_a_server_ten_times_slower_than_the_others_is_ejected():
    slow = is_slow(mean_s=0.5, response_count=8, others_s=[0.05, 0.06, 0.04])
    assert is_stuck(oldest_s=0.3, typical_s=0.05) and not is_stuck(oldest_s=0.2, typical_s=0.05)
    assert not is_stuck(oldest_s=9.0, typical_s=0.0)
    assert slow and not is_slow(mean_s=0.2, response_count=8, others_s=[0.05, 0.06, 0.04])
    detector = make_detector()
    assert detector.record_success("s0", 1.0, slow=slow)
    assert detector.ejection_state("s0", 2.1) == Probing()
    assert detector.record_success("s0", 2.1, slow=True)
    assert detector.ejection_state("s0", 2.1) == Ejected(until=4.1)


def test_a_new_server_is_expected_to_have_its_announced_speed_and_warms_up():
    known, new = ResponseTime(), ResponseTime()
    for _ in range(20):
        known.add(0.1)
    typical = typical_response_s([(known, 2.0), (new, 1.0)])
    assert typical == pytest.approx(0.2)
    assert expected_response_s(
        measured=new, announced_speed=4.0, typical_s=typical
    ) == pytest.approx(0.05)
    assert expected_response_s(
        measured=known, announced_speed=9.0, typical_s=typical
    ) == pytest.approx(0.1)
    assert [warm_up_share(age) for age in (0, 2.5, 5, 99)] == pytest.approx([0.1, 0.55, 1, 1])


def test_hot_keys_are_counted_in_bounded_memory():
    counter = HotKeyCounter(service="x", limit=3, now=0.0)
    for n in range(20_000):
        counter.count(n * 7_919)
        if n % 10 == 0:
            counter.count(42)
        if n % 20 == 0:
            counter.count(43)
    hot = counter.take(10.0)
    assert [key.key for key in hot] == [42, 43]
    assert hot[0].rate == pytest.approx(200, rel=0.2)
    assert counter.take(11.0) == ()
