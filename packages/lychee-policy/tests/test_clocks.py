"""Tests of the comparison of wall clocks."""

import pytest

from lychee_policy import ClockChecker

NOW = 1_800_000_000_000


@pytest.mark.parametrize(
    ("lags", "expected"),
    [
        ([0], [True]),
        ([100], [True]),
        ([101], [False]),
        ([-100], [True]),
        ([-101], [False]),
        ([3_000, 3_000, 3_000], [False, False, False]),
        ([5, 3_000], [True, True]),
        ([5, -3_000], [True, False]),
    ],
)
def test_a_late_message_is_tolerated_after_an_agreement_but_a_wrong_clock_is_not(
    lags, expected
) -> None:
    checker = ClockChecker(limit_ms=100)
    got = [
        checker.is_in_sync(server="s", sent_ms=NOW + 300 * n - lag, received_ms=NOW + 300 * n)
        for n, lag in enumerate(lags)
    ]
    assert got == expected


def test_an_agreement_excuses_late_messages_for_only_five_seconds() -> None:
    checker = ClockChecker(limit_ms=100)
    assert checker.is_in_sync(server="s", sent_ms=NOW, received_ms=NOW)
    late = NOW + 5_001
    assert not checker.is_in_sync(server="s", sent_ms=late - 200, received_ms=late)


def test_the_local_clock_is_suspect_when_servers_disagree_and_none_agrees() -> None:
    checker = ClockChecker(limit_ms=100)
    checker.is_in_sync(server="a", sent_ms=NOW - 4_000, received_ms=NOW)
    assert not checker.is_local_clock_suspect(NOW)
    checker.is_in_sync(server="b", sent_ms=NOW - 4_000, received_ms=NOW)
    assert checker.is_local_clock_suspect(NOW)
    checker.is_in_sync(server="c", sent_ms=NOW, received_ms=NOW)
    assert not checker.is_local_clock_suspect(NOW)
    assert not checker.is_local_clock_suspect(NOW + 6_000)
