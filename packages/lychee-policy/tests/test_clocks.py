"""Comparison of wall clocks."""

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
def test_one_late_message_is_excused_but_no_clock_that_is_off(lags, expected) -> None:
    watch = ClockChecker(limit_ms=100)
    got = [
        watch.is_in_sync(server="s", sent_ms=NOW + 300 * n - lag, received_ms=NOW + 300 * n)
        for n, lag in enumerate(lags)
    ]
    assert got == expected


def test_an_agreement_excuses_lateness_for_five_seconds_only() -> None:
    watch = ClockChecker(limit_ms=100)
    assert watch.is_in_sync(server="s", sent_ms=NOW, received_ms=NOW)
    late = NOW + 5_001
    assert not watch.is_in_sync(server="s", sent_ms=late - 200, received_ms=late)


def test_a_vm_doubts_itself_when_servers_disagree_and_none_agrees() -> None:
    watch = ClockChecker(limit_ms=100)
    watch.is_in_sync(server="a", sent_ms=NOW - 4_000, received_ms=NOW)
    assert not watch.is_local_clock_suspect(NOW)
    watch.is_in_sync(server="b", sent_ms=NOW - 4_000, received_ms=NOW)
    assert watch.is_local_clock_suspect(NOW)
    watch.is_in_sync(server="c", sent_ms=NOW, received_ms=NOW)
    assert not watch.is_local_clock_suspect(NOW)
    assert not watch.is_local_clock_suspect(NOW + 6_000)
