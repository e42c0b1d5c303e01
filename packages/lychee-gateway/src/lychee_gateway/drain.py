"""Tracking of keyed requests in flight, and of ownership transitions that wait for them."""

from collections.abc import Iterator
from dataclasses import dataclass

from lychee_owner import ClusterState
from lychee_types.ids import KeyHash, ServerId, ServiceName
from lychee_types.messages import (
    Drained,
)


@dataclass(eq=False, kw_only=True, slots=True)
class InFlightRequest:
    """A keyed request that was sent and that the server may still run.

    :param service: its service.
    :param key: hash of its key.
    :param server: the server that it was sent to.
    :param expires_at: monotonic time in seconds from which the server certainly does not run it.
    """

    service: ServiceName
    key: KeyHash
    server: ServerId
    expires_at: float


class KeyedRequestTracker:
    """Tracks each keyed request until no server can run it any more.

    That is the case once the server has sent its whole response or a refusal. Without either, it
    is the case once the deadline and the drift margin have passed, even if the caller has
    disconnected.

    :param drift_s: margin for clock drift, in seconds.
    """

    def __init__(self, *, drift_s: float) -> None:
        self._drift_s = drift_s
        self._requests: dict[ServiceName, set[InFlightRequest]] = {}

    def begin(
        self, *, service: ServiceName, key: KeyHash, server: ServerId, deadline: float
    ) -> InFlightRequest:
        """Track a request that is about to be sent.

        :param deadline: monotonic time in seconds after which the server does not start to run it.
        """
        request = InFlightRequest(
            service=service, key=key, server=server, expires_at=deadline + self._drift_s
        )
        self._requests.setdefault(service, set()).add(request)
        return request

    def end(self, request: InFlightRequest) -> None:
        """Stop tracking a request that the server has completed or refused."""
        self._requests[request.service].discard(request)

    def remove_expired(self, now: float) -> None:
        """Stop tracking requests that have expired.

        :param now: monotonic time in seconds.
        """
        for requests in self._requests.values():
            for request in [request for request in requests if request.expires_at <= now]:
                requests.discard(request)

    def drained_transitions(self, state: ClusterState, now: float) -> tuple[Drained, ...]:
        """Return the pending transitions whose moving keys have no requests in flight any more.

        :param state: the replicated state.
        :param now: monotonic time in seconds.
        """
        self.remove_expired(now)
        return tuple(self._find_drained(state))

    def __len__(self) -> int:
        return sum(len(requests) for requests in self._requests.values())

    def _find_drained(self, state: ClusterState) -> Iterator[Drained]:
        for name, ownership in state.ownerships.items():
            if ownership.pending is None:
                continue
            target = state.pending_table(name)
            requests = self._requests.get(name, ())
            if target is not None and all(
                target.owner(request.key) == request.server for request in requests
            ):
                yield Drained(service=name, begun=ownership.pending.begun)
