"""The retry budget that all gateways share."""

import pytest

from lychee_gateway.proxy.retries import RetryBudgets
from lychee_types.ids import ServiceName
from lychee_types.routed_settings import DeploymentLimits

SERVICE = ServiceName("s")
NOW_S = 50.0


@pytest.mark.parametrize(
    ("gateways", "slack"), [(1, 60), (10, 58), (53, 160), (106, 276), (300, 60)]
)
@pytest.mark.parametrize("requests", [0, 1, 20, 400])
def test_gateways_together_stay_within_the_retry_budget(gateways, slack, requests):
    bounds = DeploymentLimits(retry_ratio=0.2, retry_slack=slack)
    retries = 0
    for _ in range(gateways):
        budgets = RetryBudgets(bounds=bounds)
        budget = budgets.find(SERVICE)
        budgets.set_gateway_count(gateways)
        for _ in range(requests):
            budget.count_request(NOW_S)
        while budget.try_spend(NOW_S):
            retries += 1
    assert retries <= bounds.retry_ratio * gateways * requests + slack
    if requests * bounds.retry_ratio > 5:
        assert retries >= 0.7 * bounds.retry_ratio * gateways * requests
