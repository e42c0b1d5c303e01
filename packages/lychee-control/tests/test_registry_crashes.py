"""Requests under which servers end, as known to control replicas."""

from lychee_control.registry.crashes import CrashBoard
from lychee_types.crash_messages import KnownRequest, ServerEnd
from lychee_types.ids import Incarnation, RequestSignature, ServerId
from lychee_types.registry import ServerIncarnation
from lychee_types.testing import ManualClock


def report(*ended_ms_ago, name=b"one", answered_ms_ago=None):
    ends = tuple(
        ServerEnd(
            run=ServerIncarnation(server=ServerId(f"s{ms}"), incarnation=Incarnation(1)),
            ms_ago=ms,
            sent_ms_ago=ms + 900,
        )
        for ms in ended_ms_ago
    )
    return KnownRequest(
        signature=RequestSignature(name), ends=ends, answered_ms_ago=answered_ms_ago
    )


def board_with(*reports):
    board = CrashBoard(clock=ManualClock())
    board.record(reports)
    return board


def test_only_changes_of_a_verdict_are_news():
    board = board_with()
    assert not board.record((report(4_000),))
    assert board.record((report(3_000),))
    assert not board.record((report(3_000),))
    assert board.record((report(2_000),))
    assert not board.record((report(1_000),))


def test_news_leave_out_requests_that_are_not_suspected():
    board = board_with(report(3_000, 2_000, 1_000), report(1_000, name=b"other"))
    assert [known.signature for known in board.news().requests] == [b"one"]


def test_the_next_leader_begins_with_what_the_former_one_has_told():
    former = board_with(report(3_000, 2_000, 1_000))
    following = board_with(*former.news().requests)
    assert len(following.news().requests[0].ends) == 3


def test_an_answer_is_told_even_though_the_request_is_free_again():
    board = board_with(report(3_000, 2_000))
    assert board.record((report(answered_ms_ago=500),))
    assert board.news().requests[0].answered_ms_ago == 500
