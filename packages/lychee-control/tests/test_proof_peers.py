"""When a link between replicas is reopened, and when it stays open."""

import asyncio
from contextlib import asynccontextmanager
from random import Random
from types import SimpleNamespace

import pytest
import uvloop

from lychee_control import peers
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


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_link_whose_message_arrives_while_the_loop_is_busy_stays_open(
    run, busy_loop, monkeypatch
) -> None:
    monkeypatch.setattr(peers, "SILENCE_LIMIT_S", 0.1)

    async def scenario() -> None:
        arrived, received = asyncio.Event(), []

        async def receive():
            await arrived.wait()
            arrived.clear()
            received.append(PeerAlive())
            return received

        @asynccontextmanager
        async def open_link(**rest):
            yield SimpleNamespace(closed=False, receive=receive)

        monkeypatch.setattr(peers, "open_link", open_link)
        peer = ReplicaAddress(id="c2", endpoint=Endpoint(host="127.0.0.1", port=1))
        link = PeerLink(peer=peer, ssl=None, rng=Random(1))
        busy_loop(arrived.set, 0.2)
        # It returns once the peer is silent.
        await link._serve_once()
        assert received == [PeerAlive()]

    run(scenario())
