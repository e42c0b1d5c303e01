"""A link between replicas stays open when the storage number of the peer becomes known."""

from lychee_control.peers import PeerAlive, PeerLink, PeerLinks
from lychee_log import ReplicaAddress
from lychee_types.records import Endpoint


def test_a_link_is_reopened_only_for_another_address() -> None:
    opened: list[PeerLink] = []
    links = PeerLinks(spawn=opened.append, ssl=None, seed=1)
    here, there = (Endpoint(host="127.0.0.1", port=port) for port in (1, 2))
    for voter in (
        ReplicaAddress(id="c2", endpoint=here),
        ReplicaAddress(id="c2", endpoint=here, storage=7),
        ReplicaAddress(id="c2", endpoint=here),
    ):
        links.post_frame(to=voter, frame=PeerAlive())
    assert len(opened) == 1
    links.post_frame(to=ReplicaAddress(id="c2", endpoint=there, storage=7), frame=PeerAlive())
    assert [link.peer.endpoint for link in opened] == [here, there]
