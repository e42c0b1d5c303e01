"""Start the project's own programs as a small deployment on loopback, and stand-ins around them.

Only the standard library is used. The programs are started with the commands and templates of
deploy/system.toml, each machine with a loopback address of its own, and with settings like those of
the kemer-gw site.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("gebze", "bursa", "tekirdag")
BEAT_S = 1.5
"""Interval of upstreams' check-ins, in seconds (kemer-gw: beat_ms = 1500)."""
CORE_MEMORY_MB = 296
"""MemoryMb of a core machine (SYSTEM.md, Kemer)."""

_PLACE = re.compile(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}")


def _lookup(fields: dict, name: str):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def fill(template: str, fields: dict) -> str:
    """Fill in a template as DEPLOY.md tells, as far as the project's templates need it."""

    def put(match: re.Match) -> str:
        value = _lookup(fields, match[1])
        if match[2]:
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return _PLACE.sub(put, template)


class Record:
    """The record of what was sent, answered and run, with seconds since its beginning."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def __call__(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        self(text)
        print(f"{self.now():8.2f} {text}", flush=True)


class Machine:
    """One machine of the system with one role."""

    def __init__(self, rig: "Rig", role: str, name: str, zone: str, host: str) -> None:
        self.rig, self.role, self.name, self.zone, self.host = rig, role, name, zone, host
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self.data = rig.folder / f"data-{name}"

    def fields(self, *, bootstrap: bool) -> dict:
        rig = self.rig
        is_core = self.role == "control"
        listen = (
            {"Control": f"{self.host}:{rig.control_port}"}
            if is_core
            else {
                "Front": f"{self.host}:{rig.front_port}",
                "Ready": f"{self.host}:{rig.ready_port}",
            }
        )
        return {
            "Node": self.name,
            "Zone": self.zone,
            "Ip": self.host,
            "Bootstrap": bootstrap,
            "DataDir": str(self.data),
            "Listen": listen,
            "InternalPorts": [rig.peer_port, rig.peer_port + 15],
            "Seeds": [f"{core.host}:{rig.control_port}" for core in rig.core],
            "Zones": {zone: "marmara" for zone in ZONES},
            "HeartbeatS": BEAT_S,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Limits": {"MemoryMb": CORE_MEMORY_MB, "MaxFds": 4096}
            if is_core
            else {"MemoryMb": 300, "MaxFds": 4100},
            "Bounds": {
                "DrainS": 2,
                "ConfigApplyS": 2,
                "GraceS": 6.0,
                "HoldMaxS": 10,
                "RetryBudgetRatio": 0.2,
                "BudgetSlack": 58,
            },
        }

    def start(self, *, bootstrap: bool) -> None:
        role = self.rig.roles[self.role]
        fields = self.fields(bootstrap=bootstrap)
        settings = self.rig.folder / f"{self.name}.yaml"
        # The metrics page of the templates has a fixed port, which may be in use here.
        text = fill((ROOT / role["template"]).read_text(), fields)
        text = text.replace(f'"{self.host}:9464"', f'"{self.host}:{self.rig.metrics_port}"')
        settings.write_text(text)
        self.data.mkdir(exist_ok=True)
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target/deps"), "LYCHEESCALE_CONFIG": str(settings)}
        env |= {key: fill(value, fields) for key, value in role.get("env", {}).items()}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.rig.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            role["run"].split(), cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.starts += 1

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def memory_mb(self) -> float:
        """Return the memory that is the process's own: no file that is mapped counts."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = dict(re.findall(r"^(RssAnon|RssShmem):\s+(\d+) kB", status, re.M))
        return sum(map(int, sizes.values())) / 1024

    def log_text(self) -> str:
        path = self.rig.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Rig:
    """A deployment of some core machines and some edge machines."""

    def __init__(self, *, core: int = 3, edge: int = 0) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review2-"))
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        net = 10 + os.getpid() % 200
        hosts = iter(f"127.{net}.{i // 250}.{1 + i % 250}" for i in range(500))
        core_hosts = [next(hosts) for _ in range(core)]
        edge_hosts = [next(hosts) for _ in range(edge)]
        self.spare_hosts = hosts
        ports = free_ports(core_hosts + edge_hosts)
        self.control_port, self.front_port, self.ready_port, self.peer_port, self.metrics_port = ports
        self.core: list[Machine] = []
        for i, host in enumerate(core_hosts):
            self.core.append(Machine(self, "control", f"core-{i + 1}", ZONES[i % 3], host))
        self.edge = [
            Machine(self, "gateway", f"edge-{i + 1}", ZONES[i % 3], host)
            for i, host in enumerate(edge_hosts)
        ]

    def start(self) -> None:
        for machine in self.core + self.edge:
            machine.start(bootstrap=True)

    def stop(self) -> None:
        for machine in self.core + self.edge:
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(hosts: list[str]) -> list[int]:
    """Return five ports that are free at all hosts; the fourth has a free one 15 above it."""
    found: list[int] = []
    seed = 20_000 + os.getpid() % 20_000
    for port in range(seed, seed + 20_000, 37):
        if all(_is_free(host, number) for host in hosts for number in (port, port + 15)):
            found.append(port)
        if len(found) == 5:
            return found
    raise OSError("no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
        return True


class Answer:
    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body

    def json(self):
        return json.loads(self.body)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one response that has a length or is chunked."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(first.split()[1]), headers, body)


def encode_request(method: str, path: str, host: str, headers: dict, body: bytes | None) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


async def call(
    host: str, port: int, method: str, path: str, *, headers: dict | None = None,
    body: object = None, timeout_s: float = 1.0, name: str = "",
) -> Answer | None:
    """Make a call on a new connection; None for no answer.

    :param name: the Host header, the address if it is empty.
    """
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json", "Connection": "close"} | (headers or {})
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port, limit=2**24)
            writer.write(encode_request(method, path, name or f"{host}:{port}", headers, data))
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call_any(
    rig: Rig, method: str, path: str, *, headers: dict | None = None, body: object = None,
    first: int = 0, timeout_s: float = 1.0,
) -> Answer | None:
    """Call one core machine after the other, as an operator or an upstream does.

    A 307 is followed twice. The next machine is called after a failure, a 5xx, a 408 or a 429.
    """
    for i in range(len(rig.core)):
        host = rig.core[(first + i) % len(rig.core)].host
        for _ in range(3):
            answer = await call(
                host, rig.control_port, method, path, headers=headers, body=body,
                timeout_s=timeout_s,
            )
            if answer is None or answer.status != 307:
                break
            host = answer.headers["location"].split("//")[1].split(":")[0]
        if answer is not None and answer.status < 500 and answer.status not in (307, 408, 429):
            return answer
    return None


async def find_leader(rig: Rig, *, but: Machine | None = None) -> Machine | None:
    """Return the core machine that answers a read of the manifest itself."""
    for machine in rig.core:
        if machine is but:
            continue
        answer = await call(
            machine.host, rig.control_port, "GET", "/-/config/describe", timeout_s=0.5
        )
        if answer is not None and answer.status == 200:
            return machine
    return None
