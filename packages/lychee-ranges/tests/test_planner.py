"""The move planner against constant loads: which keys move, and which load servers end up with."""

import dataclasses

import pytest
from msgspec.structs import replace

from lychee_ranges import (
    BucketRates,
    Candidate,
    KeyTable,
    MovePlanner,
    first_split,
    mergeable_ranges,
)
from lychee_types.ids import DomainName, Incarnation, ServerId, ServiceName, Token
from lychee_types.records import Endpoint
from lychee_types.registry import LAST_KEY, GrantPhase, RegisteredServer, ServerIncarnation

SERVICE_TIME_S = 0.06


def candidate(name, *, service_time_s=SERVICE_TIME_S, slots=3, limit_per_s=None):
    record = RegisteredServer(
        run=ServerIncarnation(server=ServerId(name), incarnation=Incarnation(1)),
        endpoint=Endpoint(host="10.0.0.1", port=1),
        domain=DomainName("nord"),
        service=ServiceName("k"),
        release="v1",
        slots=slots,
    )
    return Candidate(server=record, service_time_s=service_time_s, limit_per_s=limit_per_s)


def table_of(candidates):
    split = first_split(candidates)
    return KeyTable(
        ranges=[
            replace(r, token=Token(n + 1), phase=GrantPhase.ACTIVE) for n, r in enumerate(split)
        ]
    )


def steady_rates(rates):
    return BucketRates(steady=rates, latest=dict(rates))


def run_plans(table, candidates, rates, *, rounds=40):
    """Apply planned moves to the table until there are none; return how many keys moved."""
    moved = 0
    for _ in range(rounds):
        planner = MovePlanner(table=table, candidates=candidates, rates=rates)
        moves = planner.plan_moves(16, optional_limit=1, unowned_limit=50)
        if not moves:
            break
        for move in moves:
            moved += move.keys.size
            new = replace(
                move.keys, owner=move.new_owner, token=Token(999), phase=GrantPhase.ACTIVE
            )
            table.put([new])
    return moved


def load_of(table, candidates, rates):
    service_times = {c.run: c.service_time_s for c in candidates}
    loads = dict.fromkeys(service_times, 0.0)
    for key, rate in rates.steady.items():
        owner = table.find(key).owner
        loads[owner] += rate * service_times[owner] / 3
    return loads


SERVERS = tuple(candidate(f"s{n}") for n in range(4))


def test_the_first_split_covers_all_keys_in_proportion_to_slots():
    split = first_split((candidate("a", slots=1), candidate("b", slots=3)))
    assert [(r.low, r.owner.server) for r in split] == [(0, "a"), (16_384, "b")]
    assert split[-1].high == LAST_KEY


def test_balanced_load_stays_where_it_is():
    table = table_of(SERVERS)
    rates = steady_rates({key: 0.001 for key in range(0, LAST_KEY + 1, 8)})
    assert run_plans(table, SERVERS, rates) == 0


def test_keys_of_a_lost_owner_go_to_the_least_loaded_server():
    table = table_of(SERVERS)
    rates = steady_rates({100: 20.0, 20_000: 10.0, 40_000: 1.0, 60_000: 15.0})
    left = SERVERS[1:]
    run_plans(table, left, rates)
    owners = {r.owner for r in table.ranges}
    assert owners <= {c.run for c in left}
    assert table.find(100).owner == SERVERS[2].run


def test_a_new_server_gets_keys():
    table = table_of(SERVERS[:3])
    run_plans(table, SERVERS, steady_rates({}))
    assert any(r.owner == SERVERS[3].run for r in table.ranges)


def test_many_hot_keys_of_one_server_are_spread():
    table = table_of(SERVERS)
    rates = steady_rates({key: 1.0 for key in range(1_000, 1_100)})
    assert max(load_of(table, SERVERS, rates).values()) > 1.9
    moved = run_plans(table, SERVERS, rates)
    assert max(load_of(table, SERVERS, rates).values()) < 0.75
    assert moved < (LAST_KEY + 1) / 4


def test_the_hottest_key_goes_to_the_fastest_server_and_its_neighbours_leave_it():
    servers = (*SERVERS[:3], candidate("fast", service_time_s=SERVICE_TIME_S / 2))
    table = table_of(servers)
    rates = steady_rates({5: 80.0, 6: 10.0, 60_000: 10.0, 61_000: 10.0})
    run_plans(table, servers, rates)
    assert table.find(5).owner == servers[3].run
    assert table.find(60_000).owner != servers[3].run


