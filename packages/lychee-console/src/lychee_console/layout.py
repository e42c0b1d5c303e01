"""The layout and style of every page, and elements that pages share."""

from collections.abc import Sequence

from lychee_console.html import Child, Html, element, join
from lychee_types.exceptions import Fault

LINKS = (
    ("/", "Status"),
    ("/services", "Services"),
    ("/limits", "Limits"),
    ("/servers", "Servers"),
    ("/drains", "Drains"),
    ("/document", "Document"),
    ("/history", "History"),
)

STYLE = """\
:root { color-scheme: light dark; --line: #8886; --accent: #0b57d0; --bad: #b3261e; }
@media (prefers-color-scheme: dark) { :root { --accent: #a8c7fa; --bad: #f2b8b5; } }
* { box-sizing: border-box; }
body { font: 1rem/1.5 system-ui, sans-serif; margin: 0 auto; max-width: 72rem;
  padding: 0 1rem 3rem; }
a { color: var(--accent); }
.skip { position: absolute; left: -99rem; }
.skip:focus { left: 1rem; }
header { border-bottom: 1px solid var(--line); padding: .75rem 0; }
header form { display: inline; }
nav a { display: inline-block; padding: .4rem .6rem .4rem 0; }
nav a[aria-current] { font-weight: bold; text-decoration: none; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2rem; }
table { border-collapse: collapse; width: 100%; }
th, td { border-bottom: 1px solid var(--line); padding: .35rem .6rem; text-align: left; }
.field { margin: .8rem 0; }
.field label { display: block; font-weight: 600; }
.check label { display: inline; padding-left: .5rem; }
input[type=text], input[type=password], select, textarea {
  font: inherit; padding: .45rem; width: 100%; max-width: 30rem; border: 1px solid #888;
  border-radius: .25rem; }
textarea { max-width: none; min-height: 24rem; font-family: monospace; }
input[type=checkbox] { width: 1.25rem; height: 1.25rem; vertical-align: middle; }
input[aria-invalid=true], select[aria-invalid=true] { border: 2px solid var(--bad); }
fieldset { border: 1px solid var(--line); margin: 0 0 1rem; }
.columns { display: grid; gap: 0 2rem;
  grid-template-columns: repeat(auto-fill, minmax(16rem, 1fr)); }
button { font: inherit; padding: .5rem 1rem; min-height: 2.75rem; border: 1px solid var(--accent);
  border-radius: .25rem; background: var(--accent); color: Canvas; cursor: pointer; }
button.plain { background: transparent; color: var(--accent); }
:focus-visible { outline: 3px solid var(--accent); outline-offset: 2px; }
.hint { margin: .1rem 0; opacity: .8; }
.fault { margin: .1rem 0; color: var(--bad); font-weight: 600; }
.note { border: 2px solid var(--line); border-radius: .25rem; padding: .5rem 1rem; margin: 1rem 0; }
.note.bad { border-color: var(--bad); }
pre { overflow-x: auto; border: 1px solid var(--line); padding: .75rem; }
.add { color: #146c2e; } .remove { color: var(--bad); }
@media (prefers-color-scheme: dark) { .add { color: #6dd58c; } }
@media (max-width: 40rem) {
  thead { position: absolute; left: -99rem; }
  tr { display: block; border: 1px solid var(--line); margin: .6rem 0; padding: .4rem; }
  td { display: flex; justify-content: space-between; gap: 1rem; border: 0; padding: .2rem .4rem;
    overflow-wrap: anywhere; }
  td span { text-align: right; }
  td::before { content: attr(data-label); font-weight: 600; flex: none; }
}
"""


def page(
    title: str, *content: Child, path: str = "", operator: str | None = None, csrf: str = ""
) -> Html:
    """Return a whole page.

    :param title: its title and heading.
    :param content: content below the heading.
    :param path: its own path, marked as current in the navigation.
    :param operator: name of the logged-in operator; None omits the navigation.
    :param csrf: the session's CSRF token.
    """
    head = element(
        "head",
        element("meta", charset="utf-8"),
        element("meta", name="viewport", content="width=device-width, initial-scale=1"),
        element("title", f"{title} - lycheescale"),
        element("link", rel="stylesheet", href="/style.css"),
    )
    body = element(
        "body",
        element("a", "Skip to content", href="#content", class_="skip"),
        _header(path, operator, csrf) if operator is not None else None,
        element("main", element("h1", title), *content, id="content"),
    )
    return join(Html("<!DOCTYPE html>\n"), element("html", head, body, lang="en"))


def _header(path: str, operator: str, csrf: str) -> Html:
    links = [
        element("a", text, href=href, aria_current="page" if href == path else None)
        for href, text in LINKS
    ]
    spaced_links = [part for link in links for part in (link, " ")]
    log_out = form("/logout", button("Log out", plain=True), csrf=csrf)
    return element(
        "header", element("nav", *spaced_links, aria_label="Pages"), f"{operator} ", log_out
    )


def form(action: str, /, *content: Child, csrf: str, **hidden: str | int) -> Html:
    """Return a form that is submitted with POST.

    :param action: the path that it is submitted to.
    :param content: its visible content.
    :param csrf: the session's CSRF token.
    :param hidden: names and values of hidden fields.
    """
    pairs = {"csrf": csrf, **hidden}
    inputs = [element("input", type="hidden", name=n, value=v) for n, v in pairs.items()]
    return element("form", *inputs, *content, method="post", action=action)


def button(text: str, *, plain: bool = False) -> Html:
    """Return a button that submits its form."""
    return element("button", text, type="submit", class_="plain" if plain else None)


def table(caption: str, headings: Sequence[str], rows: Sequence[Sequence[Child]]) -> Html:
    """Return a table with a heading; on narrow screens each row becomes a card."""
    if not rows:
        return join(element("h2", caption), element("p", "None."))
    head = element("tr", *(element("th", text, scope="col") for text in headings))
    body_rows = [
        element(
            "tr",
            *(
                element("td", element("span", cell), data_label=label)
                for label, cell in zip(headings, row, strict=True)
            ),
        )
        for row in rows
    ]
    return join(
        element("h2", caption),
        element("table", element("thead", head), element("tbody", *body_rows), aria_label=caption),
    )


def note(*content: Child, bad: bool = False) -> Html:
    """Return a highlighted message that screen readers announce."""
    return element("div", *content, class_="note bad" if bad else "note", role="alert")


def fault_list(faults: Sequence[Fault]) -> Html | None:
    """Return the faults with links to their fields, or None if there are no faults."""
    if not faults:
        return None
    items = [_fault_item(fault) for fault in faults]
    count = f"{len(faults)} fault{'s' if len(faults) != 1 else ''}; nothing was sent"
    return note(element("p", count), element("ul", *items), bad=True)


def _fault_item(fault: Fault) -> Html:
    link = element("a", fault.place, href=f"#{fault.place}")
    return element("li", link, f": {fault.message}. Remedy: {fault.remedy}.")


def difference(text: str) -> Html:
    """Return an element with a unified diff whose added and removed lines are marked."""
    if not text:
        return element("p", "No difference.")
    classes = {"+": "add", "-": "remove"}
    lines = [
        element("span", line, class_=classes.get(line[:1]))
        for line in text.splitlines(keepends=True)
    ]
    return element("pre", *lines, tabindex="0", aria_label="Difference")
