"""Which servers are asked for their load, and which of them is chosen."""

from random import Random

import pytest

from lychee_policy.probes import (
    MAX_PROBED,
    KnownLoad,
    is_acceptable,
    is_good,
    rank,
    servers_to_probe,
)
from lychee_types.ids import Incarnation, ServerId
from lychee_types.registry import ServerIncarnation


def load(name, *, is_local=True, occupied=0.0, work_s=0.2, age_s=1.0, delay_s=0.0):
    return KnownLoad(
        run=ServerIncarnation(server=ServerId(name), incarnation=Incarnation(1)),
        is_local=is_local,
        occupied=occupied,
        slots=3,
        work_s=work_s,
        age_s=age_s,
        delay_s=delay_s,
    )


def names(loads):
    return [known.run.server for known in loads]


def probe(loads, *, best=None, probed=(), seed=1):
    return servers_to_probe(loads, best=best, probed=probed, rng=Random(seed))


def test_servers_of_the_own_domain_are_asked_first():
    """Bytes between domains are dear."""
    local = [load(f"a{n}") for n in range(5)]
    remote = [load(f"b{n}", is_local=False, work_s=0.01) for n in range(5)]
    for seed in range(20):
        asked = probe(local + remote, seed=seed)
        assert len(asked) == MAX_PROBED and all(known.is_local for known in asked)


def test_servers_of_other_domains_are_asked_where_the_own_one_has_too_few():
    asked = probe([load("a"), *(load(f"b{n}", is_local=False) for n in range(5))])
    assert len(asked) == MAX_PROBED and asked[0].is_local


def test_servers_of_other_domains_are_asked_where_the_own_ones_have_long_queues():
    """A gateway kept to its own domain although all servers there were full."""
    crowded = [load(f"a{n}", occupied=6.0) for n in range(6)]
    loads = [*crowded, load("a6"), *(load(f"b{n}", is_local=False) for n in range(5))]
    runs = [known.run for known in crowded]
    assert any(known.is_local for known in probe(loads, best=crowded[0], probed=runs[:3]))
    asked = probe(loads, best=crowded[0], probed=runs)
    assert len(asked) == MAX_PROBED and not any(known.is_local for known in asked)
    assert probe(loads, best=load("a0"), probed=runs) == ()


def test_every_server_is_asked_at_some_time_and_none_twice_for_one_request():
    """A server that was slow once would never be found to be fast again."""
    loads = [load(f"a{n}", work_s=0.1 if n < 2 else 1.0) for n in range(8)]
    asked = [set(names(probe(loads, seed=seed))) for seed in range(100)]
    assert set.union(*asked) == set(names(loads))
    assert all({"a0", "a1"} <= some for some in asked)
    assert not set(names(probe(loads, probed={known.run for known in loads[:2]}))) & {"a0", "a1"}
    assert probe(loads, probed={known.run for known in loads}) == ()


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        ({}, {"occupied": 3.0}),
        ({"occupied": 2.0}, {"work_s": 0.6}),
        ({"occupied": 3.0}, {"occupied": 12.0}),
        ({"work_s": 0.25}, {"is_local": False}),
        ({"is_local": False}, {"occupied": 6.0}),
        ({}, {"delay_s": 0.1}),
    ],
    ids=["waits", "slowed", "longer queue", "other domain", "own domain is crowded", "delayed"],
)
def test_the_server_that_probably_answers_first_is_the_best(better, worse):
    loads = [load("worse", **worse), load("better", **better)]
    assert all(names(rank(loads, rng=Random(seed)))[0] == "better" for seed in range(20))


def test_a_server_that_was_asked_is_not_used_where_one_that_cannot_be_is_much_better():
    """A gateway with one connection would send everything there while others are idle."""
    assert is_acceptable(load("a"), [])
    assert is_acceptable(load("a", work_s=0.25), [load("b")])
    assert not is_acceptable(load("a", occupied=6.0), [load("b"), load("c", occupied=6.0)])


def test_no_more_servers_are_asked_once_one_is_almost_as_good_as_any():
    """Each further question costs bytes and up to 15 ms."""
    assert is_good(load("a"), [load("a"), load("b")])
    assert not is_good(load("a", occupied=5.0), [load("a", occupied=5.0), load("b")])
    assert not is_good(load("a", work_s=0.6), [load("a", work_s=0.6), load("b")])
