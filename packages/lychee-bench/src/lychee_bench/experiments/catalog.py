"""The experiments by name, and the function that runs each kind."""

from collections.abc import Mapping

from lychee_bench.experiments.choice import Scenario, ServerChoice, measure_choice
from lychee_bench.experiments.control import (
    CommitRate,
    ControlCost,
    RecoveryTime,
    RolloutTime,
    measure_commits,
    measure_cost,
    measure_recovery,
    measure_rollout,
)
from lychee_bench.experiments.crashes import CrashingRequest, measure_crashing_request
from lychee_bench.experiments.cuts import CutGateways, measure_cut_gateways
from lychee_bench.experiments.limits import SharedLimit, measure_shared_limit
from lychee_bench.experiments.loss import (
    LostComponent,
    PlannedDrain,
    UnavailableAfterLoss,
    measure_drain,
    measure_loss,
)
from lychee_bench.experiments.ownership import (
    CURRENT_SIZES,
    LARGE_SIZES,
    HotKeyBalance,
    LeaderCost,
    PlacementQuality,
    RevocationCost,
    measure_hot_keys,
    measure_leader_cost,
    measure_placements,
    measure_revocations,
)
from lychee_bench.experiments.path import (
    AddedLatency,
    CallerMemory,
    ProxySpeed,
    measure_latency,
    measure_memory,
    measure_speed,
)
from lychee_bench.experiments.setting import ExperimentContext
from lychee_bench.measure import Measurement

Experiment = (
    ProxySpeed
    | AddedLatency
    | CallerMemory
    | UnavailableAfterLoss
    | PlannedDrain
    | RolloutTime
    | ControlCost
    | CommitRate
    | RecoveryTime
    | ServerChoice
    | PlacementQuality
    | RevocationCost
    | HotKeyBalance
    | LeaderCost
    | SharedLimit
    | CrashingRequest
    | CutGateways
)

EXPERIMENTS: Mapping[str, Experiment] = {
    "path-small": ProxySpeed(answer_bytes=512),
    "path-64k": ProxySpeed(answer_bytes=65_536),
    "latency": AddedLatency(),
    "memory": CallerMemory(),
    "lost-server": UnavailableAfterLoss(lost=LostComponent.SERVER),
    "lost-gateway": UnavailableAfterLoss(lost=LostComponent.GATEWAY),
    "lost-leader": UnavailableAfterLoss(lost=LostComponent.LEADER),
    "lost-domain": UnavailableAfterLoss(lost=LostComponent.DOMAIN),
    "drain": PlannedDrain(),
    "force": RolloutTime(),
    "control": ControlCost(),
    "commits": CommitRate(),
    "recovery": RecoveryTime(),
    "choice-speeds": ServerChoice(scenario=Scenario.SPEEDS),
    "choice-slow": ServerChoice(scenario=Scenario.SLOW),
    "choice-cold": ServerChoice(scenario=Scenario.COLD),
    "choice-overload": ServerChoice(scenario=Scenario.OVERLOAD, load=2.0),
    "placement": PlacementQuality(sizes=CURRENT_SIZES),
    "placement-large": PlacementQuality(sizes=LARGE_SIZES, repeats=1),
    "revocation": RevocationCost(),
    "hot-keys": HotKeyBalance(),
    "leader-cost": LeaderCost(),
    "shared-limit": SharedLimit(),
    "crashing-request": CrashingRequest(),
    "cut-gateways": CutGateways(),
}
"""Experiments by name."""


async def run_experiment(experiment: Experiment, context: ExperimentContext) -> list[Measurement]:
    """Run one experiment and return its measurements.

    :param experiment: parameters of the experiment.
    :param context: where it runs.
    """
    match experiment:
        case ProxySpeed():
            return await measure_speed(experiment, context)
        case AddedLatency():
            return await measure_latency(experiment, context)
        case CallerMemory():
            return await measure_memory(experiment, context)
        case UnavailableAfterLoss():
            return await measure_loss(experiment, context)
        case PlannedDrain():
            return await measure_drain(experiment, context)
        case RolloutTime():
            return await measure_rollout(experiment, context)
        case ControlCost():
            return await measure_cost(experiment, context)
        case CommitRate():
            return await measure_commits(experiment, context)
        case RecoveryTime():
            return await measure_recovery(experiment, context)
        case ServerChoice():
            return await measure_choice(experiment, context)
        case PlacementQuality():
            return list(measure_placements(experiment))
        case RevocationCost():
            return list(measure_revocations())
        case HotKeyBalance():
            return list(measure_hot_keys())
        case LeaderCost():
            return list(measure_leader_cost())
        case SharedLimit():
            return list(measure_shared_limit(experiment))
        case CrashingRequest():
            return list(measure_crashing_request(experiment))
        case CutGateways():
            return list(measure_cut_gateways(experiment))
