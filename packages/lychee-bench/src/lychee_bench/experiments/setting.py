"""The context that every experiment runs in."""

from pathlib import Path

from msgspec import Struct

from lychee_bench.folder import load_document
from lychee_bench.sizes import Sizes
from lychee_types.document import Document


class ExperimentContext(Struct, frozen=True, kw_only=True):
    """Folders and seed of an experiment.

    :param folder: folder for its files.
    :param examples: folder with the users' documents.
    :param seed: seed of arrival times and keys.
    """

    folder: Path
    examples: Path
    seed: int = 1

    def document(self, sizes: Sizes) -> Document:
        """Return the operators' document of a deployment.

        :raises SettingsError: if its file can't be read or is not valid.
        """
        return load_document(self.examples / sizes.document)
