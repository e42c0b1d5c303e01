"""Processes that the bench starts, signals and stops."""

import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from msgspec import Struct

STOP_TIMEOUT_S = 8.0
"""Time in which a process must stop after SIGTERM before it is killed, in seconds."""


class UnexpectedExit(Struct, frozen=True, kw_only=True):
    """A process that exited without being stopped by the bench.

    :param name: the process's name.
    :param code: its exit code, or the negated number of the signal that ended it.
    :param log: path of its log file.
    """

    name: str
    code: int
    log: str


def executable(program: str) -> str:
    """Return the path of a program that is installed beside this Python interpreter."""
    return str(Path(sys.executable).parent / program)


class Processes:
    """A set of named processes that write their logs to one folder.

    :param folder: folder for the log files.
    """

    def __init__(self, *, folder: Path) -> None:
        self.unexpected_exits: list[UnexpectedExit] = []
        self._folder = folder
        self._argv: dict[str, tuple[str, ...]] = {}
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._frozen: set[str] = set()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the processes that are expected to run."""
        return tuple(self._running)

    def log(self, name: str) -> Path:
        """Return the path of a process's log file."""
        return self._folder / f"{name}.log"

    def pid(self, name: str) -> int:
        """Return the id of a running process."""
        return self._running[name].pid

    def running_pid(self, name: str) -> int | None:
        """Return the id of a process, None if the bench has stopped it."""
        process = self._running.get(name)
        return None if process is None else process.pid

    def argv(self, name: str) -> tuple[str, ...]:
        """Return the program and the arguments that a process was last started with."""
        return self._argv[name]

    def start(self, name: str, argv: tuple[str, ...]) -> None:
        """Start a process.

        :param name: its name.
        :param argv: program and arguments.
        """
        self._argv[name] = argv
        with self.log(name).open("ab") as log:
            self._running[name] = subprocess.Popen(
                argv, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
            )

    def restart(self, name: str) -> None:
        """Start a process with the same arguments as before."""
        self.start(name, self._argv[name])

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        self._record_exit(name)
        process = self._running.pop(name, None)
        self._frozen.discard(name)
        if process is not None:
            process.kill()
            process.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP until :meth:`thaw`."""
        if name in self._running:
            self._frozen.add(name)
            self._running[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a frozen process with SIGCONT."""
        if name in self._frozen:
            self._frozen.discard(name)
            self._running[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process; :meth:`finish` waits for its exit."""
        self._record_exit(name)
        if name in self._running:
            self._running[name].terminate()

    def finish(self, name: str) -> int:
        """Wait for a terminated process and return its exit code; kill it after a timeout."""
        process = self._running.pop(name)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def check_exits(self) -> None:
        """Record the processes that exited without being stopped by the bench."""
        for name in tuple(self._running):
            self._record_exit(name)

    def _record_exit(self, name: str) -> None:
        process = self._running.get(name)
        code = None if process is None else process.poll()
        if code is not None:
            del self._running[name]
            self.unexpected_exits.append(
                UnexpectedExit(name=name, code=code, log=str(self.log(name)))
            )

    def stop_all(self) -> None:
        """Stop every process with SIGTERM, and kill those that do not stop in time."""
        self.check_exits()
        for name in tuple(self._frozen):
            self.thaw(name)
        for process in self._running.values():
            process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self._running.values():
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._running.clear()


@contextmanager
def running_processes(folder: Path) -> Iterator[Processes]:
    """Return a set of processes that are all stopped when the block ends."""
    group = Processes(folder=folder)
    try:
        yield group
    finally:
        group.stop_all()
