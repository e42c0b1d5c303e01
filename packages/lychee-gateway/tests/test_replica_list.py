"""Which control replicas a gateway tries, and when it tries one of its own failure domain."""

from random import Random

from lychee_gateway.proxy.replica_list import (
    MAX_NEARER_PAUSE_S,
    NEARER_INTERVAL_S,
    ReplicaList,
)
from lychee_types.ids import DomainName
from lychee_types.records import Endpoint
from lychee_types.testing import ManualClock

REPLICAS = tuple(Endpoint(host=f"10.0.0.{number}", port=7) for number in range(1, 6))
OWN, OTHER = DomainName("nord"), DomainName("syd")


def make_list(domain=OWN):
    clock = ManualClock()
    replicas = ReplicaList(seeds=REPLICAS, domain=domain, clock=clock, rng=Random(1))
    replicas.record_followed(str(REPLICAS[0]))
    return replicas, clock


def tries(replicas, clock, seconds, followed=REPLICAS[0]):
    """Return the replicas that are tried in a time, in order."""
    tried = []
    for _ in range(round(seconds / 0.2)):
        clock.advance(0.2)
        endpoint = replicas.next_nearer(str(followed))
        if endpoint is not None:
            tried.append(endpoint)
    return tried


def test_all_replicas_of_unknown_domains_are_tried_one_at_a_time():
    replicas, clock = make_list()
    tried = tries(replicas, clock, 20)
    assert set(tried) == set(REPLICAS[1:])
    assert len(tried) <= 20 / NEARER_INTERVAL_S[0]


def test_nothing_is_tried_without_a_preferred_domain():
    replicas, clock = make_list(domain=None)
    assert not tries(replicas, clock, 20)


def test_nothing_is_tried_while_a_replica_of_the_own_domain_is_followed():
    replicas, clock = make_list()
    replicas.record_domain(str(REPLICAS[0]), OWN)
    assert not tries(replicas, clock, 20)


def test_replicas_of_other_domains_are_not_tried_again():
    replicas, clock = make_list()
    for endpoint in REPLICAS:
        replicas.record_domain(str(endpoint), OTHER)
    assert not tries(replicas, clock, 20)


def test_a_replica_of_the_own_domain_that_cannot_be_followed_is_tried_ever_less():
    # A replica that stands by would get a connection every second.
    replicas, clock = make_list()
    for endpoint in REPLICAS[:-1]:
        replicas.record_domain(str(endpoint), OTHER)
    assert len(tries(replicas, clock, 120)) <= 10
    assert tries(replicas, clock, MAX_NEARER_PAUSE_S + 5) == [REPLICAS[-1]]


def test_a_replica_of_the_own_domain_comes_first_when_another_one_is_looked_for():
    replicas, _ = make_list()
    replicas.record_domain(str(REPLICAS[3]), OWN)
    replicas.record_domain(str(REPLICAS[1]), OTHER)
    assert all(replicas.shuffled()[0] == REPLICAS[3] for _ in range(10))
    assert len({replicas.shuffled()[1] for _ in range(40)}) == 4


def test_an_outdated_replica_takes_none_from_those_that_others_have_told():
    replicas, _ = make_list()
    later = Endpoint(host="10.0.0.9", port=7)
    replicas.record((*REPLICAS, later), is_outdated=False)
    replicas.record((REPLICAS[0],), is_outdated=True)
    assert set(replicas.shuffled()) == {*REPLICAS, later}
