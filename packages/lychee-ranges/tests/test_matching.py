import pytest

from lychee_ranges import RouteMatcher
from lychee_types.routing import Route, RouteKind, Routing, VirtualHost


def route(prefix):
    return Route(
        name=prefix,
        prefix=prefix,
        kind=RouteKind.SAFE,
        timeout_s=1.0,
        target_latency_s=0.2,
        priority=1,
        max_attempts=1,
        shares=(),
    )


MATCHER = RouteMatcher(
    routing=Routing(
        hosts=(
            VirtualHost(host="one.example", routes=(route("/a/"), route("/a/b/"))),
            VirtualHost(host="All.example", routes=(route("/"),)),
        )
    )
)


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("one.example", "/a/x", "/a/"),
        ("one.example", "/a/", "/a/"),
        ("one.example", "/a", None),
        ("one.example", "/a/b/x", "/a/b/"),
        ("one.example", "/a/bc/x", "/a/"),
        ("one.example", "/a/b", "/a/"),
        ("one.example", "/", None),
        ("one.example", "", None),
        ("two.example", "/a/x", None),
        ("all.example", "/any/thing", "/"),
    ],
)
def test_the_longest_prefix_that_begins_the_path_wins(host, path, prefix):
    found = MATCHER.find(host, path)
    assert (found.prefix if found else None) == prefix
