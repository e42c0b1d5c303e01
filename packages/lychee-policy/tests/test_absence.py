"""What proves that a server no longer has a request, and what does not."""

import pytest

from lychee_policy import AbsenceProof, question_gap_s
from lychee_policy.absence import MAX_QUESTION_GAP_S, MIN_GAIN_S, SETTLE_S, WAY_S

ARRIVED_AT = 100.0
RUNNING_AT = 101.0
IDLE_ASKED_AT = RUNNING_AT + SETTLE_S
IDLE_AT = IDLE_ASKED_AT + 0.1

RUNNING = (1, RUNNING_AT - 0.1, RUNNING_AT)
"""A load by which a server is seen to run: number of requests, when asked for, when heard."""

IDLE = (0, IDLE_ASKED_AT, IDLE_AT)


def prove(*loads, arrived_at=ARRIVED_AT):
    proof = AbsenceProof(arrived_at=arrived_at)
    for occupied, asked_at, heard_at in loads:
        proof.record_load(occupied, asked_at=asked_at, heard_at=heard_at)
    return proof


def test_an_idle_load_of_a_server_that_has_run_for_a_while_is_proof_once_no_answer_can_come():
    proof = prove(RUNNING, IDLE)
    assert not proof.is_complete(IDLE_AT + WAY_S - 0.01)
    assert proof.is_complete(IDLE_AT + WAY_S)


@pytest.mark.parametrize(
    "loads",
    [
        [],
        [RUNNING],
        [IDLE],
        [RUNNING, (1, IDLE_ASKED_AT, IDLE_AT)],
        [RUNNING, (0, ARRIVED_AT - 0.1, IDLE_AT)],
        [(0, ARRIVED_AT - 0.1, RUNNING_AT), IDLE],
        [RUNNING, (0, IDLE_ASKED_AT - 0.1, IDLE_AT)],
        [(0, ARRIVED_AT + 0.1, RUNNING_AT), (0, ARRIVED_AT + 0.2, RUNNING_AT)],
    ],
    ids=[
        "silence",
        "no idle load",
        "the first sign of life after a pause",
        "work, which may be the request",
        "asked for before it had arrived",
        "no sign of life since it has arrived",
        "asked for too soon",
        "two answers at the end of a pause",
    ],
)
def test_nothing_else_is_proof(loads):
    assert not prove(*loads).is_complete(1_000.0)


def test_nothing_proves_that_a_request_is_gone_that_is_not_known_to_have_arrived():
    assert not prove(RUNNING, IDLE, arrived_at=float("inf")).is_complete(1_000.0)


def test_servers_are_asked_only_while_an_answer_helps_the_caller():
    proof = prove()
    assert proof.is_worth_asking(ARRIVED_AT, deadline=ARRIVED_AT + SETTLE_S + WAY_S + MIN_GAIN_S)
    assert not proof.is_worth_asking(ARRIVED_AT, deadline=ARRIVED_AT + WAY_S + MIN_GAIN_S)
    assert not prove(RUNNING, IDLE).is_worth_asking(IDLE_AT, deadline=IDLE_AT + 100.0)
    assert not prove(arrived_at=float("inf")).is_worth_asking(0.0, deadline=100.0)


def test_servers_are_asked_less_and_less_often():
    gaps = [question_gap_s(asked) for asked in range(20)]
    assert gaps == sorted(gaps)
    assert gaps[0] > SETTLE_S
    assert gaps[-1] == MAX_QUESTION_GAP_S
