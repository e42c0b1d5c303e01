"""A control replica's state for operators."""

from msgspec import Struct

from lychee_log import ReplicaDump
from lychee_types.ids import DomainName
from lychee_types.registry import RoutedImage


class RegistryDump(Struct, frozen=True, kw_only=True):
    """Dump of a control replica of a routed deployment.

    :param id: the replica's id.
    :param domain: its failure domain.
    :param leads: whether it does the leader's work.
    :param gateways: number of gateways attached to it.
    :param callers: number of open connections of servers and operators.
    :param callers_max: maximum number of them, None for no limit.
    :param callers_mb: memory that they take up by the replica's account, in MB.
    :param callers_peak_mb: the most that they have taken up since the start, in MB.
    :param callers_bound_mb: bound on it, in MB.
    :param cold: number of servers that are cold.
    :param overloaded: number of overloaded owners of keys, as known to the leader.
    :param log: the replicated log's own dump, None before it has started.
    :param image: the replicated state.
    """

    id: str
    domain: DomainName
    leads: bool
    gateways: int
    callers: int
    callers_max: int | None
    callers_mb: float
    callers_peak_mb: float
    callers_bound_mb: float
    cold: int
    overloaded: int
    log: ReplicaDump | None
    image: RoutedImage
