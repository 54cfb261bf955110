"""Directory of endpoints during and after outages of the store.

An outage lets registrations lapse although the endpoints still run; the
service must not be left without endpoints until they register again.
"""

from __future__ import annotations

from cyclamenwing.routing import endpoints
from cyclamenwing.routing import evacuations

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


HOME = endpoints.Scope(frozenset({"a"}))


def evacuate(
    directory: endpoints.Directory, zone: str, live: bool = False
) -> None:
    directory.evacuations.apply(evacuations.Order(zone, 1, 5, True), 0.0, live)


# Guards against attempts that are spent on endpoints of an evacuated zone,
# although none of them is sent there.
def test_endpoint_in_an_evacuated_zone_is_not_usable() -> None:
    directory = make_directory(ONE, TWO._replace(zone="b"))
    evacuate(directory, "b")
    assert directory.list_usable("api", 0.0) == [ONE]
    assert directory.accepts(ONE, 0.0)
    assert not directory.accepts(TWO._replace(zone="b"), 0.0)
    assert not directory.is_evacuated("api", 0.0)
    evacuate(directory, "a")
    assert directory.list_usable("api", 0.0) == []
    assert directory.is_evacuated("api", 0.0)
    assert not directory.is_evacuated("other", 0.0)


def test_lapsed_endpoint_in_an_evacuated_zone_is_not_usable() -> None:
    directory = make_directory(ONE, TWO._replace(zone="b"))
    directory.drop("e1", 0.0, in_doubt=True)
    evacuate(directory, "b")
    # The registered one is not in use, so the lapsed one serves.
    assert directory.list_usable("api", 0.0) == [ONE]
    evacuate(directory, "a")
    assert directory.list_usable("api", 0.0) == []
    assert directory.is_evacuated("api", 0.0)


# Guards against a return time at which the endpoint gets nothing either.
def test_wait_of_an_endpoint_in_an_evacuated_zone_is_not_promised() -> None:
    directory = make_directory(ONE, TWO._replace(zone="b"))
    directory.record_wait(ONE, 0.0, 2.0)
    directory.record_wait(TWO._replace(zone="b"), 0.0, 1.0)
    assert directory.measure_wait("api", 0.0) == 1.0
    evacuate(directory, "b")
    assert directory.measure_wait("api", 0.0) == 2.0
    evacuate(directory, "a")
    assert directory.measure_wait("api", 0.0) is None


def test_part_that_has_not_moved_keeps_its_endpoint() -> None:
    directory = make_directory(ONE)
    directory.evacuations = evacuations.Evacuations(5.0)
    evacuate(directory, "a", live=True)
    scope = endpoints.Scope(None, "part")
    assert directory.list_usable("api", 0.0, scope) == [ONE]
    assert directory.list_usable("api", 0.0) == []
    assert directory.list_usable("api", 1.5, scope) == []
    assert directory.is_evacuated("api", 1.5, scope)


# Guards against a request that leaves its home when the home is full or gone.
def test_only_endpoints_of_the_home_are_usable() -> None:
    other = TWO._replace(zone="b")
    directory = make_directory(ONE, other)
    assert directory.list_usable("api", 0.0, HOME) == [ONE]
    assert not directory.accepts(other, 0.0, HOME)
    directory.record_wait(ONE, 0.0, 2.0)
    assert directory.list_usable("api", 0.0, HOME) == []
    assert directory.measure_wait("api", 0.0, HOME) == 2.0
    assert directory.has_home("api", 0.0, HOME)
    directory.drop("e2", 0.0, in_doubt=True)
    assert directory.list_usable("api", 0.0, HOME) == []
    evacuate(directory, "a")
    assert directory.is_evacuated("api", 0.0, HOME)
    directory.drop("e1", 0.0, in_doubt=False)
    assert not directory.has_home("api", 0.0, HOME)
    assert directory.has_home("api", 0.0, endpoints.ANY_ENDPOINT)
    assert directory.list_usable("api", 0.0, HOME) == []


# Guards against a lapsed endpoint that counts until the next request that
# finds no other.
def test_lapsed_endpoint_is_in_a_home_or_zone_for_the_grace_time_only() -> (
    None
):
    directory = make_directory(ONE)
    directory.drop("e1", 0.0, in_doubt=True)
    evacuate(directory, "a")
    early_s, late_s = 0.0, endpoints.LAPSE_GRACE_S
    assert directory.has_home("api", early_s, HOME)
    assert directory.is_evacuated("api", early_s)
    assert not directory.has_home("api", late_s, HOME)
    assert not directory.is_evacuated("api", late_s)
