"""Format dumps of a process's state as YAML of limited size."""

from io import StringIO
from typing import Any

from msgspec import to_builtins
from ruamel.yaml import YAML

DUMP_LIMIT_CHARS = 1_048_576
"""Maximum length of a dump of a process's state, in characters."""

_TRUNCATION_NOTE = "\n# cut: the dump is larger than the limit\n"


def format_dump(value: Any) -> str:
    """Return a value as YAML, truncated to :data:`DUMP_LIMIT_CHARS`.

    :param value: a msgspec Struct or a built-in value.
    """
    yaml = YAML(typ="safe", pure=True)
    yaml.default_flow_style = False
    stream = StringIO()
    yaml.dump(to_builtins(value), stream)
    text = stream.getvalue()
    return text if len(text) <= DUMP_LIMIT_CHARS else text[:DUMP_LIMIT_CHARS] + _TRUNCATION_NOTE
