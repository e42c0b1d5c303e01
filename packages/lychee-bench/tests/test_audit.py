"""Audit of the servers' runs against the callers' outcomes, and the unavailable spans."""

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


def make_call(outcome: Outcome, *, key: str = "") -> Call:
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


def make_run(
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
    ([make_call(Outcome.ANSWERED, key="b")], [make_run("a", 1, key="b", end=2)], []),
    ([make_call(Outcome.ANSWERED, key="b")], [], [LOST]),
    (
        [make_call(Outcome.ANSWERED, key="b")],
        [make_run("a", 1, key="b", end=2, done=False)],
        [LOST],
    ),
    ([make_call(Outcome.LOST)], [], [LOST]),
    ([make_call(Outcome.WRONG)], [], [WRONG]),
    ([make_call(Outcome.NOT_RUN, key="b")], [make_run("a", 1, key="b")], [FALSE_NOT_RUN]),
    ([make_call(Outcome.NOT_RUN)], [make_run("a", 1)], []),
    ([make_call(Outcome.UNKNOWN, key="b")], [make_run("a", 1, key="b")], []),
    ([], [make_run("a", 1, key="b"), make_run("a", 2, key="b")], [DUPLICATE_RUN]),
    ([], [make_run("a", 1, token=5, end=2), make_run("b", 3, token=7)], []),
    ([], [make_run("a", 1, token=5), make_run("b", 3, token=7)], []),
    ([], [make_run("a", 1, token=5, end=4), make_run("b", 3, token=7)], [OVERLAP]),
    ([], [make_run("a", 1, token=5, end=4, done=False), make_run("b", 3, token=7)], []),
    ([], [make_run("b", 1, token=7), make_run("a", 3, token=5)], [RUN_NOT_OWNER]),
    ([], [make_run("b", 1, token=7), make_run("a", 3, token=7)], [RUN_NOT_OWNER]),
    ([], [make_run("b", 1, token=7), make_run("b", 3, token=5)], []),
    (
        [],
        [
            make_run("a", 1, token=5),
            make_run("b", 2, token=7),
            make_run("b", 3, token=8),
            make_run("a", 4, token=7),
        ],
        [RUN_NOT_OWNER],
    ),
]


@pytest.mark.parametrize(("calls", "runs", "kinds"), CASES)
def test_audit(calls, runs, kinds) -> None:
    assert [violation.kind for violation in audit(calls=calls, runs=runs)] == kinds


def test_runs_of_a_killed_process_have_no_end(tmp_path) -> None:
    path = tmp_path / "a.jsonl"
    first = make_run("a", 1, end=2)
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


def call_between(at: float, ended: float, outcome: Outcome, *, group: str = "s") -> Call:
    return structs.replace(make_call(outcome), sent_at=at, ended_at=ended, group=group)


OK, BAD = Outcome.ANSWERED, Outcome.UNKNOWN
SPANS = [
    ([call_between(0, 1, OK)], []),
    ([call_between(1, 9, BAD), call_between(2, 3, OK)], [2.0]),
    (
        [
            call_between(0.5, 2.5, OK),
            call_between(1, 2, BAD),
            call_between(2, 3, BAD),
            call_between(3, 3.5, OK),
        ],
        [2.5],
    ),
    (
        [
            call_between(1, 2, BAD),
            call_between(2, 3, OK),
            call_between(4, 5, BAD),
            call_between(5, 6, OK),
        ],
        [2.0, 2.0],
    ),
    ([call_between(1, 2, BAD), call_between(3, 4, BAD)], [3.0]),
    ([call_between(1, 2, BAD), call_between(3, 4, OK, group="t")], [1.0]),
]


@pytest.mark.parametrize(("calls", "lengths"), SPANS)
def test_spans_last_from_a_failure_to_the_answer_of_a_later_request(calls, lengths) -> None:
    assert [span.duration_s for span in unavailable_spans(calls)] == lengths
