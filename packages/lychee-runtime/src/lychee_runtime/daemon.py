"""Life cycle of a daemon: a circuits component on the asyncio event loop.

circuits provides the component tree and the events between tasks; asyncio does the network I/O.
Events are dispatched from the asyncio loop, so handlers and tasks run in one thread.
"""

import asyncio
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop
from loguru import logger

from lychee_runtime.components import BaseComponent, Event, handler
from lychee_types.exceptions import InvariantError, LycheeError

CANCEL_CHECK_S = 0.1
"""Interval at which a stop looks for tasks that have lost their cancellation, in seconds."""


class started(Event):  # type: ignore[misc]  # noqa: N801
    """The daemon is about to run :meth:`Daemon.serve`."""


class stop_requested(Event):  # type: ignore[misc]  # noqa: N801
    """A graceful stop of the daemon was requested."""


class dump_requested(Event):  # type: ignore[misc]  # noqa: N801
    """A dump of the daemon's state was requested."""


class reload_requested(Event):  # type: ignore[misc]  # noqa: N801
    """Reading the settings file again was requested."""


class task_failed(Event):  # type: ignore[misc]  # noqa: N801
    """A task of the daemon failed.

    :param name: the task's name.
    :param exc: the error.
    """


class Daemon(BaseComponent):  # type: ignore[misc]
    """Base class of the root component of a daemon.

    Subclasses implement :meth:`serve` and :meth:`dump`.
    """

    channel = "daemon"

    def __init__(self) -> None:
        super().__init__()
        self.stopping = asyncio.Event()
        self.exit_code = 0
        self._tasks_by_name: dict[asyncio.Task[None], str] = {}
        self._flush_scheduled = False

    async def serve(self) -> None:
        """Run until :attr:`stopping` is set and all work in progress has ended."""
        raise NotImplementedError

    def dump(self) -> str:
        """Return the daemon's state as YAML."""
        raise NotImplementedError

    def reload(self) -> None:
        """Read the settings again; without an override, the daemon keeps its current settings."""
        logger.bind(event="reload").warning("settings can't be reloaded; restart to apply changes")

    def spawn(self, work: Coroutine[Any, Any, None], *, name: str) -> "asyncio.Task[None]":
        """Run a coroutine as a task of the daemon; if it fails, the daemon stops.

        :param work: the task's coroutine.
        :param name: the task's name in logs.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks_by_name[task] = name
        task.add_done_callback(self._on_task_done)
        return task

    def request_stop(self) -> None:
        """Begin a graceful stop."""
        self.fire(stop_requested())

    def _fire(self, event: Event, channel: Any, priority: int = 0) -> None:
        self._queue.append(event, channel, priority)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_events)

    def _flush_events(self) -> None:
        self._flush_scheduled = False
        self.flush()
        if len(self._queue) and not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_events)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        name = self._tasks_by_name.pop(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            self.fire(task_failed(name, exc))

    @handler("stop_requested")  # type: ignore[untyped-decorator]
    def on_stop_requested(self) -> None:
        """Begin a graceful stop, unless one has begun already."""
        if not self.stopping.is_set():
            logger.info("stop requested")
            self.stopping.set()

    @handler("dump_requested")  # type: ignore[untyped-decorator]
    def on_dump_requested(self) -> None:
        """Write a dump of the daemon's state to standard error."""
        sys.stderr.write(self.dump())
        sys.stderr.flush()

    @handler("reload_requested")  # type: ignore[untyped-decorator]
    def on_reload_requested(self) -> None:
        """Read the settings again; if they are invalid, keep the current ones."""
        try:
            self.reload()
        except LycheeError as exc:
            logger.bind(event="reload_failed").error("reload failed, settings not changed: {}", exc)

    @handler("task_failed")  # type: ignore[untyped-decorator]
    def on_task_failed(self, name: str, exc: BaseException) -> None:
        """Log the error and stop with its exit code; dump the state if an invariant is broken."""
        expected = isinstance(exc, LycheeError) and not isinstance(exc, InvariantError)
        logger.opt(exception=None if expected else exc).error("task {} failed: {}", name, exc)
        self.exit_code = exc.exit_code if isinstance(exc, LycheeError) else 1
        if isinstance(exc, InvariantError):
            self.on_dump_requested()
        self.stopping.set()

    async def cancel_tasks(self) -> None:
        """Cancel the daemon's tasks and wait for them.

        A task loses a cancellation that comes as one of its streams breaks; it is cancelled again.
        """
        while tasks := list(self._tasks_by_name):
            for task in tasks:
                if not task.cancelling():
                    task.cancel()
            await asyncio.wait(tasks, timeout=CANCEL_CHECK_S)


async def _run(build: Callable[[], Daemon]) -> int:
    daemon = build()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, daemon.request_stop)
    loop.add_signal_handler(signal.SIGINT, daemon.request_stop)
    loop.add_signal_handler(signal.SIGHUP, lambda: daemon.fire(reload_requested()))
    loop.add_signal_handler(signal.SIGUSR1, lambda: daemon.fire(dump_requested()))
    daemon.fire(started())
    try:
        await daemon.serve()
    except InvariantError as exc:
        daemon.on_task_failed("serve", exc)
    finally:
        await daemon.cancel_tasks()
    return daemon.exit_code


def run_daemon(build: Callable[[], Daemon]) -> int:
    """Build a daemon, run it in a new event loop, and return its exit code.

    :param build: builds the daemon; called inside the running loop.
    """
    return uvloop.run(_run(build))
