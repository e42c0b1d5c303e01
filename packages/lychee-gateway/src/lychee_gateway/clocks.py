"""Check of the wall clocks of servers that announce themselves."""

from time import time

from lychee_gateway.view import StateView
from lychee_policy import ClockChecker
from lychee_types.document import RequestKind
from lychee_types.messages import Announcement


class ServerClocks:
    """Checks the clocks of servers that do not check fencing tokens.

    Only the deadline on each request keeps such a server from running requests too late.

    :param view: the replicated state, which says which servers check tokens.
    :param limit_ms: largest safe difference between two clocks, in milliseconds.
    """

    def __init__(self, *, view: StateView, limit_ms: int) -> None:
        self._view = view
        self._limit_ms = limit_ms
        self._checker = ClockChecker(limit_ms=limit_ms)

    def find_fault(self, announcement: Announcement) -> str:
        """Return why an announcement must be refused, empty if it is accepted."""
        if not self._depends_on_clock(announcement):
            return ""
        if not announcement.wall_ms:
            return "the announcement has no wall_ms, and the server does not check tokens"
        now_ms = _wall_ms()
        server = announcement.server.id
        if self._checker.is_in_sync(
            server=server, sent_ms=announcement.wall_ms, received_ms=now_ms
        ):
            return ""
        lag_ms = now_ms - announcement.wall_ms
        direction = "behind" if lag_ms > 0 else "ahead of"
        return (
            f"the server's clock is {abs(lag_ms)} ms {direction} this VM's, "
            f"and at most {self._limit_ms} ms are safe"
        )

    def is_local_clock_suspect(self) -> bool:
        """Return whether the clock of this VM is likely to be wrong."""
        return self._checker.is_local_clock_suspect(_wall_ms())

    def _depends_on_clock(self, announcement: Announcement) -> bool:
        record, document = announcement.server, self._view.state.document
        service = document.service(record.service) if document is not None else None
        if document is None or service is None or service.kind is not RequestKind.KEYED:
            return False
        return not document.checks_tokens(service.name, record.id)


def _wall_ms() -> int:
    return int(time() * 1_000)
