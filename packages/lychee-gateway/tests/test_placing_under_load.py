"""Heavy load against the gateways' decisions: what callers get of it.

The bounds come from what the servers can do: speed times slots, divided by the work.
"""

from collections import Counter

import pytest

from lychee_gateway.proxy.testing import Backend, Load, Play

SPEEDS = (0.6, 1.0, 1.4)


def backends(count, *, speeds=SPEEDS, **changes):
    return [Backend(speed=speeds[number % len(speeds)], **changes) for number in range(count)]


def served_per_s(servers, load):
    """Return the requests that all servers together can work on in a second."""
    return sum(server.slots * server.speed for server in servers) / load.work_s


def shares(servers, load, *, seconds=8.0, seed=1):
    counts = Play(backends=servers, load=load, seed=seed).run(seconds)
    total = sum(counts[name] for name in ("in_time", "late", "refused", "gone"))
    return Counter({name: counts[name] / total for name in counts})


ORDERS = Load(per_s=172.0, work_s=0.12, spread=0.8, target_s=0.4, patience_s=1.0)
"""Uneven work, about as much as five of eight servers can do."""


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_with_more_load_than_a_service_can_do_most_answers_still_come_in_time(seed):
    servers = backends(5)
    possible = served_per_s(servers, ORDERS) / ORDERS.per_s
    assert possible < 0.95
    got = shares(servers, ORDERS, seed=seed)
    assert got["in_time"] > 0.7 * possible
    assert got["gone"] < 0.03


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_with_1_7_times_the_load_servers_are_kept_busy_and_not_overrun(seed):
    load = Load(per_s=172.0 * 1.7, work_s=0.12, spread=0.8, target_s=0.4, patience_s=1.0)
    servers = backends(8)
    possible = served_per_s(servers, load) / load.per_s
    got = shares(servers, load, seed=seed)
    assert got["in_time"] + got["late"] > 0.9 * min(1.0, possible)
    assert got["in_time"] > 0.7 * min(1.0, possible)
    assert got["turned away"] < 0.01


def test_with_room_for_all_nobody_is_refused():
    got = shares(backends(8), ORDERS)
    assert got["refused"] == 0
    assert got["in_time"] > 0.94


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_behind_a_hot_key_what_its_owner_can_do_comes_in_time(seed):
    """The owner is asked for more than twice of what it can do; the other keys have room."""
    load = Load(per_s=490.0, hot_share=0.35)
    servers = backends(17, speeds=(0.7, 1.7, 0.7))
    owner_per_s = servers[0].slots * servers[0].speed / load.work_s
    assert load.per_s * load.hot_share > 2 * owner_per_s
    got = shares(servers, load, seed=seed)
    possible = 1 - load.hot_share + owner_per_s / load.per_s
    assert got["in_time"] > 0.87 * possible
    assert got["late"] < 0.06


def test_a_service_whose_servers_hold_few_requests_is_not_overrun():
    load = Load(per_s=440.0, work_s=0.06, spread=0.8, target_s=0.2, hot_share=0.35)
    got = shares(backends(17, speeds=(0.6, 1.0, 1.6), slots=3, queue=12), load)
    assert got["turned away"] < 0.005
