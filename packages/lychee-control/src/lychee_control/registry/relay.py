"""The way of gateways' messages to the leader, and of the leader's messages to gateways.

Nothing on this way is stored: a message is lost while there is no leader or no link to it. Load
reports of this replica's gateways are merged, so that the leader gets one from each replica.
"""

import asyncio
from collections.abc import Callable

from lychee_control.peers import NewsDown, NoteUp, PeerFrame, ReplyDown
from lychee_control.registry.subscribers import Subscribers
from lychee_log import Replica, ReplicaAddress
from lychee_ranges import LoadMerger
from lychee_types.ids import ReplicaId, SessionId
from lychee_types.registry_messages import LeaderNews, LeaderNote, LeaderReply, LoadReport

MERGE_INTERVAL_S = 0.1
"""Interval at which merged load reports are passed on, in seconds."""

PostFrame = Callable[[ReplicaAddress, PeerFrame], None]
"""Sends a message to another replica."""

HandleNote = Callable[[LeaderNote], LeaderReply | None]
"""Handles a gateway's message at the leader and returns the reply, None for none."""


class GatewayRelay:
    """Carries messages between this replica's gateways and the leader.

    :param replica_id: this replica's id.
    :param replica: the replicated log, which knows the leader and the voters.
    :param subscribers: this replica's gateways.
    :param post: sends a message to another replica.
    """

    def __init__(
        self, *, replica_id: ReplicaId, replica: Replica, subscribers: Subscribers, post: PostFrame
    ) -> None:
        self._id = replica_id
        self._replica = replica
        self._subscribers = subscribers
        self._post = post
        self.handle_note: HandleNote | None = None
        self._merger = LoadMerger()

    async def run(self) -> None:
        """Pass on merged load reports until cancelled."""
        while True:
            await asyncio.sleep(MERGE_INTERVAL_S)
            merged = self._merger.take()
            if merged is not None:
                self._post_up(merged.session, merged)

    def send_up(self, session: SessionId, note: LeaderNote) -> None:
        """Pass on a message of one of this replica's gateways."""
        if isinstance(note, LoadReport) and self.handle_note is None:
            self._merger.add(note)
            return
        self._post_up(session, note)

    def _post_up(self, session: SessionId, note: LeaderNote) -> None:
        frame = NoteUp(via=self._id, session=session, note=note)
        if self.handle_note is not None:
            self.receive_note(frame)
            return
        leader = self._replica.leader
        if leader is not None and leader.id != self._id:
            self._post(leader, frame)

    def receive_note(self, frame: NoteUp) -> None:
        """Handle a gateway's message; another replica's is lost if this one does not lead."""
        if self.handle_note is None:
            return
        reply = self.handle_note(frame.note)
        if reply is None:
            return
        if frame.via == self._id:
            self._subscribers.post(frame.session, reply)
            return
        for voter in self._replica.voters:
            if voter.id == frame.via:
                self._post(voter, ReplyDown(session=frame.session, reply=reply))

    def receive_reply(self, frame: ReplyDown) -> None:
        """Pass on the leader's reply to one of this replica's gateways."""
        self._subscribers.post(frame.session, frame.reply)

    def spread(self, news: LeaderNews) -> None:
        """Send the leader's news to all gateways, its own ones and those of other replicas."""
        self._subscribers.post_all(news)
        for voter in self._replica.voters:
            if voter.id != self._id:
                self._post(voter, NewsDown(news=news))