def test_keys_in_pending_moves_count_for_their_new_owner():
    table = table_of(SERVERS)
    rates = steady_rates({key: 1.0 for key in range(1_000, 1_100)})
    first = MovePlanner(table=table, candidates=SERVERS, rates=rates).plan_moves(
        16, optional_limit=1, unowned_limit=50
    )
    again = MovePlanner(table=table, candidates=SERVERS, rates=rates, pending=first)
    assert again.plan_moves(16, optional_limit=0, unowned_limit=50) == ()


def test_a_random_burst_of_a_few_requests_moves_nothing():
    table = table_of(SERVERS)
    rates = BucketRates(steady={10: 1.0}, latest={10: 15.0})
    assert (
        MovePlanner(table=table, candidates=SERVERS, rates=rates).plan_moves(
            16, optional_limit=0, unowned_limit=50
        )
        == ()
    )


def test_without_servers_there_is_no_plan():
    planner = MovePlanner(table=table_of(SERVERS), candidates=(), rates=steady_rates({}))
    assert planner.plan_moves(16, optional_limit=1, unowned_limit=50) == ()


def test_adjacent_ranges_of_one_owner_are_merged_under_a_new_token():
    table = table_of(SERVERS)
    table.put([replace(table.find(0), low=10, high=20, token=Token(77))])
    merged = mergeable_ranges(table, ())
    assert [(r.low, r.high, r.token) for r in merged] == [(0, 16_383, 0)]


@pytest.mark.parametrize("phase", [GrantPhase.GRANTING, GrantPhase.RELEASING])
def test_ranges_that_are_not_active_are_not_merged(phase):
    table = table_of(SERVERS)
    table.put([replace(table.find(0), low=10, high=20, token=Token(77), phase=phase)])
    assert mergeable_ranges(table, ()) == ()


def test_an_evenly_loaded_range_loses_keys_at_its_end():
    table = table_of(SERVERS)
    rates = steady_rates({key: 0.02 for key in range(0, 16_384, 4)})
    run_plans(table, SERVERS, rates)
    assert len(table.ranges) <= 8


def test_all_keys_of_a_leaving_server_move_in_one_plan_the_busiest_first():
    table = table_of(SERVERS)
    for low in range(0, 16_000, 200):
        table.put([replace(table.find(low), low=low, high=low + 99, token=Token(500 + low))])
    rates = steady_rates({5_000: 9.0})
    planner = MovePlanner(table=table, candidates=SERVERS[1:], rates=rates)
    moves = planner.plan_moves(0, optional_limit=0, unowned_limit=300)
    assert moves[0].keys.low <= 5_000 <= moves[0].keys.high
    assert sum(move.keys.size for move in moves) == 16_384


def test_keys_leave_a_server_whose_rate_limit_is_below_its_load():
    table = table_of((candidate("a"), candidate("b"), candidate("c")))
    limited = candidate("a", limit_per_s=5.0)
    rates = steady_rates({key: 0.06 for key in range(0, LAST_KEY, 100)})
    run_plans(table, (limited, candidate("b"), candidate("c")), rates)
    per_s = sum(
        rate
        for key, rate in rates.steady.items()
        if (key_range := table.find(key)) is not None and key_range.owner == limited.run
    )
    assert per_s <= 5.0


def test_a_cold_server_gets_keys_in_steps_up_to_its_rate_and_no_hot_ones():
    # It got half the mean number of keys at once, whatever their load.
    warm = candidate("warm")
    cold = replace_candidate(candidate("cold", limit_per_s=2.8), is_cold=True)
    table = table_of((warm,))
    rates = steady_rates({key: 0.05 for key in range(0, LAST_KEY, 400)} | {LAST_KEY: 9.0})
    run_plans(table, (warm, cold), rates, rounds=1)
    first = load_per_s(table, cold, rates)
    run_plans(table, (warm, cold), rates)
    assert 0.0 < first < load_per_s(table, cold, rates) <= 2.8
    assert table.find(LAST_KEY).owner == warm.run


def test_keys_without_an_owner_go_to_warm_servers_first():
    # Their load is unknown to a new leader, and may be above the rate of a cold server.
    warm = candidate("warm")
    cold = replace_candidate(candidate("cold", limit_per_s=2.8), is_cold=True)
    table = table_of((candidate("lost"),))
    run_plans(table, (warm, cold), BucketRates(), rounds=1)
    assert {key_range.owner for key_range in table.ranges} == {warm.run}
    assert {r.owner for r in first_split((warm, cold))} == {warm.run}
    assert {r.owner for r in first_split((cold,))} == {cold.run}


def replace_candidate(known, **changes):
    return dataclasses.replace(known, **changes)


def load_per_s(table, owner, rates):
    return sum(rate for key, rate in rates.steady.items() if table.find(key).owner == owner.run)
