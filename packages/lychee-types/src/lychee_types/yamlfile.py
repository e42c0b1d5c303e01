"""Reading of YAML files into typed values."""

from pathlib import Path
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result
from ruamel.yaml import YAML
from ruamel.yaml.error import YAMLError

from lychee_types.exceptions import Fault

T = TypeVar("T")


def parse_yaml(text: str, kind: type[T]) -> Result[T, tuple[Fault, ...]]:
    """Return a typed value from YAML text, or its faults.

    :param text: the YAML text.
    :param kind: the type to build.
    """
    try:
        raw = YAML(typ="safe", pure=True).load(text)
        return Ok(msgspec.convert(raw, kind))
    except YAMLError as exc:
        return Error((Fault(place="file", message=str(exc), remedy="correct the YAML syntax"),))
    except msgspec.ValidationError as exc:
        return Error((Fault(place="file", message=str(exc), remedy="correct this value"),))


def read_yaml(path: Path, kind: type[T]) -> Result[T, tuple[Fault, ...]]:
    """Return a typed value from a YAML file, or its faults.

    :param path: the file.
    :param kind: the type to build.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        remedy = "name a readable UTF-8 file"
        return Error((Fault(place=str(path), message=str(exc), remedy=remedy),))
    return parse_yaml(text, kind)
