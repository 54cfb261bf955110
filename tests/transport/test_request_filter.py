from __future__ import annotations

import pytest
from tornado import httputil

from cyclamenwing.transport import errors
from cyclamenwing.transport import request_filter

KEYS = ["old-key-of-sixteen", "new-key-of-sixteen"]


@pytest.mark.parametrize(
    ("given", "admitted"),
    [
        ("Bearer old-key-of-sixteen", True),
        ("Bearer new-key-of-sixteen", True),
        ("Bearer new-key-of-sixteen,Bearer new-key-of-sixteen", False),
        ("bearer new-key-of-sixteen", False),
        ("Bearer new-key-of-sixtee", False),
        ("Bearer ", False),
        ("", False),
        ("Bearer \xff", False),
    ],
)
def test_each_fleet_key_is_admitted(given: str, admitted: bool) -> None:
    peers = request_filter.FleetKeyFilter(KEYS, 10)
    headers = httputil.HTTPHeaders({"Authorization": given})
    if admitted:
        assert peers.admit("/", headers) == 10
        return
    with pytest.raises(errors.ForbiddenPeerError):
        peers.admit("/", headers)
