"""Cold servers, as known to this gateway: their rates, and the news of them from and for others."""

from lychee_gateway.proxy.server_list import ServerList
from lychee_gateway.proxy.servers import ProxyServer
from lychee_policy import received_reading
from lychee_types.clock import Clock
from lychee_types.cold_messages import ColdReport, KnownCold
from lychee_types.registry import ServerIncarnation

MAX_SEND_DELAY_S = 0.25
"""Maximum time between the permit for a request and its being sent to a cold server, in seconds.

Otherwise requests that wait for connections to a slow server would all be sent at the same time.
"""


class ColdServers:
    """The servers that are cold.

    :param servers: the servers.
    :param clock: source of time.
    """

    def __init__(self, *, servers: ServerList, clock: Clock) -> None:
        self._servers = servers
        self._clock = clock

    def count(self) -> int:
        """Return how many servers are cold."""
        now = self._clock.monotonic()
        return sum(server.is_cold(now) for server in self._servers.all())

    def rate_per_s(self, run: ServerIncarnation) -> float | None:
        """Return the requests per second that a cold server can handle, None if it is not cold."""
        server = self._servers.find(run)
        if server is None or server.cold_rule is None:
            return None
        return server.cold_rule.per_s if server.is_cold(self._clock.monotonic()) else None

    def may_send(self, server: ProxyServer, *, selected_at: float) -> bool:
        """Return whether a request may still be sent to the server that was selected for it.

        A cold server gets it only soon after its permit, and not if the server has become cold
        since it was selected without one. This holds for one that has been removed meanwhile, too.

        :param server: the server.
        :param selected_at: monotonic time at which the server was selected, in seconds.
        """
        if server.cold_rule is None:
            return True
        now = self._clock.monotonic()
        if not server.is_cold(now):
            return True
        return server.cold_since <= selected_at and now - selected_at <= MAX_SEND_DELAY_S

    def receive_news(self, news: KnownCold) -> None:
        """Record what the leader knows of cold servers."""
        now = self._clock.monotonic()
        for observed in news.servers:
            server = self._servers.find(observed.run)
            if server is not None:
                server.record_cold_reading(received_reading(observed, now), now)

    def take_report(self) -> ColdReport | None:
        """Return what servers have told this gateway since the last call, None for nothing new."""
        now = self._clock.monotonic()
        news = (server.take_cold_news(now) for server in self._servers.all())
        servers = tuple(observed for observed in news if observed is not None)
        return ColdReport(servers=servers) if servers else None
