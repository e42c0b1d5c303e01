"""Reading YAML files: every fault is reported with its line, and no input raises an exception."""

from pathlib import Path
from typing import Annotated

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Meta, Struct

from lychee_types.document import BodyMode, Document, KeyPin, RequestKind, ServerRule, Service
from lychee_types.document_check import parse_document
from lychee_types.yamlfile import FILE_LIMIT_BYTES, format_yaml, parse_yaml, read_yaml

EXAMPLES = Path(__file__).parents[3] / "examples"
SKAFT = (EXAMPLES / "skaft.yaml").read_text(encoding="utf-8")
CI = settings(derandomize=True, deadline=None, database=None, max_examples=300)

FAULTY = """\
organisation: 12
domains: nord
servces: []
services:
  - name: a
    name: b
    kind: keyd
    idempotent: yes
    deadine_ms: 4
    path: [1]
  - 4
  - {name: c, path: /c/, kind: free, idempotent: true, deadline_ms: 1_0.5, queue: "3"}
"""


def test_every_fault_is_named_at_once_with_its_line_and_remedy() -> None:
    faults = parse_yaml(FAULTY, Document).error
    assert [(f.line, f.place, f.remedy.split(",")[0]) for f in faults] == [
        (1, "organisation", "put the value in quotes"),
        (2, "domains", "put each entry on its own line after a dash"),
        (3, "servces", "write services"),
        (6, "services[0].name", "leave one of the two out"),
        (7, "services[0].kind", "write keyed"),
        (8, "services[0].idempotent", "write true or false without quotes"),
        (9, "services[0].deadine_ms", "write deadline_ms"),
        (10, "services[0].path", "write one text"),
        (11, "services[1]", "write names with values: name"),
        (12, "services[2].deadline_ms", "write a whole number without quotes or a unit"),
        (12, "services[2].queue", "write a whole number without quotes or a unit"),
    ]


def test_a_missing_value_is_reported_with_its_type() -> None:
    faults = parse_yaml("organisation: x\n", Document).error
    assert [(f.place, f.remedy) for f in faults] == [
        ("domains", "add domains: with a list"),
        ("services", "add services: with a list"),
    ]


@pytest.mark.parametrize(
    ("text", "words", "remedy"),
    [
        ("", "the file is empty", "write the values"),
        ("# only a remark\n", "the file is empty", "write the values"),
        ("a: [", "expected the node content", "check indentation"),
        ("a: 'x", "quoted scalar", "check indentation"),
        ("[" * 5_000, "nested deeper", "write fewer levels"),
        ("a: \x00", "unacceptable character", "remove the characters"),
        ("a: &a [1]\nb: *a\n", "aliases are not allowed", "write the value out"),
        ("---\na: 1\n---\nb: 2\n", "single document", "correct the YAML"),
        ("? [1]\n: 2\n", "a name needs to be text", "single word"),
        ("!!python/object:os.system x", "python/object", "names with values"),
        ("<<: 4\n", "'<<' is not known", "use one of"),
        ("organisation: 2024-01-01\n", "not a date", "put the value in quotes"),
        ("services: [{queue: 99999999999999999999}]", "needs a whole number", "without quotes"),
        ("services: [{retry_share: .nan}]", "needs a number", "without quotes"),
        ("%YAML 3.0\n---\na: 1\n", "incompatible YAML", "correct the YAML"),
        ("a: " + "x" * FILE_LIMIT_BYTES, "larger than", "shorten it"),
    ],
)
def test_invalid_text_gives_a_fault(text: str, words: str, remedy: str) -> None:
    faults = parse_yaml(text, Document).error
    assert any(words in f.message and remedy in f.remedy for f in faults), faults


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"organisation: \xe7at\xfd\n", "byte 15 of the file is not UTF-8"),
        (b"#" * (FILE_LIMIT_BYTES + 1), "larger than"),
        (b"", "empty"),
    ],
)
def test_invalid_bytes_give_a_fault(tmp_path: Path, data: bytes, words: str) -> None:
    path = tmp_path / "document.yaml"
    path.write_bytes(data)
    assert words in read_yaml(path, Document).error[0].message


def test_an_absent_file_and_a_folder_give_a_fault(tmp_path: Path) -> None:
    for path in (tmp_path / "absent.yaml", tmp_path):
        fault = read_yaml(path, Document).error[0]
        assert "cannot be read" in fault.message and fault.remedy == "name a readable file"


def test_a_byte_order_mark_is_allowed(tmp_path: Path) -> None:
    path = tmp_path / "document.yaml"
    path.write_bytes(b"\xef\xbb\xbf" + SKAFT.encode())
    assert read_yaml(path, Document).is_ok()


@CI
@given(st.text() | st.text(alphabet="{}[]:,-&*!|>'\"%@`# \n\tab0.~?<="))
def test_no_text_raises(text: str) -> None:
    assert parse_document(text).is_error()


@CI
@given(st.data())
def test_a_corrupted_document_never_raises(data: st.DataObject) -> None:
    start = data.draw(st.integers(0, len(SKAFT)))
    length = data.draw(st.integers(0, 40))
    text = SKAFT[:start] + data.draw(st.text(max_size=8)) + SKAFT[start + length :]
    result = parse_document(text)
    assert result.is_ok() or all(f.message and f.remedy and f.place for f in result.error)


TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=12)
SERVICE = st.builds(
    Service,
    name=TEXT,
    path=TEXT,
    kind=st.sampled_from(RequestKind),
    body=st.sampled_from(BodyMode),
    idempotent=st.booleans(),
    deadline_ms=st.integers(-(2**53), 2**53),
    retry_share=st.floats(allow_nan=False, allow_infinity=False),
)
DOCUMENT = st.builds(
    Document,
    organisation=TEXT,
    domains=st.lists(TEXT, max_size=3).map(tuple),
    services=st.lists(SERVICE, max_size=2).map(tuple),
    servers=st.lists(st.builds(ServerRule, id=TEXT, leaving=st.booleans()), max_size=2).map(tuple),
    pins=st.lists(st.builds(KeyPin, service=TEXT, key=TEXT, server=TEXT), max_size=2).map(tuple),
)


@CI
@given(DOCUMENT)
def test_a_written_document_reads_back_as_itself(document: Document) -> None:
    assert parse_yaml(format_yaml(document), Document).ok == document


class Bounded(Struct, frozen=True, kw_only=True):
    number: Annotated[int, Meta(ge=1, le=5)]
    part: Annotated[float, Meta(gt=0, lt=1)] = 0.5
    text: Annotated[str, Meta(min_length=2, max_length=3)] = "ab"
    parts: list[str] = []


def test_bounds_of_the_schema_are_checked() -> None:
    assert parse_yaml("{number: 5, part: 0.1, text: abc, parts: [x]}", Bounded).is_ok()
    faults = parse_yaml("{number: 6, part: 1, text: a, parts: [x, 1]}", Bounded).error
    assert [(f.place, f.remedy) for f in faults] == [
        ("number", "write a number of at least 1 and at most 5"),
        ("part", "write a number of more than 0 and less than 1"),
        ("text", "write 2 to 3 characters"),
        ("parts[1]", "put the value in quotes"),
    ]
