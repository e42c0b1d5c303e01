"""Which replica becomes a voter while the group has too few."""

import asyncio
from types import SimpleNamespace

import pytest

from lychee_control.registry.admission import COLLECT_S, Admission
from lychee_log import ReplicaAddress
from lychee_types.ids import DomainName, ReplicaId
from lychee_types.records import Endpoint
from lychee_types.testing import ManualClock

DOMAINS = {"v1": "nord", "v2": "midt", "v3": "syd"}


def address(name, number):
    return ReplicaAddress(id=ReplicaId(name), endpoint=Endpoint(host="10.0.0.1", port=number))


class Group:
    """A replicated log whose voters change as they are told to."""

    def __init__(self):
        self.voters = tuple(address(name, 1 + n) for n, name in enumerate(DOMAINS))

    def replica_states(self):
        return [SimpleNamespace(id=voter.id, silent_ms=0) for voter in self.voters]

    async def replace_voter(self, *, old, new):
        self.voters = tuple(v for v in self.voters if v.id != old) + (new,)
        return self.voters


def make_admission(*, spread):
    group, clock = Group(), ManualClock()
    admission = Admission(
        replica=group,
        target_voter_count=5,
        voter_lost_s=lambda: 2.0,
        clock=clock,
        domain_of=(lambda voter: DomainName(DOMAINS.get(voter, "oest"))) if spread else None,
    )
    admission.begin_term()
    return admission, group, clock


def ask(admission, clock, **domains):
    for number, (name, domain) in enumerate(domains.items()):
        clock.advance(0.01)
        admission.record_joining(address(name, 10 + number), DomainName(domain))


def test_a_replica_of_a_failure_domain_without_a_voter_becomes_one_first():
    admission, group, clock = make_admission(spread=True)
    ask(admission, clock, c="oest", a="nord", b="nord")
    clock.advance(COLLECT_S)
    asyncio.run(admission.carry_out_next())
    assert [voter.id for voter in group.voters] == ["v1", "v2", "v3", "c"]


def test_no_voter_is_added_before_other_replicas_can_have_asked():
    admission, group, clock = make_admission(spread=True)
    ask(admission, clock, a="nord")
    asyncio.run(admission.carry_out_next())
    assert len(group.voters) == 3
    ask(admission, clock, c="oest")
    clock.advance(COLLECT_S)
    asyncio.run(admission.carry_out_next())
    assert "c" in {voter.id for voter in group.voters}


def test_a_lost_disk_is_replaced_at_once():
    admission, group, clock = make_admission(spread=True)
    admission.record_joining(address("v1-wiped", 1), DomainName("nord"))
    asyncio.run(admission.carry_out_next())
    assert [voter.id for voter in group.voters] == ["v2", "v3", "v1-wiped"]


@pytest.mark.parametrize("spread", [False, True])
def test_replicas_of_an_earlier_version_become_voters_too(spread):
    admission, group, clock = make_admission(spread=spread)
    ask(admission, clock, a="", b="")
    clock.advance(COLLECT_S if spread else 0.0)
    asyncio.run(admission.carry_out_next())
    assert len(group.voters) == 4
