"""Read and write YAML files as typed values."""

from enum import Enum
from io import StringIO
from pathlib import Path
from typing import Any, TypeVar

from expression import Error, Ok, Result
from msgspec import NODEFAULT, Struct
from msgspec.structs import fields as struct_fields
from ruamel.yaml import YAML
from ruamel.yaml.composer import Composer, ComposerError, MaxDepthExceededError
from ruamel.yaml.error import MarkedYAMLError, YAMLError, YAMLStreamError
from ruamel.yaml.events import AliasEvent
from ruamel.yaml.nodes import Node
from ruamel.yaml.representer import SafeRepresenter

from lychee_types.exceptions import Fault
from lychee_types.schema import Located, build_value

T = TypeVar("T")

FILE_LIMIT_BYTES = 524_288
"""Maximum size of a YAML file, in bytes."""

DEPTH_LIMIT = 16
"""Maximum nesting depth of a YAML file."""

_LINE_WIDTH = 4_096
"""Line length beyond which long strings are wrapped on output, in characters."""


class _StrictComposer(Composer):
    """Composes nodes and rejects aliases, with which a small file can expand to a huge value."""

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.parser.check_event(AliasEvent):
            event = self.parser.peek_event()
            raise ComposerError(None, None, "aliases are not allowed", event.start_mark)
        return super().compose_node(parent, index)


class _Quoted(str):
    """A string that is written in double quotes; line breaks and control characters are escaped."""


class _Representer(SafeRepresenter):
    """Represents built-in values and :class:`_Quoted` strings."""


def _represent_quoted(representer: Any, text: str) -> Node:
    node: Node = representer.represent_scalar("tag:yaml.org,2002:str", text, style='"')
    return node


_Representer.add_representer(_Quoted, _represent_quoted)


def parse_yaml(text: str, kind: type[T]) -> Result[T, tuple[Fault, ...]]:
    """Parse a typed value from YAML text; return it, or all its faults.

    :param text: the YAML text.
    :param kind: the type to build.
    """
    return parse_yaml_with_lines(text, kind).bind(_value_or_faults)


def read_yaml(path: Path, kind: type[T]) -> Result[T, tuple[Fault, ...]]:
    """Read a typed value from a YAML file; return it, or all its faults.

    :param path: the file.
    :param kind: the type to build.
    """
    return read_text(path).bind(lambda text: parse_yaml(text, kind))


def parse_yaml_with_lines(text: str, kind: type[T]) -> Result[Located[T], tuple[Fault, ...]]:
    """Parse a typed value from YAML text; return it with the lines and faults of its parts.

    Text that isn't valid YAML results in an error with that one fault instead.

    :param text: the YAML text.
    :param kind: the type to build.
    """
    if len(text.encode("utf-8", errors="replace")) > FILE_LIMIT_BYTES:
        return Error((_too_large_fault(),))
    try:
        node = _compose(text)
    except (YAMLError, YAMLStreamError) as exc:
        return Error((_syntax_fault(exc),))
    if node is None:
        remedy = "write the values that the program needs"
        return Error((Fault(place="file", line=1, message="the file is empty", remedy=remedy),))
    return Ok(build_value(node, kind))


def read_text(path: Path) -> Result[str, tuple[Fault, ...]]:
    """Read a UTF-8 file; return its text, or the fault for which it can't be read.

    :param path: the file.
    """
    try:
        with path.open("rb") as file:
            data = file.read(FILE_LIMIT_BYTES + 1)
    except (OSError, ValueError) as exc:
        reason = exc.strerror if isinstance(exc, OSError) and exc.strerror else str(exc)
        message = f"the file cannot be read: {reason}"
        return Error((Fault(place=str(path), message=message, remedy="name a readable file"),))
    if len(data) > FILE_LIMIT_BYTES:
        return Error((_too_large_fault(),))
    try:
        return Ok(data.decode("utf-8-sig"))
    except UnicodeDecodeError as exc:
        line = data[: exc.start].count(b"\n") + 1
        message = f"byte {exc.start + 1} of the file is not UTF-8"
        remedy = "save the file as UTF-8"
        return Error((Fault(place="file", line=line, message=message, remedy=remedy),))


def format_yaml(value: Struct) -> str:
    """Return the canonical YAML of a value: fields in order of definition, defaults omitted.

    :param value: the value.
    """
    yaml: Any = YAML(typ="safe", pure=True)
    yaml.Representer = _Representer
    yaml.default_flow_style = False
    yaml.allow_unicode = True
    yaml.width = _LINE_WIDTH
    yaml.sort_base_mapping_type_on_output = False
    stream = StringIO()
    yaml.dump(_to_builtins(value), stream)
    return stream.getvalue()


def _to_builtins(value: Any) -> Any:
    match value:
        case Struct():
            pairs = {
                field.encode_name: getattr(value, field.name)
                for field in struct_fields(value)
                if field.default is NODEFAULT or getattr(value, field.name) != field.default
            }
            return {name: _to_builtins(inner) for name, inner in pairs.items()}
        case tuple() | list():
            return [_to_builtins(inner) for inner in value]
        case Enum():
            return value.value
        case str():
            return value if value.isprintable() else _Quoted(value)
        case _:
            return value


def _value_or_faults(located: Located[T]) -> Result[T, tuple[Fault, ...]]:
    return Error(located.faults) if located.faults else Ok(located.value)


def _compose(text: str) -> Node | None:
    yaml = YAML(typ="safe", pure=True)
    yaml.Composer = _StrictComposer
    yaml.max_depth = DEPTH_LIMIT
    node: Node | None = yaml.compose(text)
    return node


def _too_large_fault() -> Fault:
    message = f"the file is larger than {FILE_LIMIT_BYTES} bytes"
    return Fault(place="file", message=message, remedy="name the right file, or shorten it")


def _syntax_fault(exc: Exception) -> Fault:
    if not isinstance(exc, MarkedYAMLError):
        message = " ".join(str(exc).split())
        remedy = "remove the characters that YAML does not allow"
        return Fault(place="file", message=message, remedy=remedy)
    mark = exc.problem_mark or exc.context_mark
    line = mark.line + 1 if mark is not None else 0
    match exc:
        case MaxDepthExceededError():
            message = f"values are nested deeper than {DEPTH_LIMIT} levels"
            remedy = "write fewer levels"
        case _:
            message = ", ".join(part for part in (exc.context, exc.problem) if part)
            remedy = "correct the YAML; check indentation, colons and quotes near this line"
    if "alias" in (exc.problem or ""):
        remedy = "write the value out in each place"
    return Fault(place="file", line=line, message=message, remedy=remedy)
