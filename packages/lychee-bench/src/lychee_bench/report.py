"""Report of a run: the outcomes of its requests, and the verdict."""

from collections.abc import Iterable, Sequence

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from lychee_bench.audit import (
    DUPLICATE_RUN,
    FALSE_NOT_RUN,
    LOST,
    OVERLAP,
    RUN_NOT_OWNER,
    WRONG,
    Call,
    Outcome,
    Violation,
    audit,
    count_violations,
)
from lychee_bench.availability import Span, unavailable_spans
from lychee_bench.load import Callers
from lychee_bench.processes import UnexpectedExit
from lychee_bench.runs import Run
from lychee_types.timing import MAX_UNAVAILABLE_S

MAX_REASONS_SHOWN = 12
"""Maximum number of reasons that are printed for a failed run."""


class Report(Struct, frozen=True, kw_only=True):
    """What a run recorded and which guarantees it violated.

    :param calls: the callers' requests with their outcomes.
    :param runs: what the servers ran.
    :param spans: time spans in which a group of requests was not served.
    :param exits: processes that exited without being stopped by the bench.
    :param violations: violated guarantees.
    :param services: services that requests were sent to.
    """

    calls: tuple[Call, ...]
    runs: tuple[Run, ...]
    spans: tuple[Span, ...]
    exits: tuple[UnexpectedExit, ...]
    violations: tuple[Violation, ...]
    services: tuple[str, ...]

    def count_outcome(self, outcome: Outcome, service: str | None = None) -> int:
        """Return the number of requests with an outcome, optionally only those to one service."""
        return sum(
            call.outcome is outcome and service in (None, call.service) for call in self.calls
        )

    @property
    def longest_unavailable_s(self) -> float:
        """Duration of the longest unavailable span, in seconds."""
        return max((span.duration_s for span in self.spans), default=0.0)

    @property
    def slowest_outcome_s(self) -> float:
        """Longest time from the first attempt of a request to its final outcome, in seconds."""
        return max((call.ended_at - call.sent_at for call in self.calls), default=0.0)


def make_report(
    *, callers: Callers, runs: Sequence[Run], exits: Iterable[UnexpectedExit]
) -> Report:
    """Return the report of a run that has ended."""
    return Report(
        calls=tuple(callers.calls),
        runs=tuple(runs),
        spans=unavailable_spans(callers.calls),
        exits=tuple(exits),
        violations=audit(calls=callers.calls, runs=runs),
        services=tuple(callers.latency),
    )


def format_table(report: Report) -> str:
    """Return the table of a run, with a line for each count and time."""
    rows: list[tuple[str, object]] = [
        ("requests", len(report.calls)),
        ("answered", report.count_outcome(Outcome.ANSWERED)),
        ("not run", report.count_outcome(Outcome.NOT_RUN)),
        ("unknown", report.count_outcome(Outcome.UNKNOWN)),
        ("doubled", count_violations(report.violations, DUPLICATE_RUN)),
        ("lost", count_violations(report.violations, LOST)),
        ("wrong answers", count_violations(report.violations, WRONG)),
        ("run although not run", count_violations(report.violations, FALSE_NOT_RUN)),
        ("run while not owner", count_violations(report.violations, RUN_NOT_OWNER)),
        ("overlapping runs", count_violations(report.violations, OVERLAP)),
        ("slowest final outcome (s)", f"{report.slowest_outcome_s:.2f}"),
        ("longest unavailable time (s)", f"{report.longest_unavailable_s:.2f}"),
    ]
    return "\n".join(f"{name:<30} {value:>10}" for name, value in rows)


def format_services(report: Report, latency: dict[str, HdrHistogram]) -> str:
    """Return a table of answered requests and latencies by service."""
    lines = [f"{'service':<20} {'answered':>9} {'p50 ms':>8} {'p99 ms':>8} {'max ms':>8}"]
    for service, histogram in latency.items():
        answered = report.count_outcome(Outcome.ANSWERED, service)
        latencies_ms = [
            histogram.get_value_at_percentile(percent) / 1_000 for percent in (50, 99, 100)
        ]
        text = " ".join(f"{value:>8.1f}" for value in latencies_ms)
        lines.append(f"{service:<20} {answered:>9} {text}")
    return "\n".join(lines)


def list_failures(report: Report, *, spans: Iterable[Span]) -> list[str]:
    """Return the reasons why the run failed; empty if it passed.

    :param report: report of the run.
    :param spans: unavailable spans to which the bound on their duration applies.
    """
    reasons = [f"{violation.kind}: {violation.detail}" for violation in report.violations]
    reasons += [f"{item.name} died with code {item.code}, see {item.log}" for item in report.exits]
    reasons += [
        f"no answer of {service}"
        for service in report.services
        if not report.count_outcome(Outcome.ANSWERED, service)
    ]
    reasons += [
        f"{span.group} was unavailable for {span.duration_s:.2f} s"
        for span in spans
        if span.duration_s > MAX_UNAVAILABLE_S
    ]
    return reasons


def format_verdict(reasons: Sequence[str]) -> str:
    """Return the last lines of the output: the reasons of a failure, and the verdict."""
    shown = [f"  {reason}" for reason in reasons[:MAX_REASONS_SHOWN]]
    if len(reasons) > MAX_REASONS_SHOWN:
        shown.append(f"  and {len(reasons) - MAX_REASONS_SHOWN} more")
    return "\n".join([*shown, "verdict: failed" if reasons else "verdict: ok"])
