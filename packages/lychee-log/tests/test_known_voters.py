"""The stored list of voters: what was stored is read, and what cannot be read stops no replica."""

import pytest

from lychee_log import ReplicaAddress, load_known_voters, store_known_voters, stored_replica_id
from lychee_log.recovery import KNOWN_VOTERS_NAME
from lychee_log.storage import open_storage
from lychee_types.records import Endpoint

VOTERS = tuple(
    ReplicaAddress(id=f"r{n}", endpoint=Endpoint(host=f"10.0.0.{n}", port=7540), storage=n)
    for n in (1, 2, 3)
)


def test_the_voters_that_were_stored_last_are_read(tmp_path):
    assert load_known_voters(tmp_path) == ()
    store_known_voters(tmp_path, VOTERS)
    store_known_voters(tmp_path, VOTERS[:2])
    assert load_known_voters(tmp_path) == VOTERS[:2]


@pytest.mark.parametrize("damage", [b"", b"short", b"\x00" * 100])
def test_a_damaged_list_counts_as_none(tmp_path, damage):
    store_known_voters(tmp_path, VOTERS)
    (tmp_path / KNOWN_VOTERS_NAME).write_bytes(damage)
    assert load_known_voters(tmp_path) == ()


def test_a_folder_in_which_only_the_list_survived_counts_as_empty(tmp_path):
    # A loss of power may keep the list's name and lose that of the identity.
    store_known_voters(tmp_path, VOTERS)
    assert stored_replica_id(tmp_path) is None


def test_opening_the_folder_keeps_the_list(tmp_path):
    # RECOVER: the list was removed as a file left behind, and a second restart found nobody.
    for _ in range(2):
        with open_storage(folder=tmp_path, replica="r1"):
            store_known_voters(tmp_path, VOTERS)
        with open_storage(folder=tmp_path, replica="r1"):
            assert load_known_voters(tmp_path) == VOTERS
