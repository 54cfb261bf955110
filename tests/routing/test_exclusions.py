"""Endpoints that are excluded although the store lists them as ready.

Patterns: an endpoint leaves without telling the store; an older copy of the
store brings back an endpoint that has left; an endpoint asks callers to wait
under load; all endpoints of a service ask callers to wait.
"""

from __future__ import annotations

import pytest

from cyclamenwing.routing import endpoints
from cyclamenwing.routing import exclusions

ONE = endpoints.Endpoint("e1", "api", "10.0.0.1:80", "a", 6, False, 1000)
TWO = ONE._replace(name="e2", address="10.0.0.2:80")
NEXT = ONE._replace(started_ms=2000)
UNKNOWN_START = ONE._replace(started_ms=0)


def make_directory(*registered: endpoints.Endpoint) -> endpoints.Directory:
    directory = endpoints.Directory()
    for endpoint in registered:
        directory.put(endpoint, 1)
    return directory


def list_names(directory: endpoints.Directory, now_s: float = 0.0) -> str:
    usable = directory.list_usable("api", now_s)
    return " ".join(sorted(e.name for e in usable))


def test_endpoint_that_leaves_without_telling_the_store_is_not_used() -> None:
    directory = make_directory(ONE, TWO)
    assert directory.record_leaving(ONE)
    assert not directory.record_leaving(ONE)
    assert list_names(directory) == "e2"
    assert not directory.accepts(ONE, 0.0)


@pytest.mark.parametrize(
    "entry",
    [
        ONE,
        ONE._replace(slots=7),
        ONE._replace(zone="b"),
        # A missing start time does not show that the process is another one.
        UNKNOWN_START,
    ],
)
def test_leaving_endpoint_stays_excluded_whatever_its_entry_says(
    entry: endpoints.Endpoint,
) -> None:
    directory = make_directory(ONE, TWO)
    directory.record_leaving(ONE)
    directory.put(entry, 2)
    assert list_names(directory) == "e2"
    directory.drop("e1", 0.0, in_doubt=False, revision=3)
    directory.put(entry, 4)
    assert list_names(directory, 1e9) == "e2"


@pytest.mark.parametrize(
    "entry", [NEXT, ONE._replace(address="10.0.0.3:80"), UNKNOWN_START]
)
def test_endpoint_without_start_time_can_not_be_told_from_the_next(
    entry: endpoints.Endpoint,
) -> None:
    directory = make_directory(UNKNOWN_START)
    directory.record_leaving(UNKNOWN_START)
    directory.put(entry, 2)
    moved = entry.address != UNKNOWN_START.address
    assert list_names(directory) == ("e1" if moved else "")


@pytest.mark.parametrize(
    "entry",
    [
        NEXT,
        ONE._replace(address="10.0.0.3:80"),
        # A clock that was set back gives the next process an earlier start.
        ONE._replace(started_ms=500),
    ],
)
def test_next_incarnation_of_a_leaving_endpoint_is_used(
    entry: endpoints.Endpoint,
) -> None:
    directory = make_directory(ONE)
    directory.record_leaving(ONE)
    directory.put(entry, 2)
    assert directory.list_usable("api", 0.0) == [entry]


def test_leaving_endpoint_is_not_used_as_lapsed() -> None:
    directory = make_directory(ONE)
    directory.record_leaving(ONE)
    directory.drop("e1", 0.0, in_doubt=True, revision=2)
    assert list_names(directory) == ""


def test_lapsed_endpoint_that_says_it_leaves_is_not_used() -> None:
    directory = make_directory(ONE)
    directory.drop("e1", 0.0, in_doubt=True, revision=2)
    assert list_names(directory) == "e1"
    directory.record_leaving(ONE)
    assert list_names(directory) == ""


@pytest.mark.parametrize("revision", [1, 5, 9])
def test_older_copy_of_the_store_brings_no_draining_endpoint_back(
    revision: int,
) -> None:
    directory = make_directory(ONE, TWO)
    directory.put(ONE._replace(draining=True), 5)
    directory.put(ONE, revision)
    assert list_names(directory) == "e2"


def test_older_copy_of_the_store_brings_no_removed_endpoint_back() -> None:
    directory = make_directory(ONE, TWO)
    directory.drop("e1", 0.0, in_doubt=False, revision=5)
    directory.put(ONE, 1)
    assert list_names(directory) == "e2"


def test_endpoint_that_registers_again_after_its_removal_is_used() -> None:
    # Its registration expired while only it could not reach the store.
    directory = make_directory(ONE)
    directory.drop("e1", 0.0, in_doubt=False, revision=5)
    directory.put(ONE, 6)
    assert list_names(directory) == "e1"


def test_older_copy_of_the_store_hides_no_later_incarnation() -> None:
    directory = make_directory(ONE)
    directory.put(NEXT, 5)
    assert not directory.put(ONE, 1)
    assert directory.list_usable("api", 0.0) == [NEXT]


def test_older_copy_of_the_store_does_not_replace_a_lapsed_endpoint() -> None:
    directory = make_directory(ONE)
    directory.put(NEXT, 5)
    directory.drop("e1", 0.0, in_doubt=True, revision=6)
    assert not directory.put(ONE, 1)
    assert directory.list_usable("api", 0.0) == [NEXT]


