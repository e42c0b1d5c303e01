"""What callers may send, and how long they may take, while the configuration changes."""

import pytest

from lychee_gateway.proxy.limits_in_force import LimitsInForce
from lychee_types.routing import CallerBounds


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


def make(*changes):
    """Return limits after changes, each with the seconds before it, and their clock."""
    clock = FakeClock()
    limits = LimitsInForce(keep_s=2.0, clock=clock)
    clock.now += 1_000.0
    for after_s, bounds in changes:
        clock.now += after_s
        limits.set(bounds)
    return limits, clock


def make_idle(*changes):
    """Return limits after changes of the idle time."""
    return make(*((after_s, CallerBounds(idle_s=idle_s)) for after_s, idle_s in changes))


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
    limits, clock = make_idle(*changes)
    clock.now += after_s
    assert limits.idle_s == value_s


LARGE = CallerBounds(head_bytes=65_536, body_bytes=900_000, head_s=9.0)
SMALL = CallerBounds(head_bytes=8_192, body_bytes=700_000, head_s=2.0)


@pytest.mark.parametrize("limit", ["head_bytes", "body_bytes", "head_s"])
@pytest.mark.parametrize(
    ("changes", "after_s", "bounds"),
    [
        ([(0, SMALL), (100, LARGE)], 0.0, LARGE),
        ([(0, LARGE), (100, SMALL)], 1.9, LARGE),
        ([(0, LARGE), (100, SMALL)], 2.1, SMALL),
        ([(0, LARGE), (100, SMALL), (1, SMALL)], 0.9, LARGE),
        ([(0, LARGE), (100, SMALL), (1, CallerBounds(head_bytes=1, body_bytes=1))], 0.9, LARGE),
    ],
)
def test_a_larger_limit_holds_until_the_smaller_one_is_known_everywhere(
    limit, changes, after_s, bounds
):
    # CONFIG: a request was refused as only an older configuration asked.
    limits, clock = make(*changes)
    clock.now += after_s
    assert getattr(limits, limit) == getattr(bounds, limit)


def test_a_storm_of_changes_leaves_few_limits_to_compare():
    changes = [(0.01, CallerBounds(idle_s=1.0 + number % 3)) for number in range(1_000)]
    limits, _ = make(*changes)
    assert len(limits._former) < 10
