"""The audit of runs against what callers were told, as a table of cases."""

import pytest
from msgspec import structs

from lychee_bench.audit import (
    DUPLICATE_RUN,
    FALSE_NOT_RUN,
    LOST,
    OVERLAP,
    RUN_NOT_OWNER,
    WRONG,
    Call,
    Outcome,
    audit,
)
from lychee_bench.availability import unavailable_spans
from lychee_bench.runs import Run, RunBegan, RunEnded, RunWriter, ServerBegan, open_runs, read_runs


def call(outcome: Outcome, *, key: str = "") -> Call:
    return Call(
        request="r1",
        service="s",
        group="s",
        key="k",
        idempotency_key=key,
        outcome=outcome,
        sent_at=0.0,
        ended_at=1.0,
        attempts=1,
        detail="",
    )


def ran(
    server: str, at: float, *, token: int = 0, key: str = "", end: float | None = None, done=True
) -> Run:
    began = RunBegan(
        run=1, request="r1", idempotency_key=key, key="k", token=token, at=at, leased=True
    )
    ended = None if end is None else RunEnded(run=1, at=end, done=done)
    return Run(
        server=server, incarnation=1, service="s", checks_tokens=True, began=began, ended=ended
    )


CASES = [
    ([call(Outcome.ANSWERED, key="b")], [ran("a", 1, key="b", end=2)], []),
    ([call(Outcome.ANSWERED, key="b")], [], [LOST]),
    ([call(Outcome.ANSWERED, key="b")], [ran("a", 1, key="b", end=2, done=False)], [LOST]),
    ([call(Outcome.LOST)], [], [LOST]),
    ([call(Outcome.WRONG)], [], [WRONG]),
    ([call(Outcome.NOT_RUN, key="b")], [ran("a", 1, key="b")], [FALSE_NOT_RUN]),
    ([call(Outcome.NOT_RUN)], [ran("a", 1)], []),
    ([call(Outcome.UNKNOWN, key="b")], [ran("a", 1, key="b")], []),
    ([], [ran("a", 1, key="b"), ran("a", 2, key="b")], [DUPLICATE_RUN]),
    ([], [ran("a", 1, token=5, end=2), ran("b", 3, token=7)], []),
    ([], [ran("a", 1, token=5), ran("b", 3, token=7)], []),
    ([], [ran("a", 1, token=5, end=4), ran("b", 3, token=7)], [OVERLAP]),
    ([], [ran("a", 1, token=5, end=4, done=False), ran("b", 3, token=7)], []),
    ([], [ran("b", 1, token=7), ran("a", 3, token=5)], [RUN_NOT_OWNER]),
    ([], [ran("b", 1, token=7), ran("a", 3, token=7)], [RUN_NOT_OWNER]),
    ([], [ran("b", 1, token=7), ran("b", 3, token=5)], []),
    (
        [],
        [ran("a", 1, token=5), ran("b", 2, token=7), ran("b", 3, token=8), ran("a", 4, token=7)],
        [RUN_NOT_OWNER],
    ),
]


@pytest.mark.parametrize(("calls", "runs", "kinds"), CASES)
def test_audit(calls, runs, kinds) -> None:
    assert [breach.kind for breach in audit(calls=calls, runs=runs)] == kinds


def test_runs_of_a_killed_process_have_no_end(tmp_path) -> None:
    path = tmp_path / "a.jsonl"
    first = ran("a", 1, end=2)
    for incarnation in (1, 2):
        with open_runs(path) as runs:
            writer: RunWriter = runs
            writer.write(
                ServerBegan(server="a", incarnation=incarnation, service="s", checks_tokens=True)
            )
            writer.write(first.began)
            if incarnation == 2:
                writer.write(first.ended)
    assert [(run.incarnation, run.ended) for run in read_runs([path])] == [
        (1, None),
        (2, first.ended),
    ]


def sent(at: float, ended: float, outcome: Outcome, *, group: str = "s") -> Call:
    return structs.replace(call(outcome), sent_at=at, ended_at=ended, group=group)


OK, BAD = Outcome.ANSWERED, Outcome.UNKNOWN
SPANS = [
    ([sent(0, 1, OK)], []),
    ([sent(1, 9, BAD), sent(2, 3, OK)], [2.0]),
    ([sent(0.5, 2.5, OK), sent(1, 2, BAD), sent(2, 3, BAD), sent(3, 3.5, OK)], [2.5]),
    ([sent(1, 2, BAD), sent(2, 3, OK), sent(4, 5, BAD), sent(5, 6, OK)], [2.0, 2.0]),
    ([sent(1, 2, BAD), sent(3, 4, BAD)], [3.0]),
    ([sent(1, 2, BAD), sent(3, 4, OK, group="t")], [1.0]),
]


@pytest.mark.parametrize(("calls", "lengths"), SPANS)
def test_spans_last_from_a_failure_to_the_answer_of_a_later_request(calls, lengths) -> None:
    assert [span.duration_s for span in unavailable_spans(calls)] == lengths
