"""Simulate servers that are asked for their load, against two other ways of choosing.

The other ways are the estimates from the gateways' own answers, and a chooser that knows the state
of all servers at once.
"""

import pytest

from lychee_gateway.proxy.probe_testing import Chooser, NoisySimulation
from lychee_gateway.proxy.testing import Backend, Load
from lychee_types.ids import DomainName

SPEEDS = (0.6, 1.0, 1.6)
SECONDS = 12.0
SERVERS = 36
SEEDS = (1, 2, 3)


def simulate(chooser, per_s, *, seed=1, domains="d", seconds=SECONDS, **options):
    servers = [
        Backend(
            slots=3,
            queue=9,
            speed=SPEEDS[number // len(domains) % 3],
            domain=DomainName(domains[number % len(domains)]),
        )
        for number in range(SERVERS)
    ]
    load = Load(per_s=per_s, service_time_s=0.223, spread=0.5, target_s=0.546, timeout_s=2.0)
    simulation = NoisySimulation(
        backends=servers, load=load, chooser=chooser, gateways=6, seed=seed, **options
    )
    counts = simulation.run(seconds)
    total = sum(counts[name] for name in ("in_time", "late", "refused", "gone"))
    return simulation.probes / total, {name: count / total for name, count in counts.items()}


@pytest.mark.parametrize("per_s", [128.0, 290.0])
def test_probes_close_two_thirds_of_the_gap_to_a_chooser_that_knows_everything(per_s):
    """Slowed servers got requests until their own answers showed it."""
    estimates, probes, all_known = (
        sum(simulate(chooser, per_s, seed=seed)[1]["in_time"] for seed in SEEDS) / len(SEEDS)
        for chooser in (Chooser.ESTIMATES, Chooser.PROBES, Chooser.ALL_KNOWN)
    )
    assert all_known - estimates > 0.05
    assert probes - estimates > 2 / 3 * (all_known - estimates)


def test_probes_help_where_they_may_open_no_connection():
    """Each gateway can ask only servers to which its requests have opened connections."""
    estimates, probes = (
        sum(simulate(chooser, 128.0, seed=seed, opens_none=True)[1]["in_time"] for seed in SEEDS)
        for chooser in (Chooser.ESTIMATES, Chooser.PROBES)
    )
    assert (probes - estimates) / len(SEEDS) > 0.035


def test_a_request_costs_few_probes():
    probes, shares = simulate(Chooser.PROBES, 200.0)
    assert probes < 3.0
    assert shares["own"] > 0.99


def test_requests_stay_in_the_own_domain_while_it_has_room():
    _, shares = simulate(Chooser.PROBES, 70.0, domains="def")
    assert shares.get("other", 0.0) < 0.05
    assert shares["in_time"] > 0.93


def test_requests_go_to_other_domains_where_the_own_one_is_full():
    """The own domain can serve 150 requests per second."""
    _, shares = simulate(Chooser.PROBES, 200.0, domains="def")
    assert shares["other"] > 0.25
    assert shares["in_time"] > 0.9
    assert shares.get("refused", 0.0) < 0.01
