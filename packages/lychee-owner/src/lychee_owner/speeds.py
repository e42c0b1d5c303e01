"""Speeds of backend servers estimated from response times, with hysteresis."""

from collections.abc import Collection, Iterable
from statistics import median

from lychee_owner.loads import LoadTracker
from lychee_types.commands import SetSpeed
from lychee_types.ids import ServerId
from lychee_types.records import ServerRecord

MIN_RESPONSES = 50
"""Number of recent responses below which a server's speed is not measured."""

MIN_MEASURED_SERVERS = 3
"""Number of measured servers below which no speed is set."""

SUSTAINED_DIFFERENCE_S = 10.0
"""Time in seconds for which a measured speed must differ before it is set."""

MIN_SPEED = 0.05
MAX_SPEED = 20.0
"""Range to which measured speeds are limited."""


class SpeedEstimator:
    """Decides when the measured speed of a server replaces the recorded one.

    :param loads: response counts and times of the servers.
    """

    def __init__(self, *, loads: LoadTracker) -> None:
        self._loads = loads
        self._differs_since: dict[ServerId, float] = {}

    def commands(
        self, *, now: float, servers: Collection[ServerRecord], min_change: float
    ) -> Iterable[SetSpeed]:
        """Return the commands that set new speeds for servers of a service.

        Hysteresis prevents that small or short changes of speed move keys.

        :param now: the leader's monotonic time in seconds.
        :param servers: servers of the service.
        :param min_change: relative change up to which the recorded speed is kept.
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
        """Return the measured speeds, scaled to the recorded ones by the median server.

        :param now: the leader's monotonic time in seconds.
        :param servers: servers of the service.
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
