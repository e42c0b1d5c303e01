"""Simulate a request that ends servers at several gateways, by a clock of its own."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from lychee_policy.crashes import CrashTable, EndedAttempt, Verdict
from lychee_types.ids import Incarnation, RequestSignature, ServerId
from lychee_types.registry import ServerIncarnation

SIGNATURE = RequestSignature(b"crashing")

RUN_S = 0.07
"""Time for which a server has the request until it ends, in seconds."""

RETRY_PAUSE_S = 0.02
"""Time after which a caller repeats a failed request, in seconds."""

NEWS_S = 0.4
"""Time after which all gateways know what one has seen, in seconds."""

CONTACT_S = 3.0
"""Time after the third ended server from which arrivals are counted, in seconds."""


class CrashRule(Enum):
    """What gateways know of the request."""

    SHARED = "shared"
    EACH_ALONE = "each-alone"
    NOTHING = "nothing"


@dataclass(frozen=True, kw_only=True)
class CrashLoad:
    """A request that ends every server which runs it, and comes again.

    :param gateways: number of gateways; each call is at a random one.
    :param rule: what the gateways know.
    :param interval_s: time between its repeats, in seconds.
    :param retries: how often its caller repeats it at once each time.
    :param attempts: maximum number of servers for each call.
    :param seed: seed of the random numbers.
    """

    gateways: int
    rule: CrashRule = CrashRule.SHARED
    interval_s: float = 3.5
    retries: int = 2
    attempts: int = 2
    seed: int = 1


class CrashSimulation:
    """Simulates the gateways; servers are always enough.

    :param load: the request.
    """

    def __init__(self, load: CrashLoad) -> None:
        self._load = load
        self._rng = Random(load.seed)
        self._tables = [CrashTable() for _ in range(load.gateways)]
        self._news: deque[tuple[ServerIncarnation, EndedAttempt]] = deque()
        self._arrivals: list[float] = []

    def run(self, seconds: float) -> list[float]:
        """Return the times at which the request arrives at servers, in seconds."""
        repeat_at = 0.0
        while repeat_at < seconds:
            now = repeat_at
            for _ in range(1 + self._load.retries):
                now = self._call(now) + RETRY_PAUSE_S
            repeat_at += self._load.interval_s
        return self._arrivals

    def _call(self, now: float) -> float:
        """Make one call at a random gateway, and return when it has ended."""
        table = self._rng.choice(self._tables)
        for attempt in range(self._load.attempts):
            self._deliver_news(now)
            verdict = table.verdict(SIGNATURE, now)
            if verdict is Verdict.BLOCKED or (verdict is Verdict.SUSPECTED and attempt):
                return now
            now = self._attempt(table, now)
        return now

    def _attempt(self, table: CrashTable, now: float) -> float:
        """Send the request to a server, and return when that has ended."""
        self._arrivals.append(now)
        name = ServerId(f"s{len(self._arrivals)}")
        run = ServerIncarnation(server=name, incarnation=Incarnation(1))
        end = EndedAttempt(sent_at=now, ended_at=now + RUN_S)
        match self._load.rule:
            case CrashRule.SHARED:
                table.record_end(SIGNATURE, run, end)
                self._news.append((run, end))
            case CrashRule.EACH_ALONE:
                table.record_end(SIGNATURE, run, end)
        return end.ended_at

    def _deliver_news(self, now: float) -> None:
        while self._news and self._news[0][1].ended_at + NEWS_S <= now:
            run, end = self._news.popleft()
            for table in self._tables:
                table.record_end(SIGNATURE, run, end)


def arrivals_after_the_third_end(arrivals: Sequence[float]) -> int:
    """Return how many arrivals are later than :data:`CONTACT_S` after the third ended server.

    :param arrivals: times in seconds, in order.
    """
    if len(arrivals) < 3:
        return 0
    known_at = arrivals[2] + RUN_S + CONTACT_S
    return sum(at > known_at for at in arrivals)
