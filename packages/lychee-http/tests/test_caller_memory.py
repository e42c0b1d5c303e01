"""What is held for callers stays bounded, at the cost of those who hold much and do not go on."""

from random import Random

import pytest

from lychee_http.caller_memory import (
    BYTES_PER_MB,
    CONNECTION_BYTES,
    DEFAULT_BOUND_BYTES,
    LEAST_BOUND_BYTES,
    MIN_SHED_BYTES,
    PROGRESS_BYTES,
    CallerMemory,
    MemoryBounds,
    ShedReason,
    memory_bounds,
)

BOUND = 10_000_000


class Account:
    """An account with a clock of its own, whose deferred work is run by hand."""

    def __init__(self, *, connections=None):
        self.now, self.work, self.reasons, self.ended = 0.0, [], [], []
        self.memory = CallerMemory(
            bounds=MemoryBounds(held_bytes=BOUND, connections=connections),
            turns=None,
            defer=self.work.append,
            on_shed=self.reasons.append,
            now=lambda: self.now,
        )

    def open(self, name, *, idle=False):
        holding = self.memory.open()
        if holding is not None:
            holding.watch(
                shed=lambda: self.ended.append((name, holding)),
                end_if_idle=lambda: idle and not self.ended.append((name, holding)),
            )
        return holding

    def run(self):
        """Run what was deferred, and close the connections that were ended."""
        while self.work:
            self.work.pop()()
        names = [name for name, _ in self.ended]
        for _, holding in self.ended:
            holding.end()
        self.ended.clear()
        return names


@pytest.mark.parametrize(
    ("memory_mb", "max_fds", "held", "connections"),
    [
        (None, None, DEFAULT_BOUND_BYTES, None),
        (152, 1_535, 44 * BYTES_PER_MB, 767),
        (40, 64, LEAST_BOUND_BYTES, 32),
    ],
)
def test_bounds_follow_from_the_vm(memory_mb, max_fds, held, connections):
    bounds = memory_bounds(memory_mb=memory_mb, max_fds=max_fds)
    assert (bounds.held_bytes, bounds.connections) == (held, connections)


def test_a_caller_that_stalls_ends_before_one_that_goes_on_and_holds_more():
    account = Account()
    stalled, uploading = account.open("stalled"), account.open("uploading")
    for holding in (stalled, uploading):
        holding.start_wait()
    stalled.add(400_000)
    uploading.add(1_000_000)
    account.now = 5.0
    uploading.note_content(PROGRESS_BYTES)
    account.now = 5.1
    others = [account.open(f"other {n}") for n in range(12)]
    for holding in others:
        holding.add(750_000)
    # Those who owe nothing are not ended while others hold enough.
    assert account.run()[0] == "stalled"


def test_framing_is_no_progress():
    account = Account()
    holding = account.open("drip")
    holding.start_wait()
    account.now = 9.0
    for _ in range(100):
        holding.note_content(1)
        holding.start_wait()
    assert holding.waiting_since == 0.0


def test_a_connection_above_its_share_ends_alone():
    account = Account()
    account.open("other").add(100_000)
    account.open("greedy").add(BOUND // 8)
    assert account.run() == ["greedy"]
    assert account.reasons == [ShedReason.SHARE]


def test_connections_that_hold_what_a_usual_request_does_are_left_alone():
    account = Account()
    small = [account.open(f"small {n}") for n in range(BOUND // MIN_SHED_BYTES + 20)]
    for holding in small:
        holding.add(MIN_SHED_BYTES - CONNECTION_BYTES)
    assert account.memory.held > BOUND
    assert account.run() == []


def test_too_many_connections_end_idle_ones_first_then_those_whose_callers_owe():
    account = Account(connections=3)
    account.open("busy")
    account.open("owing").start_wait()
    account.open("idle", idle=True)
    assert account.open("new") is not None
    assert account.run() == ["idle"]
    assert account.open("newer") is not None
    assert account.run() == ["owing"]
    assert account.open("newest") is not None
    assert account.open("too many") is None
    assert account.reasons == [ShedReason.IDLE, ShedReason.CONNECTIONS, ShedReason.REFUSED]


def test_what_ends_gives_back_all_that_it_held():
    account = Account()
    holding = account.open("one")
    holding.add_input(5_000)
    holding.add(7_000)
    holding.end()
    assert account.memory.held == 7_000, "a request that goes on still counts"
    holding.add(-7_000)
    holding.add_input(3)
    assert (account.memory.held, len(account.memory)) == (0, 0)


def test_a_crowd_stays_near_the_bound_whatever_it_does():
    rng = Random(1)
    account = Account(connections=50)
    crowd = {}
    for _ in range(20_000):
        account.now += 0.001
        name = rng.randrange(80)
        if name not in crowd:
            holding = account.open(name)
            if holding is not None:
                crowd[name] = holding
            continue
        crowd[name].start_wait()
        crowd[name].add_input(rng.randrange(65_536))
        assert account.memory.held <= BOUND + 65_536
        for ended in account.run():
            crowd.pop(ended, None)
    assert len(account.memory) <= 50
