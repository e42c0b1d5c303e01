"""Replies of the leader that arrive while the gateway's event loop is busy across the wait."""

import asyncio

import pytest
import uvloop

from lychee_gateway.ledger import LedgerClient
from lychee_gateway.reports import AnnouncementRelay
from lychee_types.commands import LedgerOpened
from lychee_types.ids import SessionId
from lychee_types.messages import Announcement, LedgerReply, ServerGrant

from .conftest import FakeServer

LIMIT_S = 0.1
LOOPS = pytest.mark.parametrize("run", [asyncio.run, uvloop.run])


@LOOPS
def test_an_entry_whose_reply_arrives_while_the_loop_is_busy_is_known_to_be_open(run, busy_loop):
    async def scenario():
        client = LedgerClient()
        client.on_connected(lambda message: None, SessionId("s"))
        reply = LedgerReply(number=1, outcome=LedgerOpened())
        busy_loop(lambda: client.handle_reply(reply), LIMIT_S + 0.1)
        assert await client.open(key="k", digest=1, timeout_s=LIMIT_S) == LedgerOpened()

    run(scenario())


@LOOPS
def test_a_grant_that_arrives_while_the_loop_is_busy_is_delivered(run, busy_loop):
    async def scenario():
        relay, server = AnnouncementRelay(), FakeServer("s1", "status").record()
        grant = ServerGrant(
            server=server.id, incarnation=server.incarnation, number=7, lease_ms=1, fence=1
        )
        busy_loop(lambda: relay.deliver_grants((grant,)), LIMIT_S + 0.1)
        announcement = Announcement(server=server, number=7, wall_ms=1)
        assert await relay.announce(announcement, timeout_s=LIMIT_S) == grant

    run(scenario())
