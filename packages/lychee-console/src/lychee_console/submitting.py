"""Preview of an edited document, its submission, and the page that shows the outcome."""

from http import HTTPStatus

from expression import Result

from lychee_console.edits import EditResult
from lychee_console.html import Child, Html, element
from lychee_console.layout import button, difference, fault_list, form, note
from lychee_console.messages import PageRequest, PageResponse
from lychee_runtime import OperatorClient
from lychee_types.document import Document
from lychee_types.document_check import parse_document
from lychee_types.document_edit import diff_documents, submission_id
from lychee_types.exceptions import UnavailableError
from lychee_types.operator_messages import (
    ShowReply,
)
from lychee_types.state import SubmissionRecord
from lychee_types.yamlfile import format_yaml

EMPTY_DOCUMENT = Document(organisation="", domains=(), services=())
"""Document that the forms start from before any document has been accepted."""


async def preview(
    client: OperatorClient, request: PageRequest, base: ShowReply, edited: EditResult
) -> PageResponse:
    """Show what an edit changes, with a form that submits it.

    :param client: sends requests to the control replicas.
    :param request: the browser's request.
    :param base: the version that the edit is based on.
    :param edited: the edited document, which has no faults.
    """
    current = await client.show()
    text = diff_documents(
        base.document,
        edited.document,
        before_name=f"version {base.version}",
        after_name="your document",
    )
    if not text:
        return request.page(
            "Nothing to send", element("p", f"Your document is the same as version {base.version}.")
        )
    outdated = _outdated_note(current, base)
    return request.page(
        "Check and send", outdated, difference(text), _send_form(request, base, edited)
    )


def _outdated_note(current: ShowReply, base: ShowReply) -> Html | None:
    if current.version == base.version:
        return None
    text = (
        f"{current.author} has put version {current.version} in force meanwhile. Yours is based on "
        f"version {base.version} and would not be accepted."
    )
    remedy = element("p", "Remedy: open the form again and repeat your change.")
    return note(element("p", text), remedy, bad=True)


def _send_form(request: PageRequest, base: ShowReply, edited: EditResult) -> Html:
    submission = submission_id(
        author=request.operator, based_on=base.version, document=edited.document
    )
    return form(
        "/submit",
        element("p", f"Submission {submission}, based on version {base.version}."),
        button("Send to the system"),
        csrf=request.session.csrf,
        submission=submission,
        based_on=base.version,
        document=format_yaml(edited.document),
    )


async def submit(client: OperatorClient, request: PageRequest) -> PageResponse:
    """Submit the document that a preview showed, and show the outcome."""
    match parse_document(request.form.get("document", "")):
        case Result(tag="ok", ok=document):
            return await _submit_document(client, request, document)
        case Result(error=faults):
            return request.page("Not sent", fault_list(faults), status=HTTPStatus.BAD_REQUEST)


async def _submit_document(
    client: OperatorClient, request: PageRequest, document: Document
) -> PageResponse:
    based_on = request.form_number("based_on")
    submission = submission_id(author=request.operator, based_on=based_on, document=document)
    if request.form.get("submission") != submission:
        return request.page(
            "Not sent",
            note("The form does not belong to this document. Remedy: open it again.", bad=True),
            status=HTTPStatus.BAD_REQUEST,
        )
    try:
        is_resent = any(record.submission == submission for record in await client.history())
        record = await client.submit(
            submission=submission, based_on=based_on, author=request.operator, document=document
        )
    except UnavailableError as exc:
        return _unknown_outcome_page(request, exc)
    resent_note = (
        element("p", "This form had been sent before; sending it again has changed nothing.")
        if is_resent
        else None
    )
    if record.accepted:
        text = f"Accepted: your document is version {record.version}."
        return request.page("Accepted", note(element("p", text), resent_note))
    return await _not_accepted_page(client, request, record, document, resent_note)


async def _not_accepted_page(
    client: OperatorClient,
    request: PageRequest,
    record: SubmissionRecord,
    document: Document,
    resent_note: Child,
) -> PageResponse:
    if record.refusal:
        message = f"Not accepted: {record.refusal}. Remedy: {record.remedy}."
        refusal = note(element("p", message), resent_note, bad=True)
        return request.page("Not accepted", refusal, status=HTTPStatus.CONFLICT)
    current = await client.show()
    text = diff_documents(
        current.document,
        document,
        before_name=f"version {current.version} by {current.author}",
        after_name="your document",
    )
    message = (
        f"Not accepted: {record.winner or 'nobody'} was first with version {record.version}. "
        f"Yours was based on version {record.based_on}."
    )
    return request.page(
        "Not accepted",
        note(element("p", message), resent_note, bad=True),
        element("p", f"What differs between version {current.version} and yours:"),
        difference(text),
        element("p", "Remedy: open the form again and repeat your change, or leave it."),
        status=HTTPStatus.CONFLICT,
    )


def _unknown_outcome_page(request: PageRequest, exc: UnavailableError) -> PageResponse:
    names = ("submission", "based_on", "document")
    hidden = {name: request.form.get(name, "") for name in names}
    return request.page(
        "No answer",
        note(
            element("p", f"It is not known whether your document was accepted: {exc.message}."),
            element("p", f"Remedy: {exc.remedy}; then send the same form again, which is safe."),
            bad=True,
        ),
        form("/submit", button("Send the same form again"), csrf=request.session.csrf, **hidden),
        status=HTTPStatus.SERVICE_UNAVAILABLE,
    )
