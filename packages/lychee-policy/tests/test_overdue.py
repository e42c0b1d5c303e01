"""When a request at a server is overdue."""

import pytest

from lychee_policy import overdue_after_s
from lychee_policy.overdue import MIN_OVERDUE_S, OVERDUE_FACTOR


@pytest.mark.parametrize("service_time_s", [0.001, 0.1, 3.0])
@pytest.mark.parametrize("slowdown", [1.0, 5.0])
def test_no_request_is_overdue_in_the_time_that_its_work_and_queue_take(service_time_s, slowdown):
    after_s = overdue_after_s(service_time_s=service_time_s, slowdown=slowdown)
    assert after_s >= max(MIN_OVERDUE_S, OVERDUE_FACTOR * service_time_s * slowdown)
