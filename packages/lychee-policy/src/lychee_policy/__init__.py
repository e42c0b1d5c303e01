"""Decisions on requests: choice of server, limits, queues, retry budgets, outlier detection."""

from lychee_policy.budget import RetryBudget
from lychee_policy.choice import (
    Candidate,
    ChoiceRule,
    LeastConnections,
    PowerOfTwo,
    RoundRobin,
    choose,
)
from lychee_policy.limits import Limits, limits_for
from lychee_policy.queue import DeadlineQueue, Waiter, can_make_deadline

__all__ = [
    "Candidate",
    "ChoiceRule",
    "DeadlineQueue",
    "LeastConnections",
    "Limits",
    "PowerOfTwo",
    "RetryBudget",
    "RoundRobin",
    "Waiter",
    "can_make_deadline",
    "choose",
    "limits_for",
]
