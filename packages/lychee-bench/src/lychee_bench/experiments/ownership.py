"""Decisions on ownership, measured without processes: placement, revocation, hot keys, cost."""

from collections.abc import Iterator
from dataclasses import dataclass

from lychee_bench.measure import Measurement
from lychee_owner.experiment import (
    compare_placements,
    compare_revocations,
    measure_cost,
    simulate_hot_keys,
)
from lychee_owner.experiment.placement import SIZES, DeploymentSize

CURRENT_SIZES = SIZES[:2]
"""Both users' sizes of today."""

LARGE_SIZES = SIZES[2:3]
"""A size of hundreds of servers."""


@dataclass(frozen=True, kw_only=True)
class Placements:
    """Imbalance, churn and bytes shipped of each way to place shards.

    :param sizes: the deployments.
    :param repeats: how many servers each event of one server is tried on.
    """

    sizes: tuple[DeploymentSize, ...]
    repeats: int = 5


@dataclass(frozen=True, kw_only=True)
class Revocations:
    """Messages, bytes and time of each way to revoke a lost server's keys."""


@dataclass(frozen=True, kw_only=True)
class HotKeys:
    """Imbalance while the hottest keys change."""


@dataclass(frozen=True, kw_only=True)
class LeaderCost:
    """CPU and memory of the leader's decisions by the deployment's size."""


def measure_placements(experiment: Placements) -> Iterator[Measurement]:
    """Yield the figures of each size, way and event."""
    for row in compare_placements(experiment.sizes, repeats=experiment.repeats):
        name = _dotted("placement", row.size, row.policy, row.event)
        churn = row.moved / row.min_moves if row.min_moves else 0.0
        yield Measurement(name=f"{name}.imbalance", value=row.imbalance, unit="max/mean")
        yield Measurement(name=f"{name}.churn", value=churn, unit="moved/least")
        yield Measurement(name=f"{name}.shipped", value=row.shipped_bytes, unit="B/gateway")
        yield Measurement(name=f"{name}.compute", value=row.compute_ms, unit="ms")


def measure_revocations() -> Iterator[Measurement]:
    """Yield the figures of each way and number of cached owners."""
    for row in compare_revocations():
        name = _dotted("revocation", row.method, str(row.cached))
        yield Measurement(name=f"{name}.messages", value=row.messages, unit="messages/gateway")
        yield Measurement(name=f"{name}.bytes", value=row.sent_bytes, unit="B/gateway")
        yield Measurement(name=f"{name}.leader", value=row.leader_ms, unit="ms")
        yield Measurement(name=f"{name}.gateway", value=row.gateway_ms, unit="ms")


def measure_hot_keys() -> Iterator[Measurement]:
    """Yield the figures of each size and budget of hot keys."""
    for row in simulate_hot_keys():
        name = _dotted("hot-keys", row.size, str(row.budget))
        yield Measurement(name=f"{name}.imbalance", value=row.imbalance, unit="max/mean")
        yield Measurement(
            name=f"{name}.imbalance_settled", value=row.settled_imbalance, unit="max/mean"
        )
        yield Measurement(name=f"{name}.settles", value=row.settle_s, unit="s")
        yield Measurement(name=f"{name}.churn", value=row.moved, unit="keys/change")


def measure_leader_cost() -> Iterator[Measurement]:
    """Yield the figures of each size of deployment."""
    for row in measure_cost():
        size = f"g{row.gateways}-s{row.servers}-h{row.shards}-k{row.hot_keys}"
        name = _dotted("leader", size)
        yield Measurement(name=f"{name}.renewal", value=row.renewal_us, unit="us")
        yield Measurement(name=f"{name}.announcement", value=row.announcement_us, unit="us")
        yield Measurement(name=f"{name}.report", value=row.report_us, unit="us")
        yield Measurement(name=f"{name}.look", value=row.tick_us, unit="us/tick")
        yield Measurement(name=f"{name}.loss", value=row.loss_ms, unit="ms")
        yield Measurement(name=f"{name}.begin", value=row.begin_bytes, unit="B")
        yield Measurement(name=f"{name}.state", value=row.state_bytes / 1e6, unit="MB")


def _dotted(*parts: str) -> str:
    return ".".join(part.replace(" ", "-") for part in parts)
