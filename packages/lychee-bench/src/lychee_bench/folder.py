"""The folder and the files of one run."""

import shutil
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from lychee_types.document import Document
from lychee_types.exceptions import SettingsError
from lychee_types.yamlfile import read_yaml


def load_document(path: Path) -> Document:
    """Return the document in a file.

    :raises SettingsError: if the file holds none.
    """
    result = read_yaml(path, Document)
    if result.is_error():
        faults = "; ".join(fault.format_message() for fault in result.error)
        raise SettingsError(message=f"{path} cannot be used: {faults}", remedy="correct the file")
    return result.ok


class RunFolder:
    """The folder of one run.

    :param path: the folder.
    """

    def __init__(self, *, path: Path) -> None:
        self.path = path
        self.passed = False


@contextmanager
def run_folder() -> Iterator[RunFolder]:
    """Create a folder for one run; it is removed at the end if the run has passed."""
    folder = RunFolder(path=Path(tempfile.mkdtemp(prefix="lychee-bench-")))
    try:
        yield folder
    finally:
        if folder.passed:
            shutil.rmtree(folder.path, ignore_errors=True)
