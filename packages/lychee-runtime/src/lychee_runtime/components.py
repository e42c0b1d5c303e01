"""The parts of circuits that daemons are built on, imported without what they do not need.

circuits declares a namespace through pkg_resources where that is installed. Daemons do not need
it, and importing it takes a third of their start, which counts after a loss of all VMs.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager

_NAMESPACES = "pkg_resources"


@contextmanager
def _not_importable(name: str) -> Iterator[None]:
    """Have imports of a module fail inside the block, unless it is loaded already."""
    if name in sys.modules:
        yield
        return
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]


with _not_importable(_NAMESPACES):
    from circuits import BaseComponent, Event, handler

__all__ = ["BaseComponent", "Event", "handler"]
