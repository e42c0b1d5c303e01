"""The classes of circuits that daemons use, imported without pkg_resources.

circuits imports pkg_resources, if it is installed, to declare a namespace. Daemons don't need that,
and the import takes a third of their startup time, which delays recovery after a loss of all VMs.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager

_NAMESPACE_MODULE = "pkg_resources"


@contextmanager
def _block_import(name: str) -> Iterator[None]:
    """Make imports of a module fail inside the block, unless it has been imported already."""
    if name in sys.modules:
        yield
        return
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]


with _block_import(_NAMESPACE_MODULE):
    from circuits import BaseComponent, Event, handler

__all__ = ["BaseComponent", "Event", "handler"]
