"""Checks of what the servers ran against what the callers were told."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from enum import Enum
from typing import TypeVar

from msgspec import Struct

from lychee_bench.runs import Run

K = TypeVar("K")


class Outcome(Enum):
    """What a caller was told in the end."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    LOST = "lost"
    WRONG = "wrong"


class Call(Struct, frozen=True, kw_only=True):
    """One caller's request, resends included.

    :param request: its id.
    :param service: the service's name.
    :param group: service and key, or the service alone where requests are not keyed.
    :param key: its key.
    :param idempotency_key: its Idempotency-Key, empty if there is none.
    :param outcome: what the caller was told.
    :param sent_at: monotonic time of the first sending, in seconds.
    :param ended_at: monotonic time of the last answer, in seconds.
    :param attempts: how often it was sent.
    :param detail: the server that answered, or what went wrong.
    """

    request: str
    service: str
    group: str
    key: str
    idempotency_key: str
    outcome: Outcome
    sent_at: float
    ended_at: float
    attempts: int
    detail: str


class Violation(Struct, frozen=True, kw_only=True):
    """One broken promise.

    :param kind: which promise, for example ``doubled``.
    :param detail: where it was broken.
    """

    kind: str
    detail: str


DUPLICATE_RUN = "doubled"
LOST = "lost"
WRONG = "wrong"
RUN_NOT_OWNER = "run while not the owner"
OVERLAP = "overlapping runs of one key"
FALSE_NOT_RUN = "run although answered as not run"


def audit(*, calls: Sequence[Call], runs: Sequence[Run]) -> tuple[Violation, ...]:
    """Return every broken promise.

    :param calls: what the callers were told.
    :param runs: what the servers ran, in order of time.
    """
    checks = (
        _find_duplicate_runs(runs),
        _find_lost_requests(calls, runs),
        _find_false_not_run(calls, runs),
        _find_wrong_answers(calls),
    )
    return tuple(
        breach for check in (*checks, _find_ownership_violations(runs)) for breach in check
    )


def count_violations(breaches: Iterable[Violation], kind: str) -> int:
    """Return how many breaches are of that kind."""
    return sum(breach.kind == kind for breach in breaches)


def _find_duplicate_runs(runs: Sequence[Run]) -> Iterator[Violation]:
    for key, group in _group_by(runs, lambda run: run.began.idempotency_key).items():
        if key and len(group) > 1:
            yield Violation(kind=DUPLICATE_RUN, detail=f"{key}: {_describe(group)}")


def _find_lost_requests(calls: Sequence[Call], runs: Sequence[Run]) -> Iterator[Violation]:
    done = {run.began.idempotency_key for run in runs if run.ended and run.ended.done}
    for call in calls:
        if call.outcome is Outcome.LOST:
            yield Violation(kind=LOST, detail=f"{call.service} {call.request}: {call.detail}")
        if call.outcome is Outcome.ANSWERED and call.idempotency_key:
            if call.idempotency_key not in done:
                detail = f"{call.service} {call.request}: answered, but no server ran it"
                yield Violation(kind=LOST, detail=detail)


def _find_false_not_run(calls: Sequence[Call], runs: Sequence[Run]) -> Iterator[Violation]:
    run_keys = {run.began.idempotency_key for run in runs}
    for call in calls:
        if call.outcome is Outcome.NOT_RUN and call.idempotency_key in run_keys - {""}:
            yield Violation(kind=FALSE_NOT_RUN, detail=f"{call.service} {call.request}")


def _find_wrong_answers(calls: Sequence[Call]) -> Iterator[Violation]:
    for call in calls:
        if call.outcome is Outcome.WRONG:
            yield Violation(kind=WRONG, detail=f"{call.service} {call.request}: {call.detail}")


def _find_ownership_violations(runs: Sequence[Run]) -> Iterator[Violation]:
    keyed = [run for run in runs if run.began.token]
    for group in _group_by(keyed, lambda run: (run.service, run.began.key)).values():
        yield from _find_key_violations(group)


def _find_key_violations(group: Sequence[Run]) -> Iterator[Violation]:
    """Yield the runs of one key, in order of time, that were not the owner's.

    A run breaks ownership if another server has begun a run with a higher token, or with the
    same one, before it.
    """
    newest = group[0]
    for run in group[1:]:
        if run.server != newest.server:
            if run.began.token <= newest.began.token:
                yield Violation(kind=RUN_NOT_OWNER, detail=_describe([newest, run]))
            elif _overlaps(newest, run):
                yield Violation(kind=OVERLAP, detail=_describe([newest, run]))
        if run.began.token >= newest.began.token:
            newest = run


def _overlaps(earlier: Run, later: Run) -> bool:
    """Return whether a run at a checking server took effect after a later owner had begun."""
    if earlier.ended is None or not earlier.ended.done or not earlier.checks_tokens:
        return False
    return earlier.ended.at > later.began.at


def _describe(runs: Iterable[Run]) -> str:
    return "; ".join(
        f"key {run.began.key} request {run.began.request} at {run.server}"
        f" token {run.began.token} from {run.began.at:.3f}"
        for run in runs
    )


def _group_by(runs: Iterable[Run], key: Callable[[Run], K]) -> dict[K, list[Run]]:
    groups: dict[K, list[Run]] = defaultdict(list)
    for run in runs:
        groups[key(run)].append(run)
    return groups
