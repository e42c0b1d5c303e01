"""Spans of time in which callers could not be served."""

from msgspec import Struct


class Span(Struct, frozen=True, kw_only=True):
    """One span in which a group of requests was not served.

    :param group: service and key, or the service alone where requests are not keyed.
    :param began: monotonic time at which the first failed request was sent, in seconds.
    :param ended: monotonic time of the next success, in seconds.
    """

    group: str
    began: float
    ended: float

    @property
    def length(self) -> float:
        """Length in seconds."""
        return self.ended - self.began


class Availability:
    """Collects the spans from a first failed request to the group's next success."""

    def __init__(self) -> None:
        self.spans: list[Span] = []
        self._down: dict[str, float] = {}

    def is_down(self, group: str) -> bool:
        """Return whether the group's last known request failed."""
        return group in self._down

    def failed(self, group: str, *, sent_at: float) -> None:
        """Note a failed request."""
        began = self._down.get(group)
        self._down[group] = sent_at if began is None else min(began, sent_at)

    def served(self, group: str, *, sent_at: float, ended_at: float) -> None:
        """Note a success; one that was sent before the failure proves nothing."""
        began = self._down.get(group)
        if began is not None and sent_at >= began:
            del self._down[group]
            self.spans.append(Span(group=group, began=began, ended=ended_at))

    def close(self, now: float) -> None:
        """End every span that is still open."""
        for group, began in self._down.items():
            self.spans.append(Span(group=group, began=began, ended=now))
        self._down.clear()

    @property
    def longest(self) -> Span | None:
        """The longest span, or None."""
        return max(self.spans, key=lambda span: span.length, default=None)
