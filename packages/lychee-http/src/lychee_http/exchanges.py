"""The exchanges of one connection that have no response yet, in the order of their requests."""

import asyncio
from collections.abc import Iterator

from lychee_http.caller_memory import Holding
from lychee_http.exchange import CallerExchange


class ExchangeQueue:
    """Exchanges without a response, up to a limit.

    :param limit: maximum number of exchanges.
    :param holding: what their connection holds.
    """

    def __init__(self, *, limit: int, holding: Holding) -> None:
        self._limit = limit
        self._holding = holding
        self._exchanges: list[CallerExchange] = []
        self._has_room = asyncio.Event()

    def __len__(self) -> int:
        return len(self._exchanges)

    def __iter__(self) -> Iterator[CallerExchange]:
        return iter(self._exchanges)

    def __getitem__(self, index: int) -> CallerExchange:
        return self._exchanges[index]

    @property
    def last_done(self) -> "asyncio.Future[None] | None":
        """Completed when the response to the last request has been sent; None without any."""
        return self._exchanges[-1].done if self._exchanges else None

    async def wait_for_room(self) -> None:
        """Wait until there are fewer than the limit, and what is held leaves room for another."""
        while len(self._exchanges) >= self._limit or (
            self._exchanges and not self._holding.has_room
        ):
            self._has_room.clear()
            await self._has_room.wait()

    async def wait_until_empty(self) -> None:
        """Wait until each exchange is done."""
        while self._exchanges:
            await asyncio.wait([exchange.done for exchange in self._exchanges])
            self.remove_done()

    def add(self, exchange: CallerExchange) -> None:
        """Add the exchange of the request that was read last."""
        self._exchanges.append(exchange)

    def remove_done(self) -> None:
        """Remove the exchanges that are done."""
        self._exchanges = [other for other in self._exchanges if not other.done.done()]
        self._has_room.set()

    def remove(self, exchanges: list[CallerExchange]) -> None:
        """Remove some exchanges."""
        self._exchanges = [other for other in self._exchanges if other not in exchanges]

    def first(self) -> CallerExchange | None:
        """Return the exchange whose response is due next."""
        return next((exchange for exchange in self._exchanges if not exchange.done.done()), None)

    def behind(self, exchange: CallerExchange) -> list[CallerExchange]:
        """Return the exchanges without a response that follow one."""
        if exchange not in self._exchanges:
            return []
        later = self._exchanges[self._exchanges.index(exchange) + 1 :]
        return [other for other in later if not other.done.done()]

    def before(self, exchange: CallerExchange) -> list[CallerExchange]:
        """Return the exchanges without a response that precede one."""
        if exchange not in self._exchanges:
            return []
        earlier = self._exchanges[: self._exchanges.index(exchange)]
        return [other for other in earlier if not other.done.done()]

    def streamed_before(self, exchange: CallerExchange) -> CallerExchange | None:
        """Return the first of them whose response can't be held back until it is whole."""
        return next((other for other in self.before(exchange) if not other.try_hold()), None)
