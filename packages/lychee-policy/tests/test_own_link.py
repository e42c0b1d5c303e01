"""Tests of what a late connection says while the gateway's own link is full."""

import pytest

from lychee_policy import MAX_LATE_S, LateOpenings, LinkUse, StreamUse, sum_of_uses
from lychee_policy.own_link import BULK_BYTES, FORGOTTEN_AFTER_S, STILL_S
from lychee_types.ids import Incarnation, ServerId
from lychee_types.registry import ServerIncarnation

RUN = ServerIncarnation(server=ServerId("s1"), incarnation=Incarnation(1))
FULL = LinkUse(is_filled=True)
FREE = LinkUse()


def use(*, acknowledged=0, waiting=0, received=0, still_s=0.0):
    return StreamUse(acknowledged=acknowledged, waiting=waiting, received=received, still_s=still_s)


@pytest.mark.parametrize(
    ("uses", "is_filled"),
    [
        ([], False),
        ([use(acknowledged=BULK_BYTES, waiting=1)], True),
        ([use(received=BULK_BYTES)], True),
        ([use(acknowledged=BULK_BYTES)], False),
        ([use(waiting=10 * BULK_BYTES)], False),
        ([use(acknowledged=BULK_BYTES, waiting=1, still_s=2 * STILL_S)], False),
        ([use(received=BULK_BYTES - 1)] * 10, False),
    ],
    ids=["idle", "sending", "receiving", "all-sent", "nothing-confirmed", "still", "small"],
)
def test_a_link_is_full_while_one_connection_moves_much(uses, is_filled):
    assert sum_of_uses(uses).is_filled is is_filled


def is_evidence(late, link, *, began, now, heard_at=0.0):
    return late.is_evidence(RUN, link, began=began, heard_at=heard_at, now=now)


def test_a_timeout_on_a_full_link_is_evidence_only_if_they_go_on():
    late = LateOpenings()
    assert is_evidence(late, FREE, began=10.0, now=10.5)
    assert not is_evidence(late, FULL, began=10.0, now=10.5)
    assert not is_evidence(late, FULL, began=10.5, now=11.0)
    assert is_evidence(late, FULL, began=11.0, now=10.0 + MAX_LATE_S)


def test_a_connection_or_an_answer_in_between_begins_anew():
    late = LateOpenings()
    assert not is_evidence(late, FULL, began=10.0, now=10.5)
    late.record_opened(RUN)
    assert not is_evidence(late, FULL, began=11.2, now=11.7)
    assert not is_evidence(late, FULL, began=12.6, now=13.1, heard_at=12.0)


def test_what_was_late_long_ago_says_nothing():
    late = LateOpenings()
    assert not is_evidence(late, FULL, began=10.0, now=10.5)
    now = 10.0 + 2 * FORGOTTEN_AFTER_S
    assert not is_evidence(late, FULL, began=now - 0.5, now=now)


def test_servers_that_are_gone_are_forgotten():
    late = LateOpenings()
    assert not is_evidence(late, FULL, began=10.0, now=10.5)
    late.keep_only([])
    assert not is_evidence(late, FULL, began=11.0, now=10.0 + MAX_LATE_S)
