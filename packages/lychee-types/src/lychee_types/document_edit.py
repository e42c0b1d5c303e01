"""Edit a document, compare two of them, and derive submission ids."""

from difflib import unified_diff
from hashlib import sha256

from msgspec.structs import replace

from lychee_types.document import Document, ServerRule
from lychee_types.ids import ServerId
from lychee_types.yamlfile import format_yaml

SUBMISSION_DIGITS = 24
"""Length of a derived submission id, in hexadecimal digits."""


def with_leaving(document: Document, server: ServerId, *, leaving: bool) -> Document:
    """Return a copy of a document in which a server is marked as leaving, or no longer marked.

    :param document: the document in force.
    :param server: the server's id.
    :param leaving: whether the server gets no new work and its keys move to others.
    """
    known = document.rule(server)
    changed = replace(known or ServerRule(id=server), leaving=leaving)
    others = [rule for rule in document.servers if rule.id != server]
    if changed == ServerRule(id=server):
        return replace(document, servers=tuple(others))
    if known is None:
        return replace(document, servers=(*others, changed))
    rules = tuple(changed if rule.id == server else rule for rule in document.servers)
    return replace(document, servers=rules)


def diff_documents(
    before: Document | None, after: Document, *, before_name: str, after_name: str
) -> str:
    """Return the unified diff of two documents' canonical YAML, empty if they are equal.

    :param before: the older document, None if there is none.
    :param after: the newer document.
    :param before_name: name of the older document in the diff's header.
    :param after_name: name of the newer document in the diff's header.
    """
    old = format_yaml(before).splitlines(keepends=True) if before is not None else []
    new = format_yaml(after).splitlines(keepends=True)
    return "".join(unified_diff(old, new, before_name, after_name))


def submission_id(*, author: str, based_on: int, document: Document) -> str:
    """Derive the id of a submission from its content, so that resending it results in the same id.

    :param author: who submits.
    :param based_on: the version that the document is based on.
    :param document: the document.
    """
    text = f"{author}\n{based_on}\n{format_yaml(document)}"
    return sha256(text.encode()).hexdigest()[:SUBMISSION_DIGITS]
