"""The registry of experiments, and how each kind is run."""

from collections.abc import Mapping

from lychee_bench.experiments.choice import Scenario, ServerChoice, measure_choice
from lychee_bench.experiments.control import (
    Commits,
    ControlCost,
    Recovery,
    RolloutTime,
    measure_commits,
    measure_cost,
    measure_recovery,
    measure_rollout,
)
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
    HotKeys,
    LeaderCost,
    Placements,
    Revocations,
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
    | Commits
    | Recovery
    | ServerChoice
    | Placements
    | Revocations
    | HotKeys
    | LeaderCost
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
    "commits": Commits(),
    "recovery": Recovery(),
    "choice-speeds": ServerChoice(scenario=Scenario.SPEEDS),
    "choice-slow": ServerChoice(scenario=Scenario.SLOW),
    "choice-cold": ServerChoice(scenario=Scenario.COLD),
    "choice-overload": ServerChoice(scenario=Scenario.OVERLOAD, load=2.0),
    "placement": Placements(sizes=CURRENT_SIZES),
    "placement-large": Placements(sizes=LARGE_SIZES, repeats=1),
    "revocation": Revocations(),
    "hot-keys": HotKeys(),
    "leader-cost": LeaderCost(),
}
"""Experiments by name."""


async def run_experiment(experiment: Experiment, setting: ExperimentContext) -> list[Measurement]:
    """Run one experiment and return its figures.

    :param experiment: what to measure.
    :param setting: where it runs.
    """
    match experiment:
        case ProxySpeed():
            return await measure_speed(experiment, setting)
        case AddedLatency():
            return await measure_latency(experiment, setting)
        case CallerMemory():
            return await measure_memory(experiment, setting)
        case UnavailableAfterLoss():
            return await measure_loss(experiment, setting)
        case PlannedDrain():
            return await measure_drain(experiment, setting)
        case RolloutTime():
            return await measure_rollout(experiment, setting)
        case ControlCost():
            return await measure_cost(experiment, setting)
        case Commits():
            return await measure_commits(experiment, setting)
        case Recovery():
            return await measure_recovery(experiment, setting)
        case ServerChoice():
            return await measure_choice(experiment, setting)
        case Placements():
            return list(measure_placements(experiment))
        case Revocations():
            return list(measure_revocations())
        case HotKeys():
            return list(measure_hot_keys())
        case LeaderCost():
            return list(measure_leader_cost())