def test_older_copy_brings_no_earlier_incarnation_back_at_its_address() -> (
    None
):
    directory = make_directory(ONE)
    directory.put(NEXT, 5)
    directory.record_leaving(NEXT)
    directory.put(ONE, 1)
    assert list_names(directory) == ""


@pytest.mark.parametrize("entry", [ONE, NEXT, UNKNOWN_START])
def test_draining_entry_replaces_the_incarnation_before(
    entry: endpoints.Endpoint,
) -> None:
    directory = make_directory(ONE)
    assert directory.put(entry._replace(draining=True), 5)
    assert list_names(directory) == ""


@pytest.mark.parametrize(
    ("entry", "revision", "names"),
    [
        (UNKNOWN_START, 1, ""),
        (UNKNOWN_START, 5, ""),
        # Written after the draining entry, by the next process or by the
        # owner of an entry that another writer had overwritten.
        (UNKNOWN_START, 6, "e1"),
        (ONE, 6, "e1"),
    ],
)
def test_draining_entry_without_start_time_holds_until_a_later_one(
    entry: endpoints.Endpoint, revision: int, names: str
) -> None:
    directory = make_directory(ONE)
    directory.put(UNKNOWN_START._replace(draining=True), 5)
    directory.put(entry, revision)
    assert list_names(directory) == names


def test_memory_of_endpoints_that_left_is_bounded() -> None:
    directory = make_directory(ONE)
    directory.record_leaving(ONE)
    for number in range(3 * exclusions.MAX_KEPT):
        other = TWO._replace(name=f"x{number}")
        directory.put(other, 2)
        directory.record_wait(other, 0.0, 1e6)
        directory.record_leaving(other)
        directory.drop(other.name, 0.0, in_doubt=False, revision=3)
    kept = directory.exclusions
    for records in (kept.leaving, kept.superseded, kept.waits):
        assert len(records) <= exclusions.MAX_KEPT + 1
    # An endpoint that is still registered is never forgotten.
    assert list_names(directory) == ""


def test_memory_of_restarts_at_one_address_is_bounded() -> None:
    directory = make_directory()
    for started_ms in range(1, 100):
        entry = ONE._replace(started_ms=started_ms)
        directory.put(entry, started_ms)
        directory.record_leaving(entry)
    starts = directory.exclusions.leaving["e1", ONE.address]
    assert len(starts) == exclusions.MAX_STARTS_KEPT
    assert list_names(directory) == ""


def test_endpoint_that_asks_callers_to_wait_is_used_again_later() -> None:
    directory = make_directory(ONE, TWO)
    assert directory.record_wait(ONE, 10.0, 2.0)
    assert list_names(directory, 11.9) == "e2"
    assert list_names(directory, 12.0) == "e1 e2"


@pytest.mark.parametrize(
    ("answers", "until_s"),
    [
        # A later answer extends the time.
        ([(10.0, 2.0), (11.0, 2.0)], 13.0),
        # A shorter one does not end it: each answer holds for its own time.
        ([(10.0, 2.0), (10.5, 0.5)], 12.0),
        ([(10.0, 0.0)], 10.0),
    ],
)
def test_longest_time_that_an_endpoint_asked_for_counts(
    answers: list[tuple[float, float]], until_s: float
) -> None:
    directory = make_directory(ONE)
    for now_s, wait_s in answers:
        directory.record_wait(ONE, now_s, wait_s)
    assert not directory.accepts(ONE, until_s - 0.01) or until_s == 10.0
    assert directory.accepts(ONE, until_s)


def test_wait_ends_with_the_incarnation_that_asked_for_it() -> None:
    directory = make_directory(ONE)
    directory.record_wait(ONE, 0.0, 60.0)
    directory.put(NEXT, 2)
    assert list_names(directory) == "e1"


def test_wait_outlasts_a_new_registration_of_the_incarnation() -> None:
    directory = make_directory(ONE)
    directory.record_wait(ONE, 0.0, 60.0)
    directory.drop("e1", 1.0, in_doubt=True, revision=2)
    assert list_names(directory, 1.1) == ""
    directory.put(ONE, 3)
    assert list_names(directory, 59.0) == ""


def test_service_whose_endpoints_all_wait_names_the_shortest_time() -> None:
    directory = make_directory(ONE, TWO)
    directory.record_wait(ONE, 0.0, 3.0)
    assert directory.measure_wait("api", 1.0) is None
    directory.record_wait(TWO, 0.5, 1.5)
    assert directory.measure_wait("api", 1.0) == 1.0
    assert directory.measure_wait("other", 1.0) is None
    assert directory.measure_wait("api", 2.0) is None


def test_leaving_endpoint_is_not_waited_for() -> None:
    directory = make_directory(ONE, TWO)
    directory.record_wait(ONE, 0.0, 1.0)
    directory.record_wait(TWO, 0.0, 5.0)
    directory.record_leaving(ONE)
    assert directory.measure_wait("api", 0.0) == 5.0
    directory.record_leaving(TWO)
    assert directory.measure_wait("api", 0.0) is None


def test_excluded_endpoints_are_counted() -> None:
    directory = make_directory(ONE, TWO)
    directory.record_wait(ONE, 0.0, 1.0)
    directory.record_leaving(TWO)
    assert directory.count_waiting(0.5) == 1
    assert directory.count_waiting(1.5) == 0
    assert directory.count_leaving() == 1
