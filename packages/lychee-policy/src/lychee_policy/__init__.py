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
from lychee_policy.clocks import ClockWatch
from lychee_policy.hotkeys import HotKeyCounter
from lychee_policy.limits import Limits, limits_for
from lychee_policy.outliers import (
    CAUTIOUS_EJECTION_S,
    EJECTION_S,
    Ejected,
    InUse,
    OutlierDetector,
    Probing,
    Standing,
    is_slow,
    is_stuck,
)
from lychee_policy.queue import DeadlineQueue, Waiter, can_make_deadline
from lychee_policy.tracker import FIRST_ANSWERS, AnswerTime, expected_s, typical_s, warm_share

__all__ = [
    "CAUTIOUS_EJECTION_S",
    "EJECTION_S",
    "FIRST_ANSWERS",
    "AnswerTime",
    "Ejected",
    "HotKeyCounter",
    "InUse",
    "OutlierDetector",
    "Probing",
    "Standing",
    "expected_s",
    "is_slow",
    "is_stuck",
    "typical_s",
    "warm_share",
    "Candidate",
    "ClockWatch",
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
