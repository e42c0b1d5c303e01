"""Requests under which servers end: when they are suspected, blocked and free again."""

import pytest

from lychee_policy import BLOCK_S, MAX_REQUESTS, SUSPECT_S, CrashTable, EndedAttempt, Verdict
from lychee_types.ids import Incarnation, RequestSignature, ServerId
from lychee_types.registry import ServerIncarnation

SIGNATURE = RequestSignature(b"one")


def server(number, *, incarnation=1):
    return ServerIncarnation(server=ServerId(f"s{number}"), incarnation=Incarnation(incarnation))


def ended(at, *, after_s=0.9):
    """Return an attempt whose server ended at a time, that long after the request was sent."""
    return EndedAttempt(sent_at=at - after_s, ended_at=at)


def table_with(ends, *, at=1_000.0, signature=SIGNATURE):
    table = CrashTable()
    for number in range(ends):
        table.record_end(signature, server(number), ended(at + number))
    return table


@pytest.mark.parametrize(
    ("ends", "expected"),
    [
        (0, Verdict.FREE),
        (1, Verdict.FREE),
        (2, Verdict.SUSPECTED),
        (3, Verdict.BLOCKED),
        (9, Verdict.BLOCKED),
    ],
)
def test_the_verdict_follows_the_number_of_ended_servers(ends, expected):
    assert table_with(ends).verdict(SIGNATURE, 1_010.0) is expected


def test_one_server_counts_once_and_its_next_incarnation_again():
    table = table_with(1)
    assert not table.record_end(SIGNATURE, server(0), ended(1_005.0))
    assert table.record_end(SIGNATURE, server(0, incarnation=2), ended(1_005.0))
    assert table.verdict(SIGNATURE, 1_010.0) is Verdict.SUSPECTED


def test_servers_that_end_at_once_count_once():
    table = CrashTable()
    for number in range(5):
        table.record_end(SIGNATURE, server(number), ended(1_000.0 + 0.1 * number))
    assert table.verdict(SIGNATURE, 1_010.0) is Verdict.FREE
    table.record_end(SIGNATURE, server(6), ended(1_001.0))
    assert table.verdict(SIGNATURE, 1_010.0) is Verdict.SUSPECTED


def test_servers_that_end_one_after_the_other_count_each_however_fast():
    table = CrashTable()
    for number in range(3):
        end = ended(1_000.0 + 0.1 * number, after_s=0.09)
        table.record_end(SIGNATURE, server(number), end)
    assert table.verdict(SIGNATURE, 1_010.0) is Verdict.BLOCKED


def test_an_answer_shows_that_a_request_is_sound():
    table = table_with(2)
    assert table.record_answer(SIGNATURE, 1_010.0)
    assert table.verdict(SIGNATURE, 1_010.0) is Verdict.FREE
    assert not table.record_end(SIGNATURE, server(5), ended(1_009.0))
    table.record_end(SIGNATURE, server(6), ended(1_011.0))
    assert table.count_ends(SIGNATURE, 1_012.0) == 1


def test_a_request_without_a_known_end_is_not_remembered_for_its_answer():
    table = CrashTable()
    assert not table.record_answer(SIGNATURE, 1_000.0)
    assert len(table) == 0


@pytest.mark.parametrize(
    ("ends", "seconds", "expected"),
    [
        (2, SUSPECT_S - 1, Verdict.SUSPECTED),
        (2, SUSPECT_S + 2, Verdict.FREE),
        (3, SUSPECT_S + 2, Verdict.BLOCKED),
        (3, BLOCK_S + 3, Verdict.FREE),
    ],
)
def test_ends_age_out(ends, seconds, expected):
    table = table_with(ends)
    now = 1_000.0 + seconds
    assert table.verdict(SIGNATURE, now) is expected
    table.drop_old(now)
    assert (SIGNATURE in table) is (expected is not Verdict.FREE)


def test_the_number_of_requests_is_bounded_and_blocked_ones_stay():
    table = table_with(3)
    for number in range(MAX_REQUESTS + 100):
        table.record_end(RequestSignature(b"%d" % number), server(0), ended(1_005.0))
    assert len(table) == MAX_REQUESTS
    assert table.verdict(SIGNATURE, 1_010.0) is Verdict.BLOCKED


def test_another_process_learns_of_suspects_and_of_their_answers():
    table, other = table_with(3), CrashTable()
    table.record_end(RequestSignature(b"innocent"), server(0), ended(1_000.0))
    for known in table.export_suspects(1_010.0):
        assert other.merge(known, 5_000.0)
    assert len(other) == 1
    assert other.verdict(SIGNATURE, 5_000.0) is Verdict.BLOCKED
    assert not any([other.merge(known, 5_000.0) for known in table.export_suspects(1_010.0)])
    table.record_answer(SIGNATURE, 1_020.0)
    for known in table.export_suspects(1_021.0):
        other.merge(known, 5_011.0)
    assert other.verdict(SIGNATURE, 5_011.0) is Verdict.FREE
