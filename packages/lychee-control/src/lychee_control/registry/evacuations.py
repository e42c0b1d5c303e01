"""Operators' orders to evacuate a failure domain, or to end that."""

from loguru import logger

from lychee_control.registry.orders import (
    ApiReply,
    EvacuationOrder,
    EvacuationSet,
    Unavailable,
    UnknownDomain,
)
from lychee_control.registry.proposals import Propose
from lychee_ranges import RoutedState
from lychee_types.ids import DomainName
from lychee_types.registry_commands import Applied, EvacuateDomain


class EvacuationDesk:
    """Commits orders to evacuate a failure domain, while this replica leads.

    An order is committed also if it is in force already: an opposite one may be under way, and the
    last committed one wins.

    :param state: the replicated state.
    :param domains: the failure domains that can be evacuated; if empty, any name is accepted.
    :param propose: commits a command.
    """

    def __init__(
        self, *, state: RoutedState, domains: tuple[DomainName, ...], propose: Propose
    ) -> None:
        self._state = state
        self._domains = frozenset(domains)
        self._propose = propose

    async def answer(self, order: EvacuationOrder) -> ApiReply:
        """Commit an order and return the reply; nothing but the commit is waited for."""
        if not self._is_known(order.domain):
            return UnknownDomain(domain=order.domain)
        was_evacuated = order.domain in self._state.evacuated
        command = EvacuateDomain(domain=order.domain, is_evacuated=order.is_evacuated)
        outcome = await self._propose(command)
        is_committed = isinstance(outcome, Applied)
        logger.bind(
            event="evacuation",
            domain=order.domain,
            is_evacuated=order.is_evacuated,
            was_evacuated=was_evacuated,
            is_committed=is_committed,
            servers=sum(item.domain == order.domain for item in self._state.servers.values()),
        ).info(
            "the order to {} an evacuation is {}",
            "start" if order.is_evacuated else "end",
            "committed" if is_committed else "not known to be committed",
        )
        if not is_committed:
            return Unavailable(reason="the evacuation is not known to be committed")
        self._warn_if_none_is_left()
        return EvacuationSet(domain=order.domain, is_evacuated=order.is_evacuated)

    def _is_known(self, domain: DomainName) -> bool:
        """Return whether a domain can be evacuated, or is, so that its evacuation can be ended."""
        return not self._domains or domain in self._domains or domain in self._state.evacuated

    def _warn_if_none_is_left(self) -> None:
        """Warn if all domains are evacuated: those of the settings and of registered servers."""
        used = {server.domain for server in self._state.servers.values()} | self._domains
        if used and used <= self._state.evacuated:
            logger.bind(event="all_evacuated", domains=sorted(used)).warning(
                "all failure domains are evacuated; no server gets requests"
            )
