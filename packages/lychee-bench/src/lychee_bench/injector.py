"""Injection of planned faults into a running deployment."""

import asyncio
import time
from collections.abc import Callable

from loguru import logger
from msgspec import structs

from lychee_bench.audit import Violation
from lychee_bench.deployment import Deployment
from lychee_bench.documents import DocumentChecker
from lychee_bench.relay import Direction, Network
from lychee_bench.schedule import (
    LEADER,
    Cut,
    Fault,
    Freeze,
    Isolate,
    Kill,
    Leave,
    Race,
    Wipe,
    describe_action,
)
from lychee_types.document import Document
from lychee_types.document_edit import with_leaving
from lychee_types.exceptions import UnavailableError
from lychee_types.ids import ServerId

REPLACE_TIMEOUT_S = 20.0
"""Timeout for the replacement of a control replica, in seconds."""

OPERATOR_TIMEOUT_S = 15.0
"""Timeout of an operator's request, in seconds."""

LEAVING_GRACE_S = 4.0
"""Time after which a server that was told to leave must get no new requests, in seconds."""

FIRST_SUBMIT_TIMEOUT_S = 0.05
"""Timeout of the first attempt of a submission, in seconds.

It is so short that the reply is often lost and the operator submits the document again.
"""

DOWN_AFTER_REPLACEMENT_S = 2.0
"""How long the control replica is down that is killed after a replacement, in seconds."""

NOT_REPLACED = "a lost control replica was not replaced"
NOT_ANSWERED = "operators got no answer"


class LeavingSpan:
    """Time span in which a server that was told to leave must get no new requests.

    :param server: the server's id.
    :param began: wall time of the start of the span, in seconds.
    """

    def __init__(self, *, server: str, began: float) -> None:
        self.server = server
        self.began = began
        self.ended = float("inf")


