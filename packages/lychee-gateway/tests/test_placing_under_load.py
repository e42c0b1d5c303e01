"""Simulate heavy load on the gateways, and check the outcomes for callers.

The limits follow from the capacity of the servers: speed times slots divided by the service time.
"""

from collections import Counter

import pytest

from lychee_gateway.proxy.testing import Backend, Load, LoadSimulation

SPEEDS = (0.6, 1.0, 1.4)


def backends(count, *, speeds=SPEEDS, **changes):
    return [Backend(speed=speeds[number % len(speeds)], **changes) for number in range(count)]


def capacity_per_s(servers, load):
    """Return the capacity of all servers together, in requests per second."""
    return sum(server.slots * server.speed for server in servers) / load.service_time_s


def outcome_shares(servers, load, *, seconds=8.0, seed=1):
    counts = LoadSimulation(backends=servers, load=load, seed=seed).run(seconds)
    total = sum(counts[name] for name in ("in_time", "late", "refused", "gone"))
    return Counter({name: counts[name] / total for name in counts})


ORDERS = Load(per_s=172.0, service_time_s=0.12, spread=0.8, target_s=0.4, timeout_s=1.0)
"""Service times with a wide spread, at about the capacity of five of eight servers."""


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_most_of_the_capacity_is_answered_in_time_under_overload(seed):
    servers = backends(5)
    servable_share = capacity_per_s(servers, ORDERS) / ORDERS.per_s
    assert servable_share < 0.95
    outcomes = outcome_shares(servers, ORDERS, seed=seed)
    assert outcomes["in_time"] > 0.7 * servable_share
    assert outcomes["gone"] < 0.03


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_servers_are_busy_without_full_queues_at_1_7_times_the_load(seed):
    load = Load(per_s=172.0 * 1.7, service_time_s=0.12, spread=0.8, target_s=0.4, timeout_s=1.0)
    servers = backends(8)
    servable_share = capacity_per_s(servers, load) / load.per_s
    outcomes = outcome_shares(servers, load, seed=seed)
    assert outcomes["in_time"] + outcomes["late"] > 0.9 * min(1.0, servable_share)
    assert outcomes["in_time"] > 0.7 * min(1.0, servable_share)
    assert outcomes["turned away"] < 0.01


def test_no_request_is_refused_with_enough_capacity():
    outcomes = outcome_shares(backends(8), ORDERS)
    assert outcomes["refused"] == 0
    assert outcomes["in_time"] > 0.94


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_requests_for_a_hot_key_are_answered_in_time_up_to_the_capacity_of_its_owner(seed):
    """The owner gets more than twice the load that it can serve; the other servers have room."""
    load = Load(per_s=490.0, hot_share=0.35)
    servers = backends(17, speeds=(0.7, 1.7, 0.7))
    owner_per_s = servers[0].slots * servers[0].speed / load.service_time_s
    assert load.per_s * load.hot_share > 2 * owner_per_s
    outcomes = outcome_shares(servers, load, seed=seed)
    servable_share = 1 - load.hot_share + owner_per_s / load.per_s
    assert outcomes["in_time"] > 0.87 * servable_share
    assert outcomes["late"] < 0.06


def test_servers_with_short_queues_reject_few_requests():
    load = Load(per_s=440.0, service_time_s=0.06, spread=0.8, target_s=0.2, hot_share=0.35)
    outcomes = outcome_shares(backends(17, speeds=(0.6, 1.0, 1.6), slots=3, queue=12), load)
    assert outcomes["turned away"] < 0.005
