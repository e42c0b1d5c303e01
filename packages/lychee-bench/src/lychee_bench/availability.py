"""Time spans in which a service or a key was unavailable to callers."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

from msgspec import Struct

from lychee_bench.audit import Call, Outcome


class Span(Struct, frozen=True, kw_only=True):
    """One time span in which a group of requests was not served.

    :param group: service and key, or only the service if its requests are not keyed.
    :param began: monotonic time at which the first failed request was sent, in seconds.
    :param ended: monotonic time of the next success, in seconds.
    """

    group: str
    began: float
    ended: float

    @property
    def duration_s(self) -> float:
        """Duration in seconds."""
        return self.ended - self.began


def unavailable_spans(calls: Iterable[Call]) -> tuple[Span, ...]:
    """Return for each group the spans from a first failed request to the next success.

    The next success is that of a request that was sent after the failed one, no matter when the
    failure became known. If there is none, the span ends with the last call.

    :param calls: the callers' requests with their outcomes.
    """
    groups: dict[str, list[Call]] = defaultdict(list)
    for call in calls:
        groups[call.group].append(call)
    return tuple(span for group in groups.values() for span in _spans(group))


def _spans(group: Sequence[Call]) -> Iterator[Span]:
    calls = sorted(group, key=lambda call: call.sent_at)
    last_end = max(call.ended_at for call in calls)
    served_until = float("-inf")
    for index, call in enumerate(calls):
        if call.outcome is Outcome.ANSWERED or call.sent_at < served_until:
            continue
        later = (item for item in calls[index:] if item.outcome is Outcome.ANSWERED)
        served_until = min((item.ended_at for item in later), default=last_end)
        yield Span(group=call.group, began=call.sent_at, ended=served_until)
