"""How a replica stands for election and how it votes."""

from lychee_log.election import Election
from lychee_log.messages import VoteReply, VoteRequest
from lychee_log.state import Role, State


class Candidate:
    """Decisions on elections.

    :param state: the replica's state.
    :param election: timers, promises and votes.
    """

    def __init__(self, *, state: State, election: Election) -> None:
        self._state = state
        self._election = election

    @property
    def may_stand(self) -> bool:
        """Return whether this replica may stand for election.

        A voter whose removal may not be committed still may: the others may need its log.
        """
        state = self._state
        return state.identity.group != 0 and state.may_be_voter and state.fault is None

    def ask_first(self, now: float) -> None:
        """Ask the other voters whether they would vote for this replica."""
        state = self._state
        state.role = Role.PRE_CANDIDATE
        state.leader = None
        self._election.begin()
        self._election.grant(state.id)
        self._election.retry_soon(now)
        if self._election.is_won(state.members):
            self.stand(now)
        else:
            self._ask(pre=True)

    def stand(self, now: float) -> None:
        """Enter the next term and ask for votes."""
        state = self._state
        state.set_term(state.term + 1, vote=state.id)
        state.role = Role.CANDIDATE
        state.leader = None
        self._election.begin()
        self._election.retry_soon(now)
        own = state.build(VoteReply, state.me, pre=False, granted=True)
        state.send_synced(state.me, own)
        self._ask(pre=False)

    def answer(self, request: VoteRequest, now: float) -> None:
        """Answer a request for a vote or a pre-vote; its term has been taken note of."""
        if request.pre:
            self._answer_pre(request, now)
            return
        state = self._state
        free = state.hard_state.vote in (None, request.sender)
        granted = (
            request.term == state.term
            and free
            and state.role is Role.FOLLOWER
            and state.fault is None
            and not self._election.has_promised(now)
            and self._is_up_to_date(request)
        )
        if granted:
            state.set_term(state.term, vote=request.sender)
            self._election.restart_timer(now)
        reply = state.build(VoteReply, request.origin, pre=False, granted=granted)
        state.send_synced(request.origin, reply)

    def count(self, reply: VoteReply) -> bool:
        """Count a vote.

        :return: whether the pre-vote or the election has been won by it.
        """
        state = self._state
        if not reply.granted or not state.storage_matches(reply):
            return False
        expected = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        term = state.term + 1 if reply.pre else state.term
        if state.role is not expected or reply.term != term:
            return False
        self._election.grant(reply.sender)
        return self._election.is_won(state.members)

    def _answer_pre(self, request: VoteRequest, now: float) -> None:
        state = self._state
        granted = (
            request.term > state.term
            and state.role is not Role.LEADER
            and state.fault is None
            and not self._election.has_promised(now)
            and self._is_up_to_date(request)
        )
        term = request.term if granted else state.term
        reply = state.build(VoteReply, request.origin, term=term, pre=True, granted=granted)
        state.send_state_synced(request.origin, reply)

    def _ask(self, *, pre: bool) -> None:
        state = self._state
        last = state.log.last
        for voter in state.members.voters:
            if voter.id == state.id:
                continue
            request = state.build(
                VoteRequest,
                voter,
                term=state.term + 1 if pre else state.term,
                pre=pre,
                last_index=last.index,
                last_term=last.term,
            )
            if pre:
                state.send_state_synced(voter, request)
            else:
                state.send_synced(voter, request)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        last = self._state.log.last
        return (request.last_term, request.last_index) >= (last.term, last.index)
