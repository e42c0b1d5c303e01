"""Choice of free ports."""

from lychee_runtime.ports import free_endpoint, free_endpoints


def test_a_port_is_chosen_only_once() -> None:
    chosen = [*free_endpoints(2_000), *(free_endpoint() for _ in range(2_000))]
    assert len(set(chosen)) == len(chosen)
