"""Log lines on the evacuation of failure domains, as this gateway learns of it."""

from loguru import logger

from lychee_gateway.proxy.view import RoutedView
from lychee_types.ids import DomainName


class EvacuationLog:
    """Logs each evacuation that begins or ends in the gateway's state.

    :param view: the gateway's copy of the replicated state.
    """

    def __init__(self, *, view: RoutedView) -> None:
        self._view = view
        self._evacuated: frozenset[DomainName] = frozenset()

    def update(self) -> None:
        """Log what has changed since the last call."""
        state = self._view.state
        if state.evacuated == self._evacuated:
            return
        for domain in sorted(state.evacuated ^ self._evacuated):
            logger.bind(
                event="evacuation",
                domain=domain,
                is_evacuated=domain in state.evacuated,
                index=state.index,
                servers=sum(server.domain == domain for server in state.servers.values()),
            ).info(
                "the evacuation of a failure domain has {}",
                "begun" if domain in state.evacuated else "ended",
            )
        self._evacuated = frozenset(state.evacuated)
