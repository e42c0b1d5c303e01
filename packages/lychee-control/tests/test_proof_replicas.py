"""Groups of three control replicas with real files, under crashes, partitions and repairs."""

import asyncio
import os
import threading
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from shutil import rmtree
from typing import Any

import pytest

from lychee_control.core import ControlDaemon
from lychee_control.peers import LogMessage
from lychee_gateway.view import StateView
from lychee_log.messages import Hello
from lychee_runtime import open_link
from lychee_runtime.operator_client import OperatorClient
from lychee_types.commands import SubmitDocument, encode_command
from lychee_types.document import Document, RequestKind, Service
from lychee_types.exceptions import UnavailableError
from lychee_types.messages import (
    ATTACH,
    Attach,
    Deltas,
    GrantLease,
    RenewLease,
    Snapshot,
    ToControl,
    ToGateway,
)
from lychee_types.operator_messages import (
    OPERATE,
    OperatorReply,
    OperatorRequest,
    SubmitRequest,
)
from lychee_types.records import GatewayRecord
from lychee_types.settings import ControlSettings, PeerSettings
from lychee_types.state import SubmissionRecord

LIMIT_S = 30
GATEWAY = GatewayRecord(id="g1", session="s1", domain="nord")


class FaultyControlDaemon(ControlDaemon):
    """A control replica with faults on request, which records its lease grants.

    It can be partitioned from its peers, or drop the log's entries that they send.
    """

    def __init__(self, *, cfg: ControlSettings) -> None:
        super().__init__(cfg=cfg)
        self.is_partitioned = False
        self.drops_entries = False
        self.late_grants: list[float] = []
        self.grants = 0
        post = self._peers.post_frame
        self._peers.post_frame = lambda **frame: None if self.is_partitioned else post(**frame)

    def _handle_frame(self, frame) -> None:
        carries_entries = isinstance(frame, LogMessage) and not isinstance(frame.message, Hello)
        if not self.is_partitioned and not (self.drops_entries and carries_entries):
            super()._handle_frame(frame)

    def _reply(self, session, message) -> None:
        if isinstance(message, GrantLease):
            self.grants += 1
            late_s = self._clock.monotonic() - self.lease_expires_at
            self.late_grants += [late_s] if late_s > 0.15 else []
        super()._reply(session, message)

    @property
    def lease_expires_at(self) -> float:
        return self._replica.lease_expires_at()

    @property
    def leads(self) -> bool:
        return self._leader is not None

    @property
    def version(self) -> int:
        return self._machine.state.document_version

    @property
    def last_index(self) -> int:
        """Index of the last entry in the replica's log."""
        core = self._replica._core
        return core.state.log.last.index if core else 0

    async def change(self, *, count: int) -> None:
        """Commit a number of further versions of the document."""
        first = self.version
        commands = (
            SubmitDocument(
                submission=f"bulk-{n}", based_on=n, author="bulk", document=document(f"v{n + 1}")
            )
            for n in range(first, first + count)
        )
        await asyncio.gather(*(self._replica.propose(encode_command(item)) for item in commands))


class Group:
    """Control replicas in one event loop."""

    def __init__(self, *, folder: Path, make_endpoint: Callable[[], Any]) -> None:
        self.folder = folder
        self.endpoints = {name: make_endpoint() for name in ("c1", "c2", "c3", "c4")}
        self.daemons: dict[str, FaultyControlDaemon] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def start(
        self, name: str, *, first: tuple[str, ...] = ("c1", "c2", "c3")
    ) -> FaultyControlDaemon:
        cfg = ControlSettings(
            id=name,
            listen=self.endpoints[name],
            domain="nord",
            data=str(self.folder / name),
            replicas=tuple(PeerSettings(id=n, endpoint=self.endpoints[n]) for n in first),
        )
        self.daemons[name] = FaultyControlDaemon(cfg=cfg)
        self._tasks[name] = asyncio.create_task(self.daemons[name].serve())
        return self.daemons[name]

    async def kill(self, name: str) -> None:
        daemon = self.daemons.pop(name)
        daemon.is_partitioned = True
        await daemon.cancel_tasks()
        task = self._tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def leader(self) -> str:
        """Return the leader among the replicas that are not partitioned."""
        await until(lambda: any(d.leads and not d.is_partitioned for d in self.daemons.values()))
        return next(name for name, d in self.daemons.items() if d.leads and not d.is_partitioned)

    async def all_at(self, version: int) -> None:
        await until(lambda: {daemon.version for daemon in self.daemons.values()} == {version})

    def operator(self, *names: str) -> OperatorClient:
        return OperatorClient(control=[self.endpoints[n] for n in names or self.daemons])

    async def submit(self, *names: str, **fields: Any) -> SubmissionRecord:
        """Submit a document, again until there is an answer."""
        return await retry_until_available(lambda: self.operator(*names).submit(**fields))


