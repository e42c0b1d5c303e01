"""Retry budget of the deployment: the part of it that one gateway spends."""

from collections import deque

from lychee_policy import MIN_RETRIES, RETRY_WINDOW_S, RetryBudget
from lychee_types.ids import ServiceName
from lychee_types.routed_settings import DeploymentLimits

USED_SHARE = 0.8
"""Share of the deployment's budget that is used, as the number of gateways is approximate."""

START_SHARE = 1 - USED_SHARE
"""Share of the ratio that is left beside what a predecessor may have used in the same window."""


class SlackShare:
    """This gateway's part of the slack.

    A gateway doesn't know what its predecessor at the same VM spent, so it has no part until all of
    that has left the window. A count that is too low, as one from a replica that has just started,
    gives nobody a larger part until the higher one before it has been outdated for a window.

    :param slack: the slack of the deployment in retries.
    """

    def __init__(self, *, slack: float) -> None:
        self._slack = slack
        self._count = 0
        self._first_told_at: float | None = None
        self._former: deque[tuple[float, int]] = deque()

    def record_count(self, count: int, *, now: float) -> None:
        """Record the approximate number of gateways.

        :param now: monotonic time in seconds.
        """
        if self._first_told_at is None:
            self._first_told_at = now
        if count < self._count:
            self._record_former(self._count, now=now)
        self._count = count

    def retries(self, now: float) -> float:
        """Return the number of retries in a window that need no requests.

        :param now: monotonic time in seconds.
        """
        return self._part(now) if self.run_share(now) == 1 else 0.0

    def started(self, now: float) -> float:
        """Return the number of retries that a new gateway has earned by the time that it has run.

        All processes at one VM run for a window in a window, so they earn one part together.

        :param now: monotonic time in seconds.
        """
        return self._part(now) * self.run_share(now)

    def run_share(self, now: float) -> float:
        """Return for which share of a window this gateway has run, 1 for more.

        At 1 all that a predecessor spent has left the window.

        :param now: monotonic time in seconds.
        """
        if self._first_told_at is None:
            return 0.0
        return min(1.0, (now - self._first_told_at) / RETRY_WINDOW_S)

    def _part(self, now: float) -> float:
        self._expire(now)
        former = self._former[0][1] if self._former else 0
        return min(MIN_RETRIES, self._slack / max(1, self._count, former))

    def _record_former(self, count: int, *, now: float) -> None:
        """Record a count that was in force until now; lower ones before it don't matter."""
        self._expire(now)
        while self._former and self._former[-1][1] <= count:
            self._former.pop()
        self._former.append((now, count))

    def _expire(self, now: float) -> None:
        while self._former and now - self._former[0][0] > RETRY_WINDOW_S:
            self._former.popleft()


class RetryBudgets:
    """One retry budget for each service.

    The budget of the deployment is a ratio of its requests and a slack. Every gateway spends the
    ratio of its own requests, or its part of the slack if that is more, so all of them together
    stay within the budget without a message. A predecessor at the same VM may have spent that in
    the same window, so in its first one a gateway spends no more than that leaves: the rest of the
    ratio, and its part of the slack as far as it has run.

    :param bounds: budgets that the deployment guarantees.
    """

    def __init__(self, *, bounds: DeploymentLimits) -> None:
        self._share = USED_SHARE * bounds.retry_ratio
        self._start_share = START_SHARE * bounds.retry_ratio
        self._slack = SlackShare(slack=USED_SHARE * bounds.retry_slack)
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def record_gateway_count(self, count: int, *, now: float) -> None:
        """Record the approximate number of gateways.

        :param now: monotonic time in seconds.
        """
        self._slack.record_count(count, now=now)

    def count_request(self, service: ServiceName, *, arrived_at: float) -> None:
        """Count the first attempt of a request.

        :param arrived_at: monotonic time in seconds.
        """
        self._find(service).count_request(arrived_at)

    def try_spend(self, service: ServiceName, *, now: float) -> bool:
        """Count a retry if the budget allows it, and return whether it does.

        :param now: monotonic time in seconds.
        """
        budget = self._find(service)
        budget.least = self._slack.retries(now)
        return budget.try_spend(now, most=self._most(budget, now))

    def left(self, service: ServiceName, *, now: float) -> int:
        """Return how many retries the budget allows now.

        :param now: monotonic time in seconds.
        """
        budget = self._budgets.get(service)
        if budget is None:
            return int(self._slack.retries(now))
        budget.least = self._slack.retries(now)
        return max(0, int(budget.left(now, most=self._most(budget, now))))

    def _most(self, budget: RetryBudget, now: float) -> float | None:
        """Return the maximum number of retries in the first window, None after it."""
        if self._slack.run_share(now) >= 1:
            return None
        return self._start_share * budget.recent_requests(now) + self._slack.started(now)

    def _find(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(share=self._share, least=0.0)
        return budget
