"""The candidate role of a replica, and its votes for other candidates."""

from lychee_log.election import Election
from lychee_log.messages import VoteReply, VoteRequest
from lychee_log.state import RaftState, Role


class Candidate:
    """Starts elections, answers vote requests and counts votes.

    :param state: the replica's state.
    :param election: election timer and votes received.
    """

    def __init__(self, *, state: RaftState, election: Election) -> None:
        self._state = state
        self._election = election

    @property
    def can_start_election(self) -> bool:
        """Return whether this replica may start an election.

        A voter whose removal is not known to be committed still may, because the other voters may
        need the entries in its log.
        """
        state = self._state
        return state.identity.group != 0 and state.may_be_voter and state.disk_fault is None

    def start_pre_vote(self, now: float) -> None:
        """Ask the other voters whether they would vote for this replica, without a new term."""
        state = self._state
        state.role = Role.PRE_CANDIDATE
        state.leader = None
        self._election.reset_votes()
        self._election.add_vote(state.id)
        self._election.schedule_retry(now)
        if self._election.is_won(state.members):
            self.start_election(now)
        else:
            self._request_votes(pre=True)

    def start_election(self, now: float, *, handed_over: bool = False) -> None:
        """Enter the next term and request votes.

        :param now: current monotonic time in seconds.
        :param handed_over: whether the leader has given up its lease for this replica.
        """
        state = self._state
        state.set_term(state.term + 1, vote=state.id)
        state.role = Role.CANDIDATE
        state.leader = None
        self._election.reset_votes()
        self._election.schedule_retry(now)
        own_vote = state.build_message(VoteReply, state.own_address, pre=False, granted=True)
        state.send_after_sync(state.own_address, own_vote)
        self._request_votes(pre=False, handed_over=handed_over)

    def answer_vote_request(self, request: VoteRequest, now: float) -> None:
        """Answer a vote or pre-vote request; the caller has already adopted its term."""
        if request.pre:
            self._answer_pre_vote(request, now)
            return
        state = self._state
        can_vote = state.hard_state.vote in (None, request.sender)
        is_promised = self._election.are_votes_blocked(now) and not request.handed_over
        granted = (
            request.term == state.term
            and can_vote
            and state.role is Role.FOLLOWER
            and state.disk_fault is None
            and not is_promised
            and self._is_up_to_date(request)
        )
        if granted:
            state.set_term(state.term, vote=request.sender)
            self._election.restart_timer(now)
        reply = state.build_message(VoteReply, request.sender_address, pre=False, granted=granted)
        state.send_after_sync(request.sender_address, reply)

    def count_vote(self, reply: VoteReply) -> bool:
        """Count a vote or pre-vote.

        :return: whether this vote completed a majority.
        """
        state = self._state
        if not reply.granted or not state.sender_storage_matches(reply):
            return False
        expected_role = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        term = state.term + 1 if reply.pre else state.term
        if state.role is not expected_role or reply.term != term:
            return False
        self._election.add_vote(reply.sender)
        return self._election.is_won(state.members)

    def _answer_pre_vote(self, request: VoteRequest, now: float) -> None:
        state = self._state
        granted = (
            request.term > state.term
            and state.role is not Role.LEADER
            and state.disk_fault is None
            and not self._election.are_votes_blocked(now)
            and self._is_up_to_date(request)
        )
        reply_term = request.term if granted else state.term
        reply = state.build_message(
            VoteReply, request.sender_address, term=reply_term, pre=True, granted=granted
        )
        state.send_after_state_sync(request.sender_address, reply)

    def _request_votes(self, *, pre: bool, handed_over: bool = False) -> None:
        state = self._state
        last = state.log.last
        for voter in state.members.voters:
            if voter.id == state.id:
                continue
            request = state.build_message(
                VoteRequest,
                voter,
                term=state.term + 1 if pre else state.term,
                pre=pre,
                last_index=last.index,
                last_term=last.term,
                handed_over=handed_over,
            )
            if pre:
                state.send_after_state_sync(voter, request)
            else:
                state.send_after_sync(voter, request)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        last = self._state.log.last
        return (request.last_term, request.last_index) >= (last.term, last.index)
