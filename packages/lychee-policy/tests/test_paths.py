"""What a gateway concludes from connections that open or don't."""

from random import Random

from lychee_policy import PathTable
from lychee_policy.paths import CHECK_S, CUT_AFTER, UNREACHED_S
from lychee_types.ids import Incarnation, ServerId
from lychee_types.registry import ServerIncarnation

SERVERS = [
    ServerIncarnation(server=ServerId(f"s{number}"), incarnation=Incarnation(1))
    for number in range(6)
]


def make_table(*, failed=0):
    table = PathTable(rng=Random(1))
    table.keep_only(SERVERS)
    for run in SERVERS[:failed]:
        assert table.record_failed(run, 0.0)
    return table


def test_one_server_that_accepts_no_connection_says_nothing_of_the_others():
    table = make_table(failed=1)
    assert table.is_doubted(SERVERS[0])
    assert not table.is_doubted(SERVERS[1])
    assert not table.reaches_none


def test_after_some_servers_in_a_row_none_is_expected_to_accept_a_connection():
    table = make_table(failed=CUT_AFTER)
    assert table.reaches_none
    assert table.is_doubted(SERVERS[-1])


def test_servers_that_end_one_after_the_other_do_not_look_like_a_cut():
    table = make_table()
    for run in SERVERS:
        table.record_failed(run, 0.0)
        table.record_heard()
    assert not table.reaches_none
    assert len(table) == len(SERVERS)


def test_an_answer_shows_that_some_servers_are_reached_but_not_which():
    table = make_table(failed=CUT_AFTER)
    assert table.record_heard()
    assert not table.is_doubted(SERVERS[-1])
    assert table.is_doubted(SERVERS[0])


def test_a_way_is_direct_again_once_a_connection_opens():
    table = make_table(failed=1)
    assert table.record_opened(SERVERS[0])
    assert not table.record_opened(SERVERS[0])
    assert not table.is_doubted(SERVERS[0])


def test_a_doubted_way_is_tried_again_now_and_then_and_not_by_each_request():
    table = make_table(failed=1)
    assert not table.take_check(SERVERS[0], CHECK_S[0] * 0.9)
    assert table.take_check(SERVERS[0], CHECK_S[1])
    assert not table.take_check(SERVERS[0], CHECK_S[1])


def test_gateways_that_are_cut_together_do_not_try_again_together():
    at = 0.5 * sum(CHECK_S)
    tables = [PathTable(rng=Random(seed)) for seed in range(40)]
    for table in tables:
        table.keep_only(SERVERS)
        table.record_failed(SERVERS[0], 0.0)
    trying = sum(table.take_check(SERVERS[0], at) for table in tables)
    assert 10 < trying < 30


def test_the_ways_to_servers_that_were_not_tried_are_checked_at_once_in_a_cut():
    table = make_table(failed=CUT_AFTER)
    assert table.take_check(SERVERS[-1], 0.0)
    assert not table.take_check(SERVERS[-1], 0.0)


def test_a_server_that_nobody_reaches_is_not_reported_as_reached_by_others():
    table = make_table(failed=1)
    assert table.unreached == ()
    table.record_carried(SERVERS[0])
    assert table.unreached == (SERVERS[0],)
    table.record_unreached(SERVERS[0], 1.0)
    assert table.unreached == ()


def test_a_server_that_no_gateway_reached_is_not_asked_for_again_at_once():
    table = make_table(failed=1)
    table.record_unreached(SERVERS[0], 1.0)
    assert table.is_unreached(SERVERS[0], 1.0)
    assert not table.is_unreached(SERVERS[0], 1.0 + UNREACHED_S)


def test_servers_that_are_no_longer_registered_are_forgotten():
    table = make_table(failed=CUT_AFTER)
    table.keep_only(SERVERS[1:])
    assert len(table) == CUT_AFTER - 1
    assert not table.reaches_none
    assert not table.record_failed(SERVERS[0], 0.0)
