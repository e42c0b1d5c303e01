"""How long a server counts as cold, whichever order reports, news and assumptions come in."""

import pytest

from lychee_policy import ColdReading, ColdTime, PermitIssuer
from lychee_policy.cold_servers import COLD_MARGIN_S, MAX_REPORT_AGE_S, NEWS_DELAY_S, RISE_S
from lychee_types.ids import Incarnation, ServerId
from lychee_types.registry import ServerIncarnation

RUN = ServerIncarnation(server=ServerId("a"), incarnation=Incarnation(1))


def reading(remaining_s, heard_at, *, is_news=False):
    if is_news:
        return ColdReading(remaining_s=remaining_s, heard_at=heard_at, delay_s=NEWS_DELAY_S)
    return ColdReading(remaining_s=remaining_s, heard_at=heard_at)


def test_a_server_is_cold_until_the_time_that_it_names_and_a_little_longer():
    cold = ColdTime()
    assert cold.record(reading(5.0, 100.0), 100.0)
    assert cold.is_cold(105.0)
    assert not cold.is_cold(105.0 + COLD_MARGIN_S)


def test_warm_reports_make_a_warm_server_neither_cold_nor_news():
    # A report of 0 s was once taken as the end of a cold time just now.
    cold = ColdTime()
    assert not cold.record(reading(0.0, 100.0), 100.0)
    assert not cold.is_cold(100.0)


def test_a_server_that_nothing_is_known_of_is_cold_until_a_report():
    cold = ColdTime(assumed_until=130.0)
    assert cold.is_cold(100.0)
    assert cold.export(RUN, 100.0) is None
    cold.record(reading(0.0, 99.0, is_news=True), 100.0)
    assert not cold.is_cold(100.0)


def test_outdated_news_of_a_replica_without_contact_end_no_assumption():
    cold = ColdTime(assumed_until=130.0)
    cold.record(reading(0.0, 100.0 - MAX_REPORT_AGE_S - 0.1, is_news=True), 100.0)
    assert cold.is_cold(100.0)


@pytest.mark.parametrize(("later_s", "is_cold"), [(NEWS_DELAY_S - 0.1, True), (3.1, False)])
def test_late_news_end_no_cold_time_that_the_server_has_told_itself(later_s, is_cold):
    cold = ColdTime()
    cold.record(reading(20.0, 100.0), 100.0)
    cold.record(reading(0.0, 100.0 + later_s, is_news=True), 100.0 + later_s)
    assert cold.is_cold(104.0) is is_cold


def test_an_assumption_ends_with_a_later_report_only():
    cold = ColdTime()
    cold.record(reading(0.0, 100.0), 100.0)
    cold.assume(10.0, 100.5)
    cold.record(reading(0.0, 100.4, is_news=True), 100.6)
    assert cold.is_cold(100.7)
    assert cold.export(RUN, 100.7) is None
    cold.record(reading(0.0, 101.3), 101.3)
    assert not cold.is_cold(101.3)


def test_work_takes_less_and_less_longer_after_the_cold_time():
    cold = ColdTime()
    cold.record(reading(5.0, 100.0), 100.0)
    end = 105.0 + COLD_MARGIN_S
    slowdowns = [cold.slowdown(end + share * RISE_S, factor=3.0) for share in (-1, 0.5, 1)]
    assert slowdowns == pytest.approx([3.0, 2.0, 1.0])


def test_a_new_leader_has_no_saved_permits():
    assert PermitIssuer(per_s=2.8, now=0.0).issue(8, 0.0).count == 0
