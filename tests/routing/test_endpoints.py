"""Directory of endpoints around outages of the store."""

from __future__ import annotations

from cyclamenwing.routing import endpoints

ONE = endpoints.Endpoint("e1", "api", "10.0.0.1:80", "a", 6, False)
TWO = ONE._replace(name="e2", address="10.0.0.2:80")


def make_directory(*known: endpoints.Endpoint) -> endpoints.Directory:
    directory = endpoints.Directory()
    for endpoint in known:
        directory.put(endpoint)
    return directory


def test_draining_endpoint_takes_no_request() -> None:
    directory = make_directory(ONE, TWO._replace(draining=True))
    assert directory.list_usable("api", 0.0) == [ONE]


def test_removed_endpoint_is_gone_at_once() -> None:
    directory = make_directory(ONE)
    directory.drop("e1", 0.0, in_doubt=False)
    assert directory.list_usable("api", 0.0) == []


def test_lapsed_entries_serve_until_they_must_be_back() -> None:
    directory = make_directory(ONE)
    directory.drop("e1", 0.0, in_doubt=True)
    assert directory.list_usable("api", 1.0) == [ONE]
    assert directory.list_usable("api", endpoints.LAPSE_GRACE_S) == []


def test_lapsed_entries_yield_to_known_ones() -> None:
    directory = make_directory(ONE, TWO)
    directory.drop("e1", 0.0, in_doubt=True)
    assert directory.list_usable("api", 0.0) == [TWO]


def test_lapsed_entry_that_returns_is_known_again() -> None:
    directory = make_directory(ONE)
    directory.drop("e1", 0.0, in_doubt=True)
    assert directory.put(ONE)
    assert directory.lapsed == {}


def test_draining_endpoint_does_not_come_back_by_doubt() -> None:
    directory = make_directory(ONE._replace(draining=True))
    directory.drop("e1", 0.0, in_doubt=True)
    assert directory.list_usable("api", 0.0) == []


def test_same_entry_is_no_change() -> None:
    directory = make_directory(ONE)
    version = directory.version
    assert not directory.put(ONE)
    assert directory.version == version
