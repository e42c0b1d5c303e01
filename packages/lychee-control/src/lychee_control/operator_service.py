"""Answers the requests of operators' programs."""

from collections.abc import Callable

from lychee_control.leader import Leader
from lychee_control.machine import ControlMachine
from lychee_log import Replica, ReplicaAddress
from lychee_runtime import Link
from lychee_types.clock import Clock
from lychee_types.commands import SubmitDocument, encode_command
from lychee_types.document_check import check_document
from lychee_types.exceptions import InvariantError, LycheeError, NotLeaderError, UnavailableError
from lychee_types.ids import ReplicaId
from lychee_types.operator_messages import (
    DumpReply,
    DumpRequest,
    HistoryReply,
    HistoryRequest,
    OperatorReply,
    OperatorRequest,
    Refused,
    ReplaceReply,
    ReplaceRequest,
    ShowReply,
    ShowRequest,
    StatusReply,
    StatusRequest,
    SubmitReply,
    SubmitRequest,
)
from lychee_types.records import Endpoint
from lychee_types.timing import Timing


class OperatorService:
    """Serves the operators' streams of one replica.

    :param replica: the replicated log.
    :param machine: the state machine.
    :param timing: timing parameters that documents must comply with.
    :param clock: source of time.
    :param leader: returns the running leader object, None while this replica does not lead.
    :param dump: returns the replica's state as text.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        machine: ControlMachine,
        timing: Timing,
        clock: Clock,
        leader: Callable[[], Leader | None],
        dump: Callable[[], str],
    ) -> None:
        self._replica = replica
        self._machine = machine
        self._timing = timing
        self._clock = clock
        self._leader = leader
        self._dump = dump

    async def serve(self, link: Link[OperatorReply, OperatorRequest]) -> None:
        """Answer the requests of one stream in order."""
        while batch := await link.receive():
            for req in batch:
                link.post(await self._answer(req))

    async def _answer(self, req: OperatorRequest) -> OperatorReply:
        if isinstance(req, DumpRequest):
            return DumpReply(text=self._dump())
        leader = self._leader()
        if leader is None or self._clock.monotonic() >= self._replica.lease_expires_at():
            return self._not_leader()
        try:
            return await self._answer_as_leader(leader, req)
        except InvariantError:
            raise
        except NotLeaderError:
            return self._not_leader()
        except LycheeError as exc:
            is_unavailable = isinstance(exc, UnavailableError)
            return Refused(message=exc.message, remedy=exc.remedy, unavailable=is_unavailable)

    async def _answer_as_leader(self, leader: Leader, req: OperatorRequest) -> OperatorReply:
        state = self._machine.state
        match req:
            case SubmitRequest():
                return await self._submit(req)
            case ShowRequest(version=version):
                wanted = version or state.document_version
                for entry in state.history:
                    if entry.version == wanted:
                        return ShowReply(
                            version=wanted, author=entry.author, document=entry.document
                        )
                return ShowReply(version=0, author="", document=None)
            case HistoryRequest():
                return HistoryReply(submissions=tuple(state.submissions.values()))
            case StatusRequest():
                return self._status(leader)
            case ReplaceRequest():
                return await self._replace(req)
            case DumpRequest():
                return DumpReply(text=self._dump())

    async def _submit(self, req: SubmitRequest) -> OperatorReply:
        faults = check_document(req.document, self._timing)
        if faults:
            return Refused(
                message="\n".join(fault.format_message() for fault in faults),
                remedy="correct the document; nothing of it was taken over",
            )
        command = SubmitDocument(
            submission=req.submission,
            based_on=req.based_on,
            author=req.author,
            document=req.document,
        )
        await self._replica.propose(encode_command(command))
        return SubmitReply(record=self._machine.state.submissions[req.submission])

    async def _replace(self, req: ReplaceRequest) -> OperatorReply:
        new = ReplicaAddress(id=req.new, endpoint=req.endpoint) if req.new else None
        old = req.old if req.old else None
        voters = await self._replica.replace_voter(old=old, new=new)
        return ReplaceReply(voters=tuple(voter.id for voter in voters))

    def _status(self, leader: Leader) -> StatusReply:
        now = self._clock.monotonic()
        known = self._replica.leader
        return StatusReply(
            leader=known.id if known else ReplicaId(""),
            term=self._replica.term,
            commit=self._replica.commit_index,
            document_version=self._machine.state.document_version,
            replicas=self._replica.replica_states(),
            gateways=leader.coordinator.gateway_states(now),
            servers=leader.coordinator.server_states(now),
            services=leader.coordinator.service_states(),
        )

    def _not_leader(self) -> Refused:
        known = self._replica.leader
        endpoint: Endpoint | None = None
        if known is not None and known.id != self._replica.id:
            endpoint = known.endpoint
        return Refused(
            message="this replica does not lead",
            remedy="ask the leader" if endpoint else "wait for the election and ask again",
            leader=endpoint,
            unavailable=endpoint is None,
        )
