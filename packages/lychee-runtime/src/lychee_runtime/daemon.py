"""Life cycle of a daemon: a circuits component on the asyncio loop.

circuits carries the component tree and the events between tasks; asyncio carries the sockets.
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


class started(Event):  # type: ignore[misc]  # noqa: N801
    """The daemon's tasks run."""


class stop_requested(Event):  # type: ignore[misc]  # noqa: N801
    """The daemon was asked to stop."""


class dump_requested(Event):  # type: ignore[misc]  # noqa: N801
    """Somebody asked for a dump of the daemon's state."""


class reload_requested(Event):  # type: ignore[misc]  # noqa: N801
    """The settings file may have changed."""


class task_failed(Event):  # type: ignore[misc]  # noqa: N801
    """A task of the daemon ended with an error.

    :param name: the task's name.
    :param exc: the error.
    """


class Daemon(BaseComponent):  # type: ignore[misc]
    """Root component of a daemon.

    Subclasses give :meth:`serve` and :meth:`dump`.
    """

    channel = "daemon"

    def __init__(self) -> None:
        super().__init__()
        self.stopping = asyncio.Event()
        self.exit_code = 0
        self._tasks_by_name: dict[asyncio.Task[None], str] = {}
        self._flush_planned = False

    async def serve(self) -> None:
        """Run until :attr:`stopping` is set and everything in flight has ended."""
        raise NotImplementedError

    def dump(self) -> str:
        """Return the daemon's state as YAML."""
        raise NotImplementedError

    def reload(self) -> None:
        """Read the settings again; a daemon that cannot change them goes on with the old ones."""
        logger.bind(event="reload").warning("these settings stay as they are until a restart")

    def spawn(self, work: Coroutine[Any, Any, None], *, name: str) -> "asyncio.Task[None]":
        """Run a task under the daemon; its failure stops the daemon.

        :param work: the task's coroutine.
        :param name: the task's name in logs.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks_by_name[task] = name
        task.add_done_callback(self._task_done)
        return task

    def request_stop(self) -> None:
        """Begin a graceful stop."""
        self.fire(stop_requested())

    def _fire(self, event: Event, channel: Any, priority: int = 0) -> None:
        self._queue.append(event, channel, priority)
        if not self._flush_planned:
            self._flush_planned = True
            asyncio.get_running_loop().call_soon(self._flush_events)

    def _flush_events(self) -> None:
        self._flush_planned = False
        self.flush()
        if len(self._queue) and not self._flush_planned:
            self._flush_planned = True
            asyncio.get_running_loop().call_soon(self._flush_events)

    def _task_done(self, task: "asyncio.Task[None]") -> None:
        name = self._tasks_by_name.pop(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            self.fire(task_failed(name, exc))

    @handler("stop_requested")  # type: ignore[untyped-decorator]
    def on_stop_requested(self) -> None:
        """Begin the stop."""
        if not self.stopping.is_set():
            logger.info("stop requested")
            self.stopping.set()

    @handler("dump_requested")  # type: ignore[untyped-decorator]
    def on_dump_requested(self) -> None:
        """Write the dump to standard error."""
        sys.stderr.write(self.dump())
        sys.stderr.flush()

    @handler("reload_requested")  # type: ignore[untyped-decorator]
    def on_reload_requested(self) -> None:
        """Read the settings again; faulty ones leave the present ones in force."""
        try:
            self.reload()
        except LycheeError as exc:
            logger.bind(event="reload_failed").error("the settings stay as they are: {}", exc)

    @handler("task_failed")  # type: ignore[untyped-decorator]
    def on_task_failed(self, name: str, exc: BaseException) -> None:
        """Stop with the error's exit code."""
        expected = isinstance(exc, LycheeError) and not isinstance(exc, InvariantError)
        logger.opt(exception=None if expected else exc).error("task {} failed: {}", name, exc)
        self.exit_code = exc.exit_code if isinstance(exc, LycheeError) else 1
        if isinstance(exc, InvariantError):
            self.on_dump_requested()
        self.stopping.set()

    async def cancel_tasks(self) -> None:
        """Cancel the daemon's tasks and wait for them."""
        tasks = list(self._tasks_by_name)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


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
    """Build a daemon inside the loop, run it, and return its exit code.

    :param build: builds the daemon; called with the loop running.
    """
    return uvloop.run(_run(build))
