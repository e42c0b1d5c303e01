"""Convert YAML nodes to typed values; collect every fault of the file and the line of each value.

The schema is the msgspec Struct itself. An invalid value is replaced by a placeholder of its type
and a missing optional value by its default, so that one pass finds all faults.

A place is the path of a value in the file, for example ``services[2].deadline_ms``.
"""

import math
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from difflib import get_close_matches
from functools import lru_cache
from typing import Any, Generic, TypeVar, cast

import msgspec.inspect as inspect
from msgspec import NODEFAULT
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from lychee_types.exceptions import Fault

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)

_TAG = "tag:yaml.org,2002:"
_TYPE_NAMES = {
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "null": "nothing",
    "str": "text",
    "map": "a mapping",
    "seq": "a list",
    "timestamp": "a date",
}
_MAX_EXACT_INT = 2**53
"""Maximum integer up to which a float represents every integer exactly."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Located(Generic[T_co]):
    """A value with its faults and with the line of each of its parts in the file.

    :param value: the value; invalid parts are replaced by placeholders.
    :param faults: all faults, sorted by line.
    :param lines: line of each place, from 1.
    :param unusable: places whose values are invalid or missing.
    """

    value: T_co
    faults: tuple[Fault, ...]
    lines: Mapping[str, int]
    unusable: frozenset[str]

    def line(self, place: str) -> int:
        """Return the line of a place, or of the innermost enclosing place that has one."""
        while place and place not in self.lines:
            place = parent_place(place)
        return self.lines.get(place, 1)


def parent_place(place: str) -> str:
    """Return the enclosing place: ``a[1]`` for ``a[1].b``, and ``a`` for ``a[1]``."""
    return place[: max(place.rfind("."), place.rfind("["), 0)]


def join_place(place: str, name: str) -> str:
    """Return the place of a named value within a mapping at a place."""
    return f"{place}.{name}" if place else name


def nearest_name(name: str, known: list[str]) -> str | None:
    """Return the known name that is most similar to a name, or None if none is similar."""
    found = get_close_matches(name, known, n=1, cutoff=0.6)
    return found[0] if found else None


def build_value(node: Node, kind: type[T]) -> Located[T]:
    """Build a typed value from a YAML node.

    :param node: the root node.
    :param kind: the type to build, a msgspec Struct or a type that its fields may have.
    """
    builder = _Builder()
    value = builder.value(node, _type_info(cast(Hashable, kind)), "")
    faults = sorted(builder.faults, key=lambda fault: fault.line)
    return Located(
        value=value,
        faults=tuple(faults),
        lines=builder.lines,
        unusable=frozenset(builder.unusable),
    )


@lru_cache(maxsize=64)
def _type_info(kind: Hashable) -> inspect.Type:
    return inspect.type_info(kind)


@dataclass(slots=True)
class _Builder:
    """Converts a YAML node to a type by walking both trees together."""

    faults: list[Fault] = field(default_factory=list)
    lines: dict[str, int] = field(default_factory=dict)
    unusable: set[str] = field(default_factory=set)

    def value(self, node: Node, kind: inspect.Type, place: str) -> Any:
        """Return the value of a node; if it is invalid, record a fault and return a placeholder."""
        self.lines[place] = node.start_mark.line + 1
        match kind:
            case inspect.StructType():
                return self._struct(node, kind, place)
            case inspect.VarTupleType() | inspect.ListType():
                items = self._items(node, kind.item_type, place)
                return items if isinstance(kind, inspect.ListType) else tuple(items)
            case inspect.UnionType():
                return self._union(node, kind, place)
            case inspect.EnumType():
                return self._enum(node, kind, place)
            case inspect.BoolType():
                return self._bool(node, place)
            case inspect.IntType() | inspect.FloatType():
                return self._number(node, kind, place)
            case inspect.StrType():
                return self._text(node, kind, place)
            case inspect.NoneType():
                return self._null(node, place)
            case _:
                raise TypeError(f"fields of type {kind!r} are not supported; add them to _Builder")

    def _add_fault(self, node: Node, place: str, message: str, remedy: str) -> None:
        line = node.start_mark.line + 1
        self.unusable.add(place)
        self.faults.append(Fault(place=place or "file", line=line, message=message, remedy=remedy))

    def _add_wrong_type(self, node: Node, place: str, wanted: str, remedy: str) -> None:
        self._add_fault(node, place, f"needs {wanted}, not {_describe_node(node)}", remedy)

    def _struct(self, node: Node, kind: inspect.StructType, place: str) -> Any:
        fields = {f.encode_name: f for f in kind.fields}
        if not isinstance(node, MappingNode):
            names = ", ".join(fields)
            self._add_wrong_type(node, place, "a mapping", f"write names with values: {names}")
            return _placeholder(kind)
        values: dict[str, Any] = {}
        misspelt: set[str] = set()
        first_lines: dict[str, int] = {}
        for name_node, value_node in node.value:
            name = self._name(name_node, place)
            inner = join_place(place, name)
            if name in first_lines:
                self._add_duplicate_name(name_node, inner, first_lines[name])
                continue
            first_lines[name] = name_node.start_mark.line + 1
            if name in fields:
                values[fields[name].name] = self.value(value_node, fields[name].type, inner)
            else:
                misspelt.add(self._add_unknown_name(name_node, place, name, list(fields)) or "")
        for name in fields:
            if fields[name].name not in values:
                values[fields[name].name] = self._missing_value(node, fields[name], place, misspelt)
        return kind.cls(**values)

    def _name(self, node: Node, place: str) -> str:
        if isinstance(node, ScalarNode):
            return str(node.value)
        self._add_fault(node, place, "a name needs to be text", "write the name as a single word")
        return f"?{node.start_mark.line}"

    def _add_duplicate_name(self, node: Node, place: str, first: int) -> None:
        message = f"this name stands twice, first in line {first}"
        self._add_fault(node, place, message, "leave one of the two out")

    def _add_unknown_name(self, node: Node, place: str, name: str, known: list[str]) -> str | None:
        nearest = nearest_name(name, known)
        remedy = f"write {nearest}" if nearest else f"use one of {', '.join(known)}"
        inner = join_place(place, name)
        if not name.startswith("?"):
            self._add_fault(node, inner, f"the name {name!r} is not known", remedy)
        return nearest

    def _missing_value(
        self, node: Node, wanted: inspect.Field, place: str, misspelt: set[str]
    ) -> Any:
        if not wanted.required:
            return _default(wanted)
        inner = join_place(place, wanted.encode_name)
        self.unusable.add(inner)
        if wanted.encode_name not in misspelt:
            remedy = f"add {wanted.encode_name}: with {_describe_expected(wanted.type)}"
            self._add_fault(node, inner, "this value is missing", remedy)
        return _placeholder(wanted.type)

    def _items(self, node: Node, kind: inspect.Type, place: str) -> list[Any]:
        if not isinstance(node, SequenceNode):
            remedy = "put each entry on its own line after a dash, or write [] for none"
            self._add_wrong_type(node, place, "a list", remedy)
            return []
        return [self.value(item, kind, f"{place}[{n}]") for n, item in enumerate(node.value)]

    def _union(self, node: Node, kind: inspect.UnionType, place: str) -> Any:
        if node.tag == _TAG + "null" and any(
            isinstance(one, inspect.NoneType) for one in kind.types
        ):
            return None
        others = [one for one in kind.types if not isinstance(one, inspect.NoneType)]
        if len(others) != 1:
            raise TypeError("only unions of one type and None are supported; change the field")
        return self.value(node, others[0], place)

    def _enum(self, node: Node, kind: inspect.EnumType, place: str) -> Any:
        known = {str(member.value): member for member in kind.cls}
        text = str(node.value) if isinstance(node, ScalarNode) else None
        if text in known:
            return known[text]
        nearest = nearest_name(text or "", list(known))
        remedy = f"write {nearest}" if nearest else f"write one of {', '.join(known)}"
        what = repr(text) if text is not None else _describe_node(node)
        self._add_fault(node, place, f"{what} is not one of {', '.join(known)}", remedy)
        return _placeholder(kind)

    def _bool(self, node: Node, place: str) -> bool:
        if node.tag == _TAG + "bool" and node.value.lower() in ("true", "false"):
            return bool(node.value.lower() == "true")
        self._add_wrong_type(node, place, "true or false", "write true or false without quotes")
        return False

    def _number(self, node: Node, kind: inspect.IntType | inspect.FloatType, place: str) -> Any:
        whole = isinstance(kind, inspect.IntType)
        wanted = "a whole number" if whole else "a number"
        tags = [_TAG + "int"] if whole else [_TAG + "int", _TAG + "float"]
        number = _read_number(node) if node.tag in tags else None
        if number is None:
            self._add_wrong_type(node, place, wanted, f"write {wanted} without quotes or a unit")
            return _placeholder(kind)
        allowed = _range_of(kind)
        if not _is_in_range(number, kind):
            self._add_fault(node, place, f"{node.value} is out of range", f"write {allowed}")
            return _placeholder(kind)
        return number if whole else float(number)

    def _text(self, node: Node, kind: inspect.StrType, place: str) -> str:
        if not isinstance(node, ScalarNode) or node.tag != _TAG + "str":
            remedy = "put the value in quotes" if isinstance(node, ScalarNode) else "write one text"
            self._add_wrong_type(node, place, "text", remedy)
            return ""
        text = str(node.value)
        least, most = kind.min_length or 0, kind.max_length
        if len(text) < least or (most is not None and len(text) > most):
            bound = f"{least} to {most}" if most is not None else f"at least {least}"
            message = f"the text has {len(text)} characters"
            self._add_fault(node, place, message, f"write {bound} characters")
        return text

    def _null(self, node: Node, place: str) -> None:
        if node.tag != _TAG + "null":
            self._add_wrong_type(node, place, "nothing", "leave the value out")


def _describe_node(node: Node) -> str:
    name = str(node.tag).removeprefix(_TAG)
    known = _TYPE_NAMES.get(name, f"a value with the tag {node.tag}")
    if isinstance(node, ScalarNode) and name in ("str", "int", "float", "bool", "timestamp"):
        text = node.value if len(node.value) <= 40 else node.value[:40] + "..."
        return f"{known} ({text!r})" if name == "str" else f"{known} ({text})"
    return known


def _describe_expected(kind: inspect.Type) -> str:
    match kind:
        case inspect.StructType():
            return "a mapping"
        case inspect.VarTupleType() | inspect.ListType():
            return "a list"
        case inspect.EnumType():
            return "one of " + ", ".join(str(member.value) for member in kind.cls)
        case inspect.BoolType():
            return "true or false"
        case inspect.IntType():
            return "a whole number"
        case inspect.FloatType():
            return "a number"
        case _:
            return "text"


def _read_number(node: Node) -> int | float | None:
    text = node.value.replace("_", "")
    try:
        if node.tag == _TAG + "float":
            number = float(text)
            return number if math.isfinite(number) else None
        digits = text.lstrip("+-")
        base = {"0x": 16, "0o": 8, "0b": 2}.get(digits[:2].lower(), 10)
        whole = int(text, base)
    except ValueError:
        return None
    return whole if abs(whole) <= _MAX_EXACT_INT else None


def _is_in_range(number: int | float, kind: inspect.IntType | inspect.FloatType) -> bool:
    return (
        (kind.ge is None or number >= kind.ge)
        and (kind.gt is None or number > kind.gt)
        and (kind.le is None or number <= kind.le)
        and (kind.lt is None or number < kind.lt)
    )


def _range_of(kind: inspect.IntType | inspect.FloatType) -> str:
    bounds = {"at least": kind.ge, "more than": kind.gt, "at most": kind.le, "less than": kind.lt}
    words = [f"{word} {bound}" for word, bound in bounds.items() if bound is not None]
    return "a number of " + " and ".join(words)


def _default(wanted: inspect.Field) -> Any:
    if wanted.default is not NODEFAULT:
        return wanted.default
    return wanted.default_factory()


def _placeholder(kind: inspect.Type) -> Any:
    """Return a placeholder of a type for a value that is missing or invalid."""
    match kind:
        case inspect.StructType():
            return kind.cls(
                **{f.name: _placeholder(f.type) if f.required else _default(f) for f in kind.fields}
            )
        case inspect.VarTupleType():
            return ()
        case inspect.ListType():
            return []
        case inspect.EnumType():
            return next(iter(kind.cls))
        case inspect.BoolType():
            return False
        case inspect.IntType():
            return 1
        case inspect.FloatType():
            return 1.0
        case inspect.StrType():
            return ""
        case _:
            return None
