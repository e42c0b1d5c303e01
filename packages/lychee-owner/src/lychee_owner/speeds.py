"""Measured speeds of backend servers, with hysteresis."""

from collections.abc import Collection, Iterable
from statistics import median

from lychee_owner.loads import LoadTracker
from lychee_types.commands import SetSpeed
from lychee_types.ids import ServerId
from lychee_types.records import ServerRecord

MIN_RESPONSES = 50
"""Number of recent answers below which a server's speed is not measured."""

MIN_MEASURED_SERVERS = 3
"""Number of measured servers below which no speed is set."""

SUSTAINED_DIFFERENCE_S = 10.0
"""Time in seconds for which a speed must differ before it is set."""

MIN_SPEED = 0.05
MAX_SPEED = 20.0
"""Range of speeds that are set."""


class SpeedEstimator:
    """Decides when the measured speed of a server takes the place of the known one.

    :param loads: load of the servers.
    """

    def __init__(self, *, loads: LoadTracker) -> None:
        self._loads = loads
        self._differs_since: dict[ServerId, float] = {}

    def commands(
        self, *, now: float, servers: Collection[ServerRecord], min_change: float
    ) -> Iterable[SetSpeed]:
        """Return the speeds of a service's servers to set.

        Hysteresis keeps small and short changes from moving keys.

        :param now: the leader's time in seconds.
        :param servers: the service's servers.
        :param change: relative change below which a speed is kept.
        """
        measured = self.measured(now=now, servers=servers)
        for server in servers:
            speed = measured.get(server.id, server.speed)
            if abs(speed / server.speed - 1.0) <= min_change:
                self._differs_since.pop(server.id, None)
                continue
            since = self._differs_since.setdefault(server.id, now)
            if now >= since + SUSTAINED_DIFFERENCE_S:
                del self._differs_since[server.id]
                yield SetSpeed(server=server.id, speed=speed)

    def measured(self, *, now: float, servers: Collection[ServerRecord]) -> dict[ServerId, float]:
        """Return the measured speeds, in the scale of the known ones.

        :param now: the leader's time in seconds.
        :param servers: the service's servers.
        """
        times = {
            server.id: self._loads.mean_response_ms(now=now, server=server.id)
            for server in servers
            if self._loads.response_count(now=now, server=server.id) >= MIN_RESPONSES
        }
        works = [server.speed * times[server.id] for server in servers if times.get(server.id)]
        if len(works) < MIN_MEASURED_SERVERS:
            return {}
        work = median(works)
        return {
            server: min(max(round(work / time_ms, 3), MIN_SPEED), MAX_SPEED)
            for server, time_ms in times.items()
            if time_ms
        }
