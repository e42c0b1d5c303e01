"""Rate limits of backend servers, as known to this gateway."""

from loguru import logger

from lychee_gateway.proxy.metrics import ProxyMetrics
from lychee_policy import LimitObservation, latest_observation
from lychee_types.registry import ServerIncarnation


class ServerLimits:
    """The limits that servers have named, by incarnation.

    :param metrics: the gateway's metrics.
    """

    def __init__(self, *, metrics: ProxyMetrics) -> None:
        self._metrics = metrics
        self._observations: dict[ServerIncarnation, LimitObservation] = {}

    def __len__(self) -> int:
        """Return how many servers have a limit now."""
        return sum(known.per_s is not None for known in self._observations.values())

    def limit_per_s(self, run: ServerIncarnation) -> float | None:
        """Return a server's limit in requests per second, None if it has none."""
        known = self._observations.get(run)
        return known.per_s if known is not None else None

    def record(self, run: ServerIncarnation, observation: LimitObservation) -> None:
        """Record what an answer says of its server's limit."""
        known = self._observations.get(run)
        if known is None and observation.per_s is None:
            return
        latest = latest_observation(known, observation)
        self._observations[run] = latest
        before = known.per_s if known is not None else None
        if latest.per_s != before:
            logger.bind(
                event="server_limit",
                server=run.server,
                limit_per_s=latest.per_s,
                limit_before_per_s=before,
            ).info("a server's rate limit has changed")

    def count_attempt(self, run: ServerIncarnation) -> None:
        """Count a request that is sent to a server, if the server has a limit."""
        if self.limit_per_s(run) is not None:
            self._metrics.count_limited_attempt(run.server)

    def forget_others(self, runs: set[ServerIncarnation]) -> None:
        """Forget all servers but these."""
        self._observations = {
            run: known for run, known in self._observations.items() if run in runs
        }
