"""The operators' document, and the folder for the files of a run."""

import shutil
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from lychee_types.document import Document
from lychee_types.exceptions import SettingsError
from lychee_types.yamlfile import read_yaml


def load_document(path: Path) -> Document:
    """Return the operators' document in a YAML file.

    :raises SettingsError: if the file can't be read or is not valid.
    """
    result = read_yaml(path, Document)
    if result.is_error():
        faults = "; ".join(fault.format_message() for fault in result.error)
        raise SettingsError(
            message=f"{path} could not be loaded: {faults}", remedy="correct the file"
        )
    return result.ok


class RunFolder:
    """The folder for the files of one run.

    :param path: its path.
    """

    def __init__(self, *, path: Path) -> None:
        self.path = path
        self.passed = False


@contextmanager
def run_folder() -> Iterator[RunFolder]:
    """Create a folder for one run.

    It is removed when the block ends if ``passed`` is set, else it is kept for its logs.
    """
    folder = RunFolder(path=Path(tempfile.mkdtemp(prefix="lychee-bench-")))
    try:
        yield folder
    finally:
        if folder.passed:
            shutil.rmtree(folder.path, ignore_errors=True)
