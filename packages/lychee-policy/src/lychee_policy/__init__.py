"""Load-balancing policies: choice of server, limits, queues, retry budgets, outlier detection."""

from lychee_policy.absence import AbsenceProof, question_gap_s
from lychee_policy.budget import MIN_RETRIES, RetryBudget
from lychee_policy.budget import WINDOW_S as RETRY_WINDOW_S
from lychee_policy.choice import (
    Candidate,
    ChoiceRule,
    LeastConnections,
    PowerOfTwo,
    RoundRobin,
    choose,
)
from lychee_policy.clocks import ClockChecker
from lychee_policy.cold_servers import ColdReading, ColdTime, received_reading
from lychee_policy.crashes import (
    BLOCK_S,
    MAX_REQUESTS,
    SUSPECT_S,
    CrashTable,
    EndedAttempt,
    Verdict,
)
from lychee_policy.full_servers import FullServerSigns, has_long_queue
from lychee_policy.hedging import CopyRequest, RouteCopies, Suppression
from lychee_policy.hotkeys import HotKeyCounter
from lychee_policy.limits import Limits, limits_for
from lychee_policy.outliers import (
    BASE_EJECTION_S,
    NON_IDEMPOTENT_EJECTION_S,
    Ejected,
    EjectionState,
    InUse,
    OutlierDetector,
    Probing,
    is_slow,
    is_stuck,
)
from lychee_policy.overdue import overdue_after_s
from lychee_policy.own_link import MAX_LATE_S, LateOpenings, LinkUse, StreamUse, sum_of_uses
from lychee_policy.owner_admission import (
    EVIDENCE_S,
    AnsweredWork,
    OwnerAdmission,
    OwnerLoad,
    OwnerShares,
    estimated_demand,
    mean_service_time_s,
)
from lychee_policy.paths import PathTable
from lychee_policy.peers import GatewayTable, choose_carriers
from lychee_policy.permits import MAX_TURN_S, PERMIT_HOLD_S, Issued, PermitIssuer, PermitReserve
from lychee_policy.queue import DeadlineQueue, Waiter, can_meet_deadline
from lychee_policy.rate_limits import (
    MAX_RAISED_PER_S,
    LimitObservation,
    LimitTable,
    latest_observation,
    received_observation,
)
from lychee_policy.tracker import (
    INITIAL_RESPONSES,
    ResponseTime,
    expected_response_s,
    typical_response_s,
    warm_up_share,
)
from lychee_policy.turns import MAX_TURNS, TURN_S, wait_for_turn_s

__all__ = [
    "NON_IDEMPOTENT_EJECTION_S",
    "BASE_EJECTION_S",
    "INITIAL_RESPONSES",
    "ResponseTime",
    "Ejected",
    "HotKeyCounter",
    "InUse",
    "OutlierDetector",
    "Probing",
    "EjectionState",
    "expected_response_s",
    "is_slow",
    "is_stuck",
    "typical_response_s",
    "warm_up_share",
    "Candidate",
    "ClockChecker",
    "ColdReading",
    "ColdTime",
    "CopyRequest",
    "CrashTable",
    "EndedAttempt",
    "EVIDENCE_S",
    "FullServerSigns",
    "has_long_queue",
    "AnsweredWork",
    "OwnerAdmission",
    "OwnerLoad",
    "OwnerShares",
    "estimated_demand",
    "mean_service_time_s",
    "overdue_after_s",
    "AbsenceProof",
    "question_gap_s",
    "GatewayTable",
    "LateOpenings",
    "LinkUse",
    "MAX_LATE_S",
    "PathTable",
    "StreamUse",
    "sum_of_uses",
    "BLOCK_S",
    "MAX_REQUESTS",
    "SUSPECT_S",
    "Verdict",
    "ChoiceRule",
    "DeadlineQueue",
    "LeastConnections",
    "LimitObservation",
    "LimitTable",
    "MAX_RAISED_PER_S",
    "Issued",
    "MAX_TURN_S",
    "PERMIT_HOLD_S",
    "PermitIssuer",
    "PermitReserve",
    "Limits",
    "PowerOfTwo",
    "MIN_RETRIES",
    "RETRY_WINDOW_S",
    "RetryBudget",
    "RoundRobin",
    "RouteCopies",
    "Suppression",
    "MAX_TURNS",
    "TURN_S",
    "Waiter",
    "can_meet_deadline",
    "choose",
    "choose_carriers",
    "latest_observation",
    "limits_for",
    "received_observation",
    "received_reading",
    "wait_for_turn_s",
]
