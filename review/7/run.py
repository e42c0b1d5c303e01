"""Some hundred changes of a manifest of some thousand routes take up a core machine's memory."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "tools-2"))

from rig import CORE_MEMORY_MB, Machine, Record, Rig, call_any  # noqa: E402
from traffic import manifest, replace_manifest, service  # noqa: E402

GROWTHS = 6
GROWTH_ROUTES = 350
"""count of big_config in kemer-gw's list of troubles: routes more, each time."""
CHANGES = 500
"""Changes of the day; PROTOCOL.md: it may contain hundreds of changes."""
IDLE_ROUTES = 8
RESTART_S = 0.5
WATCH_S = 0.05
ENDS = 3
HOST = "jepu9.example"
SERVICES = ("huvo11a", "kafi81c", "wuno96b")


class Platform:
    """Kills a process that uses more than MemoryMb, and starts a process again that has ended."""

    def __init__(self, rig: Rig, record: Record) -> None:
        self.ends: dict[str, int] = {machine.name: 0 for machine in rig.core}
        self._rig, self._record = rig, record
        self._down_since: dict[str, float] = {}

    async def run(self) -> None:
        while True:
            for machine in self._rig.core:
                self._look(machine)
            await asyncio.sleep(WATCH_S)

    def _look(self, machine: Machine) -> None:
        now = time.monotonic()
        if machine.is_running():
            used_mb = machine.memory_mb()
            if used_mb <= CORE_MEMORY_MB:
                return
            machine.kill()
            self._note_end(machine, f"uses {used_mb:.0f} MB of {CORE_MEMORY_MB}, and is killed")
        elif machine.name not in self._down_since:
            self._note_end(machine, f"has ended with {machine.process.poll()}")
        elif now - self._down_since[machine.name] >= RESTART_S:
            del self._down_since[machine.name]
            machine.start(bootstrap=False)
            self._record(f"platform: {machine.name} is started again")

    def _note_end(self, machine: Machine, text: str) -> None:
        self.ends[machine.name] += 1
        self._down_since[machine.name] = time.monotonic()
        self._record.say(f"platform: {machine.name} {text}")


def routes(count: int, change: int) -> list[dict]:
    """Return routes as in PROTOCOL.md; the weights of each change differ from those before."""
    return [
        {
            "Name": f"r-{number:07x}", "PathPrefix": f"/lepu270/{number:05x}/", "Type": "safe",
            "TimeoutS": 0.8, "TargetLatencyS": 0.3, "Priority": 2, "MaxAttempts": 2,
            "TrafficSplit": [
                {"Service": SERVICES[0], "Weight": 40 + change % 50},
                {"Service": SERVICES[1], "Weight": 10},
            ],
        }
        for number in range(count)
    ]


async def main() -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE / "record.txt")
    rig = Rig(core=3)
    platform = Platform(rig, record)
    watch = None
    try:
        rig.start()
        until = time.monotonic() + 95
        services = [service(name) for name in SERVICES]
        watch = asyncio.create_task(platform.run())
        number, count, largest_mb = 1, IDLE_ROUTES, 0.0
        new = manifest(1, services=services, host=HOST, routes=routes(count, 0))
        if await replace_manifest(rig, record, new, base="0", until=until) is None:
            return 2
        for change in range(CHANGES):
            if trouble and change < GROWTHS:
                count += GROWTH_ROUTES
            new = manifest(
                number + 1, services=services, host=HOST, routes=routes(count, change)
            )
            acked = await replace_manifest(
                rig, record, new, base=f"r{number}", until=until, quiet=change % 50 != 0
            )
            if acked is None:
                record.say(f"r{number + 1} was not acknowledged in time")
                break
            number += 1
            used = [machine.memory_mb() for machine in rig.core if machine.is_running()]
            largest_mb = max([largest_mb, *used])
            if change % 25 == 0:
                sizes = " ".join(f"{size:.0f}" for size in used)
                record(f"after r{number}: {count} routes, memory in MB: {sizes}")
        answer = await call_any(rig, "GET", "/-/config/describe", timeout_s=4.0)
        read = "no answer" if answer is None else answer.json().get("Version", answer.status)
        disk = {machine.name: folder_mb(machine.data) for machine in rig.core}
        record.say(f"read back: {read}; changes acknowledged: {number - 1}; data in MB: {disk}")
        record.say(f"largest memory seen: {largest_mb:.0f} MB; ends: {platform.ends}")
        if number < 100:
            return 2
        often = [name for name, ends in platform.ends.items() if ends >= ENDS]
        if 2 * len(often) >= len(rig.core):
            record.say(
                f"BROKEN (Fault): on {len(often)} of {len(rig.core)} core machines the process has "
                f"ended {ENDS} times or more, with no disturbance there"
            )
            return 1
        record.say("HELD: no process has ended so often")
        return 0
    finally:
        if watch is not None:
            watch.cancel()
        rig.stop()


def folder_mb(folder: Path) -> int:
    return round(sum(path.stat().st_size for path in folder.iterdir()) / 1e6)


if __name__ == "__main__":
    try:
        async def limited() -> int:
            async with asyncio.timeout(112):
                return await main()

        code = asyncio.run(limited())
    except (OSError, TimeoutError) as exc:
        print(f"the case could not run: {exc!r}")
        code = 2
    sys.exit(code)