class Injector:
    """Injects faults, acts as the operators and checks the replies that they get.

    :param deployment: the deployment.
    :param network: the network to its control replicas.
    :param out: prints a line.
    """

    def __init__(
        self, *, deployment: Deployment, network: Network, out: Callable[[str], None]
    ) -> None:
        self.documents = DocumentChecker()
        self.violations: list[Violation] = []
        self.leaving_spans: list[LeavingSpan] = []
        self.active_times: dict[Fault, tuple[float, float]] = {}
        self._deployment = deployment
        self._network = network
        self._out = out
        self._submissions = 0
        self._started_at = 0.0

    async def run(self, faults: tuple[Fault, ...]) -> None:
        """Inject the faults of a schedule that starts now."""
        self._started_at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                tasks.create_task(self._run_fault(fault))

    async def poll_status(self) -> None:
        """Check the document versions that the status shows, until cancelled."""
        while True:
            try:
                self.documents.check_status(await self._deployment.operator.status(timeout_s=5.0))
            except UnavailableError as exc:
                logger.debug(
                    "status request failed, possibly because the leader was just lost: {}", exc
                )
            await asyncio.sleep(0.5)

    async def check_documents(self) -> None:
        """Compare every accepted document with the one that the control replicas store."""
        for version in sorted(self.documents.accepted):
            try:
                reply = await self._deployment.operator.show(version, timeout_s=OPERATOR_TIMEOUT_S)
                self.documents.check_stored(version, reply.document)
            except UnavailableError as exc:
                self._add_violation(NOT_ANSWERED, f"version {version}: {exc.message}")

    async def _run_fault(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self._started_at + fault.at - time.monotonic()))
        self._out(f"{time.monotonic() - self._started_at:7.2f} s: {describe_action(fault.action)}")
        began = time.monotonic()
        try:
            await self._inject(fault)
        except UnavailableError as exc:
            self._add_violation(NOT_ANSWERED, f"{describe_action(fault.action)}: {exc.message}")
        self.active_times[fault] = (began, time.monotonic())
        self._out(
            f"{time.monotonic() - self._started_at:7.2f} s: over: {describe_action(fault.action)}"
        )

    async def _inject(self, fault: Fault) -> None:
        match fault.action:
            case Kill(process=process):
                await self._kill(await self._resolve_leader(process), fault.lasts)
            case Freeze(process=process):
                name = self._deployment.process_name(await self._resolve_leader(process))
                self._deployment.processes.freeze(name)
                await asyncio.sleep(fault.lasts)
                self._deployment.processes.thaw(name)
            case Cut(process=process, control=control, there=there, back=back):
                control = await self._resolve_leader(control)
                if process == control:
                    process = next(name for name in self._deployment.controls if name != control)
                directions = (
                    Direction(source=process, target=control),
                    Direction(source=control, target=process),
                )
                chosen = [
                    direction
                    for direction, cut in zip(directions, (there, back), strict=True)
                    if cut
                ]
                await self._cut(tuple(chosen), fault.lasts)
            case Isolate(control=control):
                await self._cut(
                    self._all_directions(await self._resolve_leader(control)), fault.lasts
                )
            case Wipe(control=control, then=then):
                await self._wipe(control, then)
            case Race(operators=operators):
                await self._race(operators)
            case Leave(server=server):
                await self._leave(server, fault.lasts)

    async def _resolve_leader(self, name: str) -> str:
        if name != LEADER:
            return name
        status = await self._deployment.operator.status(timeout_s=OPERATOR_TIMEOUT_S)
        self._out(f"{time.monotonic() - self._started_at:7.2f} s: the leader is {status.leader}")
        return self._deployment.place_of(status.leader)

    async def _kill(self, place: str, seconds: float) -> None:
        name = self._deployment.process_name(place)
        self._deployment.processes.kill(name)
        await asyncio.sleep(seconds)
        self._deployment.processes.restart(name)

    async def _cut(self, directions: tuple[Direction, ...], seconds: float) -> None:
        self._network.cut(*directions)
        await asyncio.sleep(seconds)
        self._network.heal(*directions)

    def _all_directions(self, control: str) -> tuple[Direction, ...]:
        deployment = self._deployment
        others = [name for name in deployment.controls if name != control]
        others += [gateway.name for gateway in deployment.gateways]
        to_control = [Direction(source=other, target=control) for other in others]
        from_control = [Direction(source=control, target=other) for other in others]
        return (*to_control, *from_control)

    async def _wipe(self, place: str, then: str | None) -> None:
        self._deployment.processes.kill(self._deployment.process_name(place))
        await asyncio.sleep(1.0)
        try:
            await self._deployment.replace_control(place, timeout_s=REPLACE_TIMEOUT_S)
        except UnavailableError as exc:
            self._add_violation(NOT_REPLACED, exc.message)
        if then is not None:
            self._out(f"{time.monotonic() - self._started_at:7.2f} s: repaired; killing {then}")
            await self._kill(then, DOWN_AFTER_REPLACEMENT_S)

    async def _race(self, operators: int) -> None:
        shown = await self._deployment.operator.show(0, timeout_s=OPERATOR_TIMEOUT_S)
        if shown.document is None:
            self._add_violation(NOT_ANSWERED, "there is no current document")
            return
        async with asyncio.TaskGroup() as tasks:
            for _ in range(operators):
                document = self._with_unique_change(shown.document)
                tasks.create_task(self._submit(document, shown.version))

    def _with_unique_change(self, document: Document) -> Document:
        first, *rest = document.services
        changed = structs.replace(first, queue=first.queue + 1 + self._submissions)
        self._submissions += 1
        return structs.replace(document, services=(changed, *rest))

    async def _submit(self, document: Document, based_on: int) -> bool:
        """Submit a document repeatedly under one submission id, and check the replies.

        The reply to the first attempt may be lost. Return whether the document was accepted.
        """
        self._submissions += 1
        submission = f"bench-{self._submissions}"
        operator = self._deployment.operator
        accepted = False
        for timeout_s in (FIRST_SUBMIT_TIMEOUT_S, OPERATOR_TIMEOUT_S, OPERATOR_TIMEOUT_S):
            try:
                record = await operator.submit(
                    document,
                    submission=submission,
                    based_on=based_on,
                    author=f"operator {submission}",
                    timeout_s=timeout_s,
                )
            except UnavailableError:
                if timeout_s == FIRST_SUBMIT_TIMEOUT_S:
                    continue
                raise
            self.documents.check_submission(record, document)
            accepted = record.accepted
        return accepted

    async def _leave(self, server: str, seconds: float) -> None:
        await self._set_leaving(server, leaving=True)
        span = LeavingSpan(server=server, began=time.time() + LEAVING_GRACE_S)
        self.leaving_spans.append(span)
        await asyncio.sleep(seconds)
        span.ended = time.time()
        await self._set_leaving(server, leaving=False)

    async def _set_leaving(self, server: str, *, leaving: bool) -> None:
        while True:
            shown = await self._deployment.operator.show(0, timeout_s=OPERATOR_TIMEOUT_S)
            assert shown.document is not None
            document = with_leaving(shown.document, ServerId(server), leaving=leaving)
            if await self._submit(document, shown.version):
                return

    def _add_violation(self, kind: str, detail: str) -> None:
        self.violations.append(Violation(kind=kind, detail=detail))
