"""Rate limits that servers name, and the permits by which many gateways keep one limit."""

from random import Random

import pytest

from lychee_policy import (
    LimitObservation,
    PermitIssuer,
    PermitReserve,
    latest_observation,
)
from lychee_policy.testing import WINDOW_S, LimitLoad, LimitSimulation, most_in_a_window


def allowed(limit_per_s):
    """Return how many requests may reach a server in a window, by the users' rule."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def observed(per_s, sent_at, heard_at):
    return LimitObservation(per_s=per_s, sent_at=sent_at, heard_at=heard_at)


@pytest.mark.parametrize(
    ("known", "other", "expected"),
    [
        (None, observed(8.0, 0, 1), observed(8.0, 0, 1)),
        (observed(8.0, 0, 1), observed(16.0, 1, 2), observed(16.0, 1, 2)),
        (observed(8.0, 0, 1), observed(None, 1, 2), observed(None, 1, 2)),
        (observed(16.0, 1, 2), observed(8.0, 0, 1), observed(16.0, 1, 2)),
        (observed(8.0, 0, 2), observed(None, 1, 3), observed(8.0, 0, 2)),
        (observed(None, 0, 2), observed(8.0, 1, 3), observed(8.0, 1, 3)),
        (observed(8.0, 0, 2), observed(8.0, 1, 3), observed(8.0, 1, 3)),
    ],
)
def test_an_answer_ends_a_limit_only_if_it_is_later_for_certain(known, other, expected):
    assert latest_observation(known, other) == expected
    if known is not None:
        assert latest_observation(other, known) == expected


def arrivals_at(count, limit_per_s, *, calls_per_s=None, has_leader=lambda now: True):
    """Simulate gateways that all want more than a limit, and return the arrivals at the server."""
    load = LimitLoad(
        gateways=count,
        active=count,
        limit_per_s=limit_per_s,
        calls_per_s=calls_per_s or 4 * limit_per_s + 40,
        seed=count,
    )
    return LimitSimulation(load, has_leader=has_leader).run(40)


@pytest.mark.parametrize("count", [1, 6, 64])
@pytest.mark.parametrize("limit_per_s", [0.3, 2.0, 9.0, 60.0])
def test_no_more_arrives_than_a_limit_allows_however_many_gateways_there_are(count, limit_per_s):
    arrivals = arrivals_at(count, limit_per_s)
    assert most_in_a_window(arrivals) <= allowed(limit_per_s)


@pytest.mark.parametrize("count", [1, 6, 64])
@pytest.mark.parametrize("limit_per_s", [0.3, 2.0, 9.0, 60.0])
def test_the_limit_holds_while_leaders_come_and_go(count, limit_per_s):
    arrivals = arrivals_at(count, limit_per_s, has_leader=lambda now: now % 5 > 1.3)
    assert most_in_a_window(arrivals) <= allowed(limit_per_s)


@pytest.mark.parametrize("count", [6, 64])
def test_a_limited_server_is_used_for_most_of_its_limit(count):
    arrivals = arrivals_at(count, 9.0, calls_per_s=120)
    assert len(arrivals) >= 0.7 * 9.0 * 40


@pytest.mark.parametrize("count", [1, 6, 64])
def test_reserves_serve_some_requests_without_a_leader(count):
    arrivals = arrivals_at(count, 9.0, calls_per_s=120, has_leader=lambda now: False)
    assert 0.15 * 9.0 * 40 <= len(arrivals) <= 0.5 * 9.0 * 40


def test_reserves_that_were_idle_allow_no_burst():
    rng, arrivals = Random(1), []
    reserves = [PermitReserve(now=0.0, rng=rng) for _ in range(64)]
    for reserve in reserves:
        if reserve.try_take(per_s=9.0, gateways=64, now=600.0):
            arrivals.append(600.0)
    assert len(arrivals) <= 0.5 * 9.0


def test_callers_find_a_permit_when_they_come_back_at_the_given_time():
    issuer = PermitIssuer(per_s=10.0, now=0.0)
    returns_at = [issuer.issue(1, 0.0).retry_after_s for _ in range(5)]
    assert returns_at == sorted(set(returns_at))
    assert [issuer.issue(1, at + 1e-9).count for at in returns_at] == [1] * 5


def test_a_lower_limit_holds_at_once():
    issuer = PermitIssuer(per_s=100.0, now=0.0)
    issuer.set_limit(1.0, 10.0)
    assert issuer.issue(50, 10.0).count <= 2
