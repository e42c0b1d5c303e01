"""Comparison of the requests that the servers ran with the outcomes that the callers got."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from enum import Enum
from typing import TypeVar

from msgspec import Struct

from lychee_bench.runs import Run

K = TypeVar("K")


class Outcome(Enum):
    """Final outcome of a request as its caller saw it."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    LOST = "lost"
    WRONG = "wrong"


class Call(Struct, frozen=True, kw_only=True):
    """One request of a caller, with its resends.

    :param request: its id, sent as Lychee-Request-Id.
    :param service: the service's name.
    :param group: what availability is measured for: service and key, or only the service if its
        requests are not keyed.
    :param key: its key.
    :param idempotency_key: its Idempotency-Key, empty if there is none.
    :param outcome: the final outcome.
    :param sent_at: monotonic time at which it was first sent, in seconds.
    :param ended_at: monotonic time of the final outcome, in seconds.
    :param attempts: number of attempts to send it.
    :param detail: id of the server that answered, or a description of the failure.
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
    """One violated guarantee.

    :param kind: which guarantee, for example :data:`DUPLICATE_RUN`.
    :param detail: the requests or processes concerned.
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
    """Return every violated guarantee.

    :param calls: the callers' requests with their outcomes.
    :param runs: what the servers ran, ordered by start time.
    """
    checks = (
        _find_duplicate_runs(runs),
        _find_lost_requests(calls, runs),
        _find_false_not_run(calls, runs),
        _find_wrong_answers(calls),
    )
    return tuple(
        violation for check in (*checks, _find_ownership_violations(runs)) for violation in check
    )


def count_violations(violations: Iterable[Violation], kind: str) -> int:
    """Return the number of violations of one kind."""
    return sum(violation.kind == kind for violation in violations)


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
    """Yield the runs of one key that violate its ownership.

    A run violates ownership if another server began a run of the key with the same or a higher
    fencing token before it.

    :param group: the runs of the key, ordered by start time.
    """
    owner_run = group[0]
    for run in group[1:]:
        if run.server != owner_run.server:
            if run.began.token <= owner_run.began.token:
                yield Violation(kind=RUN_NOT_OWNER, detail=_describe([owner_run, run]))
            elif _overlaps(owner_run, run):
                yield Violation(kind=OVERLAP, detail=_describe([owner_run, run]))
        if run.began.token >= owner_run.began.token:
            owner_run = run


def _overlaps(earlier: Run, later: Run) -> bool:
    """Return whether a run took effect after a later owner's run had begun.

    A server that checks fencing tokens must prevent this; runs of other servers don't count.
    """
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
