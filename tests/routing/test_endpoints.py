"""Directory of endpoints during and after outages of the store.

An outage lets registrations lapse although the endpoints still run; the
service must not be left without endpoints until they register again.
"""

from __future__ import annotations

from cyclamenwing.routing import endpoints

ONE = endpoints.Endpoint("e1", "api", "10.0.0.1:80", "a", 6, False)
TWO = ONE._replace(name="e2", address="10.0.0.2:80")


def make_directory(*registered: endpoints.Endpoint) -> endpoints.Directory:
    directory = endpoints.Directory()
    for endpoint in registered:
        directory.put(endpoint)
    return directory


def test_draining_endpoint_takes_no_request() -> None:
    directory = make_directory(ONE, TWO._replace(draining=True))
    assert directory.list_usable("api", 0.0) == [ONE]


def test_removed_endpoint_is_gone_at_once() -> None:
    directory = make_directory(ONE)
    directory.drop("e1", 0.0, in_doubt=False)
    assert directory.list_usable("api", 0.0) == []


def test_lapsed_endpoint_is_used_within_the_grace_time() -> None:
    directory = make_directory(ONE)
    directory.drop("e1", 0.0, in_doubt=True)
    assert directory.list_usable("api", 1.0) == [ONE]
    assert directory.list_usable("api", endpoints.LAPSE_GRACE_S) == []


def test_registered_endpoint_is_preferred_to_lapsed_one() -> None:
    directory = make_directory(ONE, TWO)
    directory.drop("e1", 0.0, in_doubt=True)
    assert directory.list_usable("api", 0.0) == [TWO]


def test_lapsed_endpoint_registers_again() -> None:
    directory = make_directory(ONE)
    directory.drop("e1", 0.0, in_doubt=True)
    assert directory.put(ONE)
    assert directory.lapsed == {}


def test_draining_endpoint_is_not_kept_as_lapsed() -> None:
    directory = make_directory(ONE._replace(draining=True))
    directory.drop("e1", 0.0, in_doubt=True)
    assert directory.list_usable("api", 0.0) == []


def test_repeated_registration_is_no_change() -> None:
    directory = make_directory(ONE)
    version = directory.version
    assert not directory.put(ONE)
    assert directory.version == version
