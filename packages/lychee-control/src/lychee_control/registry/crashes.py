"""Requests under which backend servers end, as known to a control replica."""

from loguru import logger

from lychee_policy import CrashTable, Verdict
from lychee_types.clock import Clock
from lychee_types.crash_messages import KnownCrashes, KnownRequest


class CrashBoard:
    """What a replica knows of requests under which servers end.

    Every replica keeps it, so that the next leader begins with what the former one has told.

    :param clock: source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._table = CrashTable()

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._table)

    def record(self, requests: tuple[KnownRequest, ...]) -> bool:
        """Record what another process knows, and return whether a verdict has changed."""
        now = self._clock.monotonic()
        self._table.drop_old(now)
        changes = [self._merge(known, now) for known in requests]
        return any(changes)

    def news(self) -> KnownCrashes:
        """Return what all gateways are to know."""
        return KnownCrashes(requests=self._table.export_suspects(self._clock.monotonic()))

    def _merge(self, known: KnownRequest, now: float) -> bool:
        before = self._table.verdict(known.signature, now)
        self._table.merge(known, now)
        after = self._table.verdict(known.signature, now)
        if after is before:
            return False
        logger.bind(
            event="request_verdict",
            signature=known.signature.hex(),
            verdict=after.value,
            ends=self._table.count_ends(known.signature, now),
        ).log("WARNING" if after is Verdict.BLOCKED else "INFO", "a request's verdict has changed")
        return True
