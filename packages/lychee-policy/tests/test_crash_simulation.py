"""A request that ends servers, simulated at several gateways."""

import pytest

from lychee_policy.crash_testing import (
    CrashLoad,
    CrashRule,
    CrashSimulation,
    arrivals_after_the_third_end,
)

ALLOWED_LATER = 3
"""How often the request may reach servers once all gateways must know it."""

RUN_S = 120.0


@pytest.mark.parametrize("gateways", [1, 6, 64])
@pytest.mark.parametrize("interval_s", [0.25, 1.0, 3.5, 10.0])
@pytest.mark.parametrize("retries", [0, 1, 3])
def test_a_request_whose_ends_all_gateways_know_reaches_few_servers(gateways, interval_s, retries):
    for seed in range(5):
        load = CrashLoad(gateways=gateways, interval_s=interval_s, retries=retries, seed=seed)
        arrivals = CrashSimulation(load).run(RUN_S)
        assert arrivals_after_the_third_end(arrivals) <= ALLOWED_LATER


def test_gateways_that_know_only_their_own_ends_go_on_to_send_it():
    load = CrashLoad(gateways=64, rule=CrashRule.EACH_ALONE)
    arrivals = CrashSimulation(load).run(RUN_S)
    assert arrivals_after_the_third_end(arrivals) > ALLOWED_LATER
