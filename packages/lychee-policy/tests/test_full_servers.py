"""Whether full servers leave requests unanswered, by what gateways report of them."""

import pytest

from lychee_policy import FullServerSigns, has_long_queue
from lychee_policy.full_servers import KNOWN_S


def record(*reports):
    signs = FullServerSigns(updated_at=0.0)
    for number, (unanswered, answered) in enumerate(reports):
        signs.record(unanswered=unanswered, answered=answered, now=0.2 * number)
    return signs


@pytest.mark.parametrize(
    ("reports", "is_known"),
    [
        ([(10, 5)], True),
        ([(1, 5)] * 8, True),
        ([(5, 0)], False),
        ([(0, 400), (20, 0)], False),
        ([(1, 40)] * 30, False),
        ([(0, 0)], False),
    ],
    ids=["burst", "steady", "few", "a pause among many answers", "long work", "nothing"],
)
def test_only_many_timeouts_beside_few_answers_say_that_full_servers_are_silent(reports, is_known):
    signs = record(*reports)
    assert signs.leaves_unanswered(10.0) is is_known


def test_it_stays_known_while_no_requests_are_left_unanswered():
    # Each overload would cost its first requests again.
    signs = record((10, 5), *[(0, 20)] * 100)
    assert signs.leaves_unanswered(KNOWN_S - 1)
    assert not signs.leaves_unanswered(KNOWN_S + 30)


@pytest.mark.parametrize(("occupied", "is_long"), [(-1, False), (3, False), (4, True), (10, True)])
def test_a_queue_as_long_as_the_slots_is_long(occupied, is_long):
    assert has_long_queue(occupied, 2) is is_long
