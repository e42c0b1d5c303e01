"""An operator and clients, as PROTOCOL.md tells them."""

import asyncio
import time
import uuid

from rig import Record, Rig, call, call_any

LIMITS = {
    "MaxHeaderBytes": 16_384, "MaxBodyBytes": 67_108_864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15,
}
"""The limits of the manifest in PROTOCOL.md."""


def service(name: str) -> dict:
    return {
        "Name": name, "HealthCheckPath": "/health", "MaxConnections": 52, "Protocol": "h1",
        "Tls": False,
    }


def route(name: str, prefix: str, kind: str, to: str) -> dict:
    return {
        "Name": name, "PathPrefix": prefix, "Type": kind, "TimeoutS": 1, "TargetLatencyS": 0.4,
        "Priority": 1, "Service": to, "MaxAttempts": 2,
    }


def manifest(
    number: int, *, services: list[dict], host: str, routes: list[dict], limits: dict | None = None
) -> dict:
    return {
        "Version": f"r{number}", "Services": services, "Limits": limits or LIMITS,
        "Hosts": [{"Host": host, "Paths": routes}],
    }


async def replace_manifest(
    rig: Rig, record: Record, new: dict, *, base: str, until: float, quiet: bool = False
) -> float | None:
    """Send a manifest until it is acknowledged; return when, None if it is not by a time."""
    while time.monotonic() < until:
        answer = await call_any(
            rig, "POST", "/-/config/replace", headers={"X-Base-Version": base}, body=new,
            timeout_s=4.0,
        )
        if answer is not None and answer.status == 200:
            (record if quiet else record.say)(f"operator: {new['Version']} is acknowledged")
            return time.monotonic()
        if answer is not None and answer.status in (400, 409, 412, 413, 422):
            record.say(f"operator: {new['Version']} got {answer.status} {answer.body[:120]!r}")
            return None
        await asyncio.sleep(0.1)
    return None


class Clients:
    """Clients that send one request after the other, each on a new connection."""

    def __init__(
        self, rig: Rig, record: Record, *, host: str, path: str, method: str, count: int,
        pause_s: float,
    ) -> None:
        self.sent = 0
        self.statuses: dict[str, int] = {}
        self._rig, self._record = rig, record
        self._host, self._path, self._method = host, path, method
        self._pause_s = pause_s
        self._is_over = False
        self._tasks = [asyncio.create_task(self._run(number)) for number in range(count)]

    async def stop(self) -> None:
        self._is_over = True
        await asyncio.gather(*self._tasks)

    async def _run(self, number: int) -> None:
        while not self._is_over:
            request = uuid.uuid4().hex[:16]
            self.sent += 1
            edge = self._rig.edge[number % len(self._rig.edge)]
            self._record(f"client {number}: sends {self._method} {request} to {edge.name}")
            answer = await call(
                edge.host, self._rig.front_port, self._method, f"{self._path}{self.sent}",
                headers={"X-Request-Id": request, "X-Deadline-Ms": "1000"},
                body={"order": self.sent} if self._method == "POST" else None,
                name=self._host,
            )
            status = "no answer" if answer is None else str(answer.status)
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self._record(f"client {number}: {request} got {status}")
            await asyncio.sleep(self._pause_s)