@asynccontextmanager
async def running_group(folder: Path, make_endpoint) -> AsyncIterator[Group]:
    group = Group(folder=folder, make_endpoint=make_endpoint)
    for name in ("c1", "c2", "c3"):
        group.start(name)
    try:
        await group.leader()
        yield group
    finally:
        await asyncio.gather(*(group.kill(name) for name in tuple(group.daemons)))


def run(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(scenario, LIMIT_S))


async def until(check: Callable[[], bool]) -> None:
    while not check():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


async def retry_until_available(ask: Callable[[], Awaitable[Any]]) -> Any:
    while True:
        try:
            return await ask()
        except UnavailableError:
            await asyncio.sleep(0.02)


def document(name: str) -> Document:
    status = Service(
        name="status", path="/status/", kind=RequestKind.KEYED, idempotent=True, deadline_ms=1_000
    )
    return Document(organisation=name, domains=("nord",), services=(status,))


def submission(name: str, *, based_on: int) -> dict[str, Any]:
    return dict(submission=name, based_on=based_on, author=name, document=document(name))


async def follow(group: Group, name: str, view: StateView) -> None:
    """Apply the updates that a replica sends to a gateway."""
    async with open_link(
        endpoint=group.endpoints[name], method=ATTACH, send=ToControl, receive=ToGateway
    ) as link:
        link.post(Attach(gateway=GATEWAY, have=view.state.index))
        while batch := await link.receive():
            for message in batch:
                match message:
                    case Deltas():
                        view.apply_deltas(message)
                    case Snapshot():
                        view.install_snapshot(message)


@asynccontextmanager
async def following(group: Group, name: str, view: StateView) -> AsyncIterator[None]:
    task = asyncio.create_task(retry_until_available(lambda: follow(group, name, view)))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def test_of_operators_with_equal_versions_one_wins_at_every_replica(tmp_path, make_endpoint):
    async def scenario() -> None:
        async with running_group(tmp_path, make_endpoint) as group:
            for based_on in range(3):
                submissions = [
                    submission(f"{name}-{based_on}", based_on=based_on) for name in group.daemons
                ]
                asked = zip(group.daemons, submissions, strict=True)
                records = await asyncio.gather(*(group.submit(n, **f) for n, f in asked))
                winners = [record for record in records if record.accepted]
                assert len(winners) == 1
                assert {record.version for record in records} == {based_on + 1}
                losers = [record for record in records if not record.accepted]
                assert {record.winner for record in losers} == {winners[0].author}
                await group.all_at(based_on + 1)
                shown = await retry_until_available(group.operator().show)
                assert shown.document.organisation == winners[0].author

    run(scenario())


def test_nothing_is_acknowledged_before_a_majority_has_synced_it(
    tmp_path, make_endpoint, monkeypatch
):
    gate, sync, synced = threading.Event(), os.fdatasync, []

    def wait_and_sync(fd: int) -> None:
        gate.wait(LIMIT_S)
        sync(fd)
        synced.append(fd)

    async def scenario() -> None:
        async with running_group(tmp_path, make_endpoint) as group:
            leader = await group.leader()
            monkeypatch.setattr(os, "fdatasync", wait_and_sync)
            try:
                sending = asyncio.create_task(
                    group.submit(leader, **submission("anna", based_on=0))
                )
                await asyncio.sleep(0.3)
                assert not sending.done() and group.daemons[leader].version == 0
            finally:
                gate.set()
            assert (await sending).accepted and len(synced) >= 2

    run(scenario())


@pytest.mark.parametrize("committed", [True, False])
def test_a_form_sent_again_after_its_leader_was_lost_counts_once(
    tmp_path, make_endpoint, committed
):
    async def scenario() -> None:
        async with running_group(tmp_path, make_endpoint) as group:
            lost = await group.leader()
            async with open_link(
                endpoint=group.endpoints[lost],
                method=OPERATE,
                send=OperatorRequest,
                receive=OperatorReply,
            ) as link:
                link.post(SubmitRequest(**submission("anna", based_on=0)))
                follower = next(d for name, d in group.daemons.items() if name != lost)
                await until(lambda: not committed or follower.version == 1)
                await group.kill(lost)
            again = await group.submit(**submission("anna", based_on=0))
            assert again.accepted and again.version == 1
            assert (await group.submit(**submission("bo", based_on=1))).version == 2
            assert await group.submit(**submission("anna", based_on=0)) == again
            shown = await retry_until_available(group.operator().show)
            assert (shown.version, shown.author) == (2, "bo")

    run(scenario())


