from hypothesis import given
from hypothesis import strategies as st

from lychee_ranges import KeyTable
from lychee_types.ids import Incarnation, ServerId, Token
from lychee_types.registry import LAST_KEY, GrantPhase, KeyRange, ServerRun

KEYS = st.integers(min_value=0, max_value=LAST_KEY)


def run(name):
    return ServerRun(server=ServerId(name), incarnation=Incarnation(1))


def held(low, high, name, token, phase=GrantPhase.ACTIVE):
    return KeyRange(low=low, high=high, owner=run(name), token=Token(token), phase=phase)


def test_a_new_table_has_one_vacant_range():
    table = KeyTable()
    assert [(r.low, r.high, r.owner) for r in table.ranges] == [(0, LAST_KEY, None)]


def test_a_range_cuts_what_covered_its_keys():
    table = KeyTable(ranges=(held(0, LAST_KEY, "a", 1),))
    table.put([held(100, 199, "b", 2)])
    assert [(r.low, r.high, r.owner.server, r.token) for r in table.ranges] == [
        (0, 99, "a", 1),
        (100, 199, "b", 2),
        (200, LAST_KEY, "a", 1),
    ]


def test_neighbours_with_one_token_are_one_range_again():
    table = KeyTable(ranges=(held(0, LAST_KEY, "a", 1),))
    table.put([held(100, 199, "a", 1, GrantPhase.RELEASING)])
    assert len(table.ranges) == 3
    table.put([held(100, 199, "a", 1)])
    assert len(table.ranges) == 1


def test_neighbours_with_other_tokens_stay_apart():
    table = KeyTable(ranges=(held(0, LAST_KEY, "a", 1),))
    table.put([held(100, 199, "a", 2)])
    assert len(table.ranges) == 3


@given(st.lists(st.tuples(KEYS, KEYS, st.sampled_from("abc")), max_size=12), KEYS)
def test_each_key_belongs_to_the_last_range_put_on_it(puts, key):
    table = KeyTable()
    expected = None
    for token, (one, other, name) in enumerate(puts, start=1):
        low, high = sorted((one, other))
        table.put([held(low, high, name, token)])
        if low <= key <= high:
            expected = (run(name), token)
    found = table.find(key)
    assert found.low <= key <= found.high
    assert (found.owner, found.token) == (expected or (None, 0))


@given(KEYS, KEYS)
def test_overlapping_gives_the_ranges_that_share_keys(one, other):
    low, high = sorted((one, other))
    table = KeyTable(ranges=(held(0, 9_999, "a", 1), held(10_000, LAST_KEY, "b", 2)))
    found = {r.owner.server for r in table.overlapping(low, high)}
    assert found == {
        name for name, a, b in (("a", 0, 9_999), ("b", 10_000, LAST_KEY)) if a <= high and low <= b
    }
