"""How long callers may be idle while the configuration changes."""

import pytest

from lychee_gateway.proxy.idle import IdleLimit


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


def make(*changes):
    """Return a limit after changes, each with the seconds before it, and its clock."""
    clock = FakeClock()
    limit = IdleLimit(keep_s=2.0, clock=clock)
    clock.now += 1_000.0
    for after_s, limit_s in changes:
        clock.now += after_s
        limit.set(limit_s)
    return limit, clock


@pytest.mark.parametrize(
    ("changes", "after_s", "value_s"),
    [
        ([(0, 10.0), (100, 30.0)], 0.0, 30.0),
        ([(0, 10.0), (100, 5.0)], 18.9, 10.0),
        ([(0, 10.0), (100, 5.0)], 19.1, 5.0),
        ([(0, 10.0), (100, 5.0), (1, 4.0)], 5.0, 10.0),
        ([(0, 10.0), (100, 5.0), (100, 5.0)], 0.0, 5.0),
    ],
)
def test_a_longer_limit_holds_until_nobody_can_rely_on_it(changes, after_s, value_s):
    # LOST beside a change: a connection that callers still took for open was closed.
    limit, clock = make(*changes)
    clock.now += after_s
    assert limit.value_s == value_s
