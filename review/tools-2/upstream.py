"""A sound upstream of a service without keys, as PROTOCOL.md tells it."""

import asyncio
import time

from rig import BEAT_S, Answer, Record, Rig, call, call_any, encode_request

__all__ = ["Upstream", "encode_request"]


class Upstream:
    """One lifetime of an upstream: it checks in, runs requests, and leaves.

    :param rig: the deployment.
    :param record: the record of what it runs.
    :param id: its id.
    :param service: its service.
    :param host: its address.
    :param zone: its zone.
    :param work_s: how long a request takes, in seconds.
    """

    def __init__(
        self, rig: Rig, record: Record, *, id: str, service: str, host: str, zone: str,
        work_s: float = 0.02,
    ) -> None:
        self.rig, self.record = rig, record
        self.id, self.service, self.host, self.zone = id, service, host, zone
        self.work_s = work_s
        self.port = 0
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.beat_host = ""
        self.runs: list[tuple[float, str]] = []
        self.acked_at: float | None = None
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and check in every BEAT_S."""
        self._server = await asyncio.start_server(self._serve, self.host, 0, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat())

    async def exit(self) -> None:
        """End without a word, as a process does."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_beats(self) -> None:
        if self._beats is not None:
            self._beats.cancel()

    async def deregister_at(self, host: str) -> Answer | None:
        """Send a deregistration to one core machine and return its answer, None after a second."""
        self.record(f"{self.id}: POST deregister to {host}")
        answer = await call(
            host, self.rig.control_port, "POST", f"/-/instances/{self.id}/deregister",
            body={"born": self.born},
        )
        status = "no answer" if answer is None else f"{answer.status} {answer.body[:200]!r}"
        self.record.say(f"{self.id}: deregister at {host} got {status}")
        return answer

    async def _beat(self) -> None:
        while True:
            self.sequence += 1
            answer = await self._check_in()
            if answer is not None and 200 <= answer.status < 300:
                if self.acked_at is None:
                    self.acked_at = time.monotonic()
                    self.record.say(f"{self.id}: first check-in is acknowledged")
                url = answer.json().get("HeartbeatUrl") if answer.body else None
                self.beat_host = url.split("//")[1].split(":")[0] if url else ""
            else:
                self.beat_host = ""
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(BEAT_S)

    async def _check_in(self) -> Answer | None:
        path = f"/-/instances/{self.id}/heartbeat"
        body = {
            "Service": self.service, "Address": f"{self.host}:{self.port}", "Zone": self.zone,
            "Version": "v1", "Slots": 4, "State": "ready", "ColdRemainingS": 0,
            "Sequence": self.sequence, "born": self.born,
        }
        if self.beat_host:
            return await call(self.beat_host, self.rig.control_port, "POST", path, body=body)
        return await call_any(self.rig, "POST", path, body=body, first=self.sequence)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines if line)
                }
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size)
                await self._answer(writer, method, target, headers, body)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, writer: asyncio.StreamWriter, method: str, target: str, headers: dict, body: bytes
    ) -> None:
        request = headers.get("x-request-id", "")
        echo = f"X-Request-Id: {request}\r\nX-Instance-Load: 1,0,4\r\n" if request else ""
        if target == "/health":
            text = f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.id}\r\n{echo}Content-Length: 0\r\n\r\n"
            writer.write(text.encode())
            return
        if headers.get("x-target-instance", self.id) != self.id:
            self.record(f"{self.id}: 421 for {request}")
            text = f"HTTP/1.1 421 no\r\nX-Not-Executed: 1\r\n{echo}Content-Length: 0\r\n\r\n"
            writer.write(text.encode())
            return
        self.runs.append((time.monotonic(), request))
        self.record(f"{self.id}: runs {method} {request}")
        await asyncio.sleep(self.work_s)
        data = f"{request} by {self.id}".encode()
        text = (
            f"HTTP/1.1 200 OK\r\n{echo}X-Response-Signature: {len(data):x}.{self.id}\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        writer.write(text.encode() + data)
