from hypothesis import given, settings
from hypothesis import strategies as st

from lychee_ranges import KeyTable
from lychee_types.ids import Incarnation, ServerId, Token
from lychee_types.registry import LAST_KEY, GrantPhase, KeyRange, ServerIncarnation

KEYS = st.integers(min_value=0, max_value=LAST_KEY)


def incarnation(name):
    return ServerIncarnation(server=ServerId(name), incarnation=Incarnation(1))


def held(low, high, name, token, phase=GrantPhase.ACTIVE):
    return KeyRange(low=low, high=high, owner=incarnation(name), token=Token(token), phase=phase)


def test_a_new_table_has_one_vacant_range():
    table = KeyTable()
    assert [(r.low, r.high, r.owner) for r in table.ranges] == [(0, LAST_KEY, None)]


def test_a_range_replaces_the_part_of_the_range_that_had_its_keys():
    table = KeyTable(ranges=(held(0, LAST_KEY, "a", 1),))
    table.put([held(100, 199, "b", 2)])
    assert [(r.low, r.high, r.owner.server, r.token) for r in table.ranges] == [
        (0, 99, "a", 1),
        (100, 199, "b", 2),
        (200, LAST_KEY, "a", 1),
    ]


def test_adjacent_ranges_with_one_token_are_joined():
    table = KeyTable(ranges=(held(0, LAST_KEY, "a", 1),))
    table.put([held(100, 199, "a", 1, GrantPhase.RELEASING)])
    assert len(table.ranges) == 3
    table.put([held(100, 199, "a", 1)])
    assert len(table.ranges) == 1


def test_adjacent_ranges_with_different_tokens_are_not_joined():
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
            expected = (incarnation(name), token)
    found = table.find(key)
    assert found.low <= key <= found.high
    assert (found.owner, found.token) == (expected or (None, 0))


PHASES = st.sampled_from((GrantPhase.ACTIVE, GrantPhase.RELEASING))


def set_each_key(owners, low, high, name, token, phase):
    """Set the owner of each key on its own, as a reference implementation."""
    owners[low : high + 1] = [(name, token, phase)] * (high + 1 - low)


def runs_of(owners):
    """Return the runs of adjacent keys with the same owner, token and phase."""
    runs = []
    for key, state in enumerate(owners):
        if runs and runs[-1][2] == state:
            runs[-1][1] = key
        else:
            runs.append([key, key, state])
    return [tuple(run) for run in runs]


@settings(max_examples=30)
@given(
    st.lists(
        st.tuples(KEYS, st.integers(0, 3_000), st.sampled_from("ab"), st.integers(1, 3), PHASES),
        max_size=12,
    )
)
def test_the_table_agrees_with_a_table_of_single_keys(puts):
    table, owners = KeyTable(), [None] * (LAST_KEY + 1)
    for low, more, name, token, phase in puts:
        high = min(LAST_KEY, low + more)
        table.put([held(low, high, name, token, phase)])
        set_each_key(owners, low, high, name, token, phase)
    # The table does not join ranges that are being released, so they are joined before comparing.
    found = [(r.low, r.high, r.owner and (r.owner.server, r.token, r.phase)) for r in table.ranges]
    assert joined(found) == runs_of(owners)
    assert len({r.low for r in table.ranges}) == len(table.ranges)


def joined(found):
    runs = []
    for low, high, state in found:
        if runs and runs[-1][2] == state:
            assert state is None or state[2] is GrantPhase.RELEASING, "neighbours are one range"
            runs[-1] = (runs[-1][0], high, state)
        else:
            runs.append((low, high, state))
    return runs


@given(KEYS, KEYS)
def test_overlapping_gives_the_ranges_that_share_keys(one, other):
    low, high = sorted((one, other))
    table = KeyTable(ranges=(held(0, 9_999, "a", 1), held(10_000, LAST_KEY, "b", 2)))
    found = {r.owner.server for r in table.overlapping(low, high)}
    assert found == {
        name for name, a, b in (("a", 0, 9_999), ("b", 10_000, LAST_KEY)) if a <= high and low <= b
    }
