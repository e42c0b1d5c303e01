"""Ownership decisions, simulated in this process: placement, revocation, hot keys, cost."""

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
"""Sizes of both users' current deployments."""

LARGE_SIZES = SIZES[2:3]
"""Size of a deployment with hundreds of servers."""


@dataclass(frozen=True, kw_only=True)
class PlacementQuality:
    """Imbalance, churn and bytes sent of each placement policy.

    :param sizes: sizes of the deployments.
    :param repeats: number of servers on which each event of a single server is tried.
    """

    sizes: tuple[DeploymentSize, ...]
    repeats: int = 5


@dataclass(frozen=True, kw_only=True)
class RevocationCost:
    """Messages, bytes and time of each method to revoke a lost server's keys."""


@dataclass(frozen=True, kw_only=True)
class HotKeyBalance:
    """Imbalance while the hottest keys change."""


@dataclass(frozen=True, kw_only=True)
class LeaderCost:
    """CPU and memory of the leader's decisions, by size of the deployment."""


def measure_placements(experiment: PlacementQuality) -> Iterator[Measurement]:
    """Yield the measurements of each size, policy and event."""
    for row in compare_placements(experiment.sizes, repeats=experiment.repeats):
        name = _dotted("placement", row.size, row.policy, row.event)
        churn = row.moved / row.min_moves if row.min_moves else 0.0
        yield Measurement(name=f"{name}.imbalance", value=row.imbalance, unit="max/mean")
        yield Measurement(name=f"{name}.churn", value=churn, unit="moved/least")
        yield Measurement(name=f"{name}.shipped", value=row.shipped_bytes, unit="B/gateway")
        yield Measurement(name=f"{name}.compute", value=row.compute_ms, unit="ms")


def measure_revocations() -> Iterator[Measurement]:
    """Yield the measurements of each method and number of cached owners."""
    for row in compare_revocations():
        name = _dotted("revocation", row.method, str(row.cached))
        yield Measurement(name=f"{name}.messages", value=row.messages, unit="messages/gateway")
        yield Measurement(name=f"{name}.bytes", value=row.sent_bytes, unit="B/gateway")
        yield Measurement(name=f"{name}.leader", value=row.leader_ms, unit="ms")
        yield Measurement(name=f"{name}.gateway", value=row.gateway_ms, unit="ms")


def measure_hot_keys() -> Iterator[Measurement]:
    """Yield the measurements of each size and budget of hot keys."""
    for row in simulate_hot_keys():
        name = _dotted("hot-keys", row.size, str(row.budget))
        yield Measurement(name=f"{name}.imbalance", value=row.imbalance, unit="max/mean")
        yield Measurement(
            name=f"{name}.imbalance_settled", value=row.settled_imbalance, unit="max/mean"
        )
        yield Measurement(name=f"{name}.settles", value=row.settle_s, unit="s")
        yield Measurement(name=f"{name}.churn", value=row.moved, unit="keys/change")


def measure_leader_cost() -> Iterator[Measurement]:
    """Yield the measurements of each size of deployment."""
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
