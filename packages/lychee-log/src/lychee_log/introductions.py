"""Introductions between replicas: how a group is founded, and how a new replica becomes known."""

from lychee_log.election import Election
from lychee_log.founding import GroupBootstrap
from lychee_log.messages import Hello
from lychee_log.records import GroupId, ReplicaAddress
from lychee_log.state import RaftState
from lychee_types.ids import ReplicaId


class Introductions:
    """Sends and handles the messages by which replicas learn each other's storage and group.

    :param state: the replica's state.
    :param election: election timer, which the founding of a group sets.
    :param initial_voters: the voters of a new group; empty for a replica that joins one.
    :param heartbeat_s: interval between introductions while there is no group, in seconds.
    """

    def __init__(
        self,
        *,
        state: RaftState,
        election: Election,
        initial_voters: tuple[ReplicaAddress, ...],
        heartbeat_s: float,
    ) -> None:
        self.joining_replica: ReplicaAddress | None = None
        self._state = state
        self._election = election
        self._heartbeat_s = heartbeat_s
        self._bootstrap = GroupBootstrap(
            own_address=state.own_address, initial_voters=initial_voters
        )
        self._hello_sent_at = 0.0

    @property
    def missing_voters(self) -> tuple[ReplicaId, ...]:
        """Return the initial voters whose storage number a replica without a group still lacks."""
        return self._bootstrap.missing_voters if self._state.identity.group == 0 else ()

    def request_storage_id(self, replica: ReplicaAddress) -> None:
        """Ask a replica that is about to join for its storage number."""
        self.joining_replica = None
        self._send_hello(replica, wants_reply=True)

    def try_bootstrap(self, now: float, *, group: GroupId) -> None:
        """Found the group if all initial voters are known, and introduce this replica to them.

        :param now: current monotonic time in seconds.
        :param group: number of the group, if it is founded.
        """
        members = self._bootstrap.initial_membership()
        if members is not None:
            self._state.join_group(group, founding=members)
            self._election.deadline = now
        if now - self._hello_sent_at >= self._heartbeat_s:
            self._hello_sent_at = now
            for voter in self._bootstrap.other_voters:
                self._send_hello(voter, wants_reply=members is None)

    def handle_hello(self, hello: Hello, now: float) -> None:
        """Handle another replica's introduction, and return this one's if it is asked for."""
        state = self._state
        if state.identity.group == 0:
            self._handle_hello_without_group(hello, now)
        elif hello.group in (0, state.identity.group) and not self._is_member(hello.sender):
            # A removed member that kept its disk may join again: what it promised, it still keeps.
            self.joining_replica = hello.sender_address
        if hello.wants_reply:
            self._send_hello(hello.sender_address, wants_reply=False)

    def _is_member(self, replica: ReplicaId) -> bool:
        return self._state.members.find(replica) is not None

    def _handle_hello_without_group(self, hello: Hello, now: float) -> None:
        if hello.group == 0:
            self._bootstrap.record_hello(hello)
            return
        self._bootstrap.check_membership(hello)
        founding = hello.founding
        if founding is not None and self._state.own_address in founding.voters:
            self._state.join_group(hello.group, founding=founding)
            self._election.restart_timer(now)

    def _send_hello(self, to: ReplicaAddress, *, wants_reply: bool) -> None:
        state = self._state
        has_group = state.identity.group != 0
        hello = state.build_message(
            Hello,
            ReplicaAddress(id=to.id, endpoint=to.endpoint),
            founding=state.identity.founding,
            members=state.members if has_group else None,
            wants_reply=wants_reply,
        )
        state.send_after_state_sync(to, hello)
