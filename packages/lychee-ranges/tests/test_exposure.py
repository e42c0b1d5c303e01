from lychee_ranges import Exposures, hold_limit_s
from lychee_types.ids import Incarnation, ServerId
from lychee_types.registry import KeyRange, ServerRun

HOLD_S = 3.0


def run(name):
    return ServerRun(server=ServerId(name), incarnation=Incarnation(1))


def keys(low, high, name="a"):
    return KeyRange(low=low, high=high, owner=run(name))


def exposures(unknown_until=0.0):
    return Exposures(hold_s=HOLD_S, unknown_until=unknown_until)


def test_keys_that_were_never_granted_are_free():
    assert exposures().free_at(keys(0, 9)) == 0.0


def test_a_silent_owner_holds_until_its_slow_clock_has_counted_the_hold():
    known = exposures()
    known.sent(keys(0, 9), 100.0)
    assert known.free_at(keys(5, 5)) == 100.0 + hold_limit_s(HOLD_S) > 100.0 + HOLD_S * 1.02


def test_a_release_frees_keys_whose_grants_were_all_answered():
    known = exposures()
    known.answered(known.sent(keys(0, 9), 100.0))
    known.released(keys(2, 3))
    assert known.free_at(keys(2, 3)) == 0.0
    assert known.free_at(keys(0, 9)) > 100.0


def test_a_grant_without_an_answer_counts_in_spite_of_a_release():
    known = exposures()
    known.answered(known.sent(keys(0, 9), 100.0))
    known.sent(keys(0, 9), 101.0)
    known.released(keys(0, 9))
    assert known.free_at(keys(0, 9)) == 101.0 + hold_limit_s(HOLD_S)


def test_a_release_by_another_owner_frees_nothing():
    known = exposures()
    known.answered(known.sent(keys(0, 9, "a"), 100.0))
    known.released(keys(0, 9, "b"))
    assert known.free_at(keys(0, 9)) > 100.0


def test_what_a_former_leader_may_have_granted_counts():
    known = exposures(unknown_until=50.0)
    assert known.free_at(keys(0, 9)) == 50.0
    assert known.free_at(KeyRange(low=0, high=9)) == 0.0


def test_a_run_that_has_ended_holds_nothing():
    known = exposures()
    known.sent(keys(0, 9), 100.0)
    known.ended(run("a"))
    assert known.free_at(keys(0, 9)) == 0.0


def test_a_later_answer_does_not_close_an_earlier_grant_without_one():
    known = exposures()
    known.sent(keys(0, 9), 100.0)
    known.answered(known.sent(keys(0, 9), 101.0))
    assert known.has_open(keys(0, 9), 101.0)
    known.released(keys(0, 9))
    assert known.free_at(keys(0, 9)) == 100.0 + hold_limit_s(HOLD_S)
    assert not known.has_open(keys(0, 9), 104.0)


def test_a_grant_that_was_never_sent_holds_nothing():
    known = exposures()
    known.withdrawn(known.sent(keys(0, 9), 100.0))
    assert known.free_at(keys(0, 9)) == 0.0


def test_a_grant_whose_connection_was_given_up_may_have_arrived_until_then():
    known = exposures()
    known.given_up(known.sent(keys(0, 9), 100.0), 100.4)
    known.released(keys(0, 9))
    assert known.free_at(keys(0, 9)) == 100.4 + hold_limit_s(HOLD_S)
    assert known.has_open(keys(0, 9), 103.4)


def test_what_a_former_leader_sent_may_begin_to_hold_until_it_has_run_out():
    known = exposures(unknown_until=50.0)
    assert known.has_open(keys(0, 9), 49.9)
    assert not known.has_open(keys(0, 9), 50.0)
