"""Rate limits of backend servers: what a replica knows of them, and the leader's permits."""

from loguru import logger

from lychee_control.registry.cold import ColdBoard
from lychee_policy import LimitTable, PermitIssuer, received_observation
from lychee_types.clock import Clock
from lychee_types.limit_messages import KnownLimits, ObservedLimit, PermitReply, PermitRequest
from lychee_types.registry import ServerIncarnation

NO_LEASE_RETRY_S = 0.2
"""Time after which gateways ask again if another replica may lead, in seconds."""


class LimitBoard:
    """What a replica knows of the servers' limits.

    Every replica keeps it, so that the next leader begins with what the former one has told.

    :param clock: source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._table = LimitTable()

    def __len__(self) -> int:
        """Return how many servers have a limit now."""
        return len(self._table)

    def limit_per_s(self, run: ServerIncarnation) -> float | None:
        """Return a server's limit in requests per second, None if it has none."""
        return self._table.limit_per_s(run)

    def record(self, limits: tuple[ObservedLimit, ...]) -> bool:
        """Record what another process knows, and return whether a limit has changed."""
        now = self._clock.monotonic()
        changed = [
            limit.run
            for limit in limits
            if self._table.record(limit.run, received_observation(limit, now))
        ]
        for run in changed:
            self._log_change(run)
        return bool(changed)

    def limited(self) -> tuple[ServerIncarnation, ...]:
        """Return the servers that have a limit now."""
        return self._table.limited()

    def raise_unconfirmed(self, run: ServerIncarnation, *, quiet_since: float) -> None:
        """Raise a limit that nobody has needed for a while.

        :param run: the server.
        :param quiet_since: monotonic time since which no request may have been sent, in seconds.
        """
        now = self._clock.monotonic()
        if self._table.raise_unconfirmed(run, quiet_since=quiet_since, now=now):
            self._log_change(run)

    def keep_only(self, runs: set[ServerIncarnation]) -> None:
        """Forget all servers but these."""
        self._table.keep_only(runs)

    def news(self) -> KnownLimits:
        """Return what is known, for gateways and other replicas."""
        return KnownLimits(limits=self._table.export_all(self._clock.monotonic()))

    def _log_change(self, run: ServerIncarnation) -> None:
        logger.bind(
            event="server_limit", server=run.server, limit_per_s=self._table.limit_per_s(run)
        ).info("a server's rate limit has changed")


class PermitDesk:
    """Issues permits while this replica leads.

    :param board: what is known of the limits.
    :param clock: source of time.
    :param cold: what is known of cold servers, None for nothing.
    """

    def __init__(self, *, board: LimitBoard, clock: Clock, cold: ColdBoard | None = None) -> None:
        self._board = board
        self._cold = cold
        self._clock = clock
        self._issuers: dict[ServerIncarnation, PermitIssuer] = {}
        self._began_at = clock.monotonic()

    def limit_per_s(self, run: ServerIncarnation, *, is_cold: bool = False) -> float | None:
        """Return the requests per second that a server takes, None if there is no limit.

        :param run: the server.
        :param is_cold: whether it counts as cold whatever is known here.
        """
        named_per_s = self._board.limit_per_s(run)
        cold_per_s = self._cold.rate_per_s(run, is_cold=is_cold) if self._cold is not None else None
        if cold_per_s is None or named_per_s is None:
            return named_per_s if cold_per_s is None else cold_per_s
        return min(named_per_s, cold_per_s)

    def answer(self, request: PermitRequest, *, holds_lease: bool) -> PermitReply:
        """Return the answer to a gateway.

        :param request: the gateway's question.
        :param holds_lease: whether no other replica can lead now.
        """
        run, now = request.limit.run, self._clock.monotonic()
        per_s = self.limit_per_s(run, is_cold=request.is_cold)
        count, retry_after_s = 0, NO_LEASE_RETRY_S
        if per_s is None:
            # The limit has ended, which the gateway learns from the board's news.
            self._issuers.pop(run, None)
        elif holds_lease:
            issued = self._issuer(run, per_s, now).issue(request.wanted, now)
            count, retry_after_s = issued.count, issued.retry_after_s
        return PermitReply(
            run=run,
            number=request.number,
            count=count,
            retry_after_ms=round(retry_after_s * 1_000),
        )

    def raise_unconfirmed(self) -> None:
        """Raise limits for which no permit was issued and that no answer has confirmed."""
        for run in self._board.limited():
            issuer = self._issuers.get(run)
            quiet_since = self._began_at if issuer is None else issuer.issued_at
            self._board.raise_unconfirmed(run, quiet_since=quiet_since)

    def keep_only(self, runs: set[ServerIncarnation]) -> None:
        """Forget all servers but these."""
        for run in self._issuers.keys() - runs:
            del self._issuers[run]

    def _issuer(self, run: ServerIncarnation, per_s: float, now: float) -> PermitIssuer:
        issuer = self._issuers.get(run)
        if issuer is None:
            issuer = self._issuers[run] = PermitIssuer(per_s=per_s, now=now)
        else:
            issuer.set_limit(per_s, now)
        return issuer
