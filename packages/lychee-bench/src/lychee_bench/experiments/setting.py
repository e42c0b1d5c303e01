"""What every experiment is given."""

from pathlib import Path

from msgspec import Struct

from lychee_bench.folder import load_document
from lychee_bench.sizes import Sizes
from lychee_types.document import Document


class ExperimentContext(Struct, frozen=True, kw_only=True):
    """Where an experiment runs.

    :param folder: folder for its files.
    :param examples: folder with the users' documents.
    :param seed: seed of arrivals and keys.
    """

    folder: Path
    examples: Path
    seed: int = 1

    def document(self, sizes: Sizes) -> Document:
        """Return the document of a deployment.

        :raises SettingsError: if its file cannot be used.
        """
        return load_document(self.examples / sizes.document)
