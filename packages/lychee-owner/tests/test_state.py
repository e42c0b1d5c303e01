"""Tests of the replicated state."""

from lychee_owner import ClusterState, hash_key
from lychee_types.commands import (
    BeginTransition,
    DocumentAccepted,
    DocumentConflict,
    FinishTransition,
    JoinServer,
    SubmitDocument,
)
from lychee_types.document import Document, RequestKind, Service
from lychee_types.records import (
    Endpoint,
    Member,
    Placement,
    ServerRecord,
)

DOCUMENT = Document(
    organisation="skaft",
    domains=("nord",),
    services=(
        Service(
            name="repair-status",
            path="/repair-status/",
            kind=RequestKind.KEYED,
            idempotent=True,
            deadline_ms=1_000,
        ),
    ),
)


def submit(submission: str, based_on: int, author: str = "a") -> SubmitDocument:
    return SubmitDocument(
        submission=submission, based_on=based_on, author=author, document=DOCUMENT
    )


def server(name: str) -> ServerRecord:
    endpoint = Endpoint(host="127.0.0.1", port=1)
    return ServerRecord(
        id=name,
        incarnation=1,
        endpoint=endpoint,
        domain="nord",
        service="repair-status",
        slots=3,
        connections=120,
    )


def test_of_two_submissions_on_one_version_the_first_wins_and_resending_changes_nothing() -> None:
    state = ClusterState()
    assert state.apply(1, submit("x", 0, "anna")) == DocumentAccepted(version=1)
    assert state.apply(2, submit("y", 0, "bo")) == DocumentConflict(version=1, author="anna")
    assert state.apply(3, submit("x", 0, "anna")) == DocumentAccepted(version=1)
    assert state.apply(4, submit("y", 0, "bo")) == DocumentConflict(version=1, author="anna")
    assert state.document_version == 1


def test_a_moving_key_has_no_server_to_send_it_to() -> None:
    state = ClusterState()
    state.apply(1, submit("x", 0))
    state.apply(2, JoinServer(server=server("r1")))
    state.apply(3, JoinServer(server=server("r2")))
    key = hash_key(b"spade-7")
    one = Placement(members=(Member(server="r1", weight=1.0),))
    two = Placement(members=(Member(server="r2", weight=1.0),))
    state.apply(4, BeginTransition(service="repair-status", target=one))
    assert state.route("repair-status", key).moving
    state.apply(5, FinishTransition(service="repair-status", begun=4))
    route = state.route("repair-status", key)
    assert route.server is not None and route.server.id == "r1" and route.token == 5
    state.apply(6, BeginTransition(service="repair-status", target=two))
    assert state.route("repair-status", key).server is None
    restored = ClusterState(image=state.image())
    assert restored.route("repair-status", key) == state.route("repair-status", key)