async def deliver_entries_later(leader: FaultyControlDaemon, learner: FaultyControlDaemon) -> None:
    """Let a learner get the log's entries only some time after it was added."""
    members = leader._replica._core.state
    await until(lambda: members.members.find(learner._cfg.id) is not None)
    await asyncio.sleep(0.3)
    learner.drops_entries = False


@pytest.mark.parametrize("planned", [True, False])
def test_a_vm_lost_right_after_a_repair_takes_nothing_with_it(tmp_path, make_endpoint, planned):
    async def scenario() -> None:
        async with running_group(tmp_path, make_endpoint) as group:
            leader = await group.leader()
            old, kept = (name for name in ("c1", "c2", "c3") if name != leader)
            if not planned:
                await group.kill(old)
                rmtree(tmp_path / old)
            await group.daemons[leader].change(count=300)
            new = group.start("c4", first=())
            new.drops_entries = True
            delivering = asyncio.create_task(deliver_entries_later(group.daemons[leader], new))
            voters = await retry_until_available(
                lambda: group.operator(leader).replace(
                    old=old, new="c4", endpoint=group.endpoints["c4"]
                )
            )
            assert new.last_index >= group.daemons[leader]._replica.commit_index
            assert set(voters) == {leader, kept, "c4"} and delivering.done()
            for name in (leader, old):
                if name in group.daemons:
                    await group.kill(name)
            assert (await retry_until_available(group.operator().show)).version == 300
            assert (await group.submit(**submission("anna", based_on=300))).version == 301

    run(scenario())


def test_a_leader_that_is_cut_off_grants_nothing_and_answers_no_operator(tmp_path, make_endpoint):
    async def renew(link) -> None:
        link.post(Attach(gateway=GATEWAY, have=0))
        for number in range(1, 1_000):
            renewal = RenewLease(
                session="s1", number=number, applied=10**6, document_version=1, ending=False
            )
            link.post(renewal)
            await asyncio.sleep(0.02)

    async def scenario() -> None:
        async with running_group(tmp_path, make_endpoint) as group:
            assert (await group.submit(**submission("anna", based_on=0))).accepted
            name = await group.leader()
            old = group.daemons[name]
            async with open_link(
                endpoint=group.endpoints[name], method=ATTACH, send=ToControl, receive=ToGateway
            ) as link:
                renewing = asyncio.create_task(renew(link))
                await until(lambda: old.grants > 0)
                old.is_partitioned = True
                await until(lambda: old._clock.monotonic() >= old.lease_expires_at)
                for ask in (group.operator(name).show, group.operator(name).status):
                    with pytest.raises(UnavailableError):
                        await ask()
                assert await group.leader() != name
                await until(lambda: not old.leads)
                renewing.cancel()
            assert old.late_grants == []
            others = tuple(n for n in group.daemons if n != name)
            assert (await group.submit(*others, **submission("bo", based_on=1))).version == 2
            assert old.version == 1
            old.is_partitioned = False
            await until(lambda: old.version == 2)
            assert (await retry_until_available(group.operator(name).show)).author == "bo"

    run(scenario())


def test_a_gateway_never_goes_back_a_version_at_a_replica_that_lags(tmp_path, make_endpoint):
    async def scenario() -> None:
        async with running_group(tmp_path, make_endpoint) as group:
            leader = await group.leader()
            lagging = next(name for name in group.daemons if name != leader)
            await group.daemons[leader].change(count=1)
            view, versions = StateView(), []
            view.add_listener(lambda: versions.append(view.state.document_version))
            await group.kill(lagging)
            async with following(group, leader, view):
                await group.daemons[leader].change(count=300)
                await until(lambda: view.state.document_version == 301)
            returned = group.start(lagging)
            returned.is_partitioned = True
            async with following(group, lagging, view):
                await until(lambda: len(returned._attachments) == 1)
                await asyncio.sleep(0.05)
                assert view.state.document_version == 301
                returned.is_partitioned = False
                assert (await group.submit(**submission("anna", based_on=301))).accepted
                await until(lambda: view.state.document_version == 302)
            assert versions == sorted(versions)
            newcomer = StateView()
            async with following(group, lagging, newcomer):
                await until(lambda: newcomer.state.document_version == 302)
            assert newcomer.state.document == view.state.document

    run(scenario())
