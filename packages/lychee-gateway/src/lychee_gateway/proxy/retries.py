"""Retry budget of the deployment: the part of it that one gateway spends."""

from lychee_policy import MIN_RETRIES, RetryBudget
from lychee_types.ids import ServiceName
from lychee_types.routed_settings import DeploymentLimits

USED_SHARE = 0.8
"""Share of the deployment's budget that is used, as the number of gateways is approximate."""


class RetryBudgets:
    """One retry budget for each service.

    The budget of the deployment is a ratio of its requests and a slack. Every gateway spends the
    ratio of its own requests, or its part of the slack if that is more, so all of them together
    stay within the budget without a message.

    :param bounds: budgets that the deployment guarantees.
    """

    def __init__(self, *, bounds: DeploymentLimits) -> None:
        self._share = USED_SHARE * bounds.retry_ratio
        self._slack = USED_SHARE * bounds.retry_slack
        self._gateway_count = 1
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def set_gateway_count(self, count: int) -> None:
        """Set the approximate number of gateways."""
        self._gateway_count = max(1, count)
        for budget in self._budgets.values():
            budget.least = self._least

    def find(self, service: ServiceName) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(share=self._share, least=self._least)
            self._budgets[service] = budget
        return budget

    @property
    def _least(self) -> float:
        """Number of retries that every window allows, however few requests it has."""
        return min(MIN_RETRIES, self._slack / self._gateway_count)
