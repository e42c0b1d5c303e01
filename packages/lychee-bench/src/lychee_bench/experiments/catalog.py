"""The registry of experiments, and how each kind is run."""

from collections.abc import Mapping

from lychee_bench.experiments.choice import Choice, Scenario, measure_choice
from lychee_bench.experiments.control import (
    Commits,
    ControlCost,
    Force,
    Recovery,
    measure_commits,
    measure_cost,
    measure_force,
    measure_recovery,
)
from lychee_bench.experiments.loss import (
    Lost,
    PlannedDrain,
    Unavailable,
    measure_drain,
    measure_loss,
)
from lychee_bench.experiments.ownership import (
    LARGE,
    TODAY,
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
from lychee_bench.experiments.setting import Setting
from lychee_bench.measure import Measure

Experiment = (
    ProxySpeed
    | AddedLatency
    | CallerMemory
    | Unavailable
    | PlannedDrain
    | Force
    | ControlCost
    | Commits
    | Recovery
    | Choice
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
    "lost-server": Unavailable(lost=Lost.SERVER),
    "lost-gateway": Unavailable(lost=Lost.GATEWAY),
    "lost-leader": Unavailable(lost=Lost.LEADER),
    "lost-domain": Unavailable(lost=Lost.DOMAIN),
    "drain": PlannedDrain(),
    "force": Force(),
    "control": ControlCost(),
    "commits": Commits(),
    "recovery": Recovery(),
    "choice-speeds": Choice(scenario=Scenario.SPEEDS),
    "choice-slow": Choice(scenario=Scenario.SLOW),
    "choice-cold": Choice(scenario=Scenario.COLD),
    "choice-overload": Choice(scenario=Scenario.OVERLOAD, load=2.0),
    "placement": Placements(sizes=TODAY),
    "placement-large": Placements(sizes=LARGE, repeats=1),
    "revocation": Revocations(),
    "hot-keys": HotKeys(),
    "leader-cost": LeaderCost(),
}
"""Experiments by name."""


async def run_experiment(experiment: Experiment, setting: Setting) -> list[Measure]:
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
        case Unavailable():
            return await measure_loss(experiment, setting)
        case PlannedDrain():
            return await measure_drain(experiment, setting)
        case Force():
            return await measure_force(experiment, setting)
        case ControlCost():
            return await measure_cost(experiment, setting)
        case Commits():
            return await measure_commits(experiment, setting)
        case Recovery():
            return await measure_recovery(experiment, setting)
        case Choice():
            return await measure_choice(experiment, setting)
        case Placements():
            return list(measure_placements(experiment))
        case Revocations():
            return list(measure_revocations())
        case HotKeys():
            return list(measure_hot_keys())
        case LeaderCost():
            return list(measure_leader_cost())
