"""Regions that the requests of a route and a workspace must not leave.

Handles deployments whose operators keep some requests in one region of
several. The region of an endpoint follows from its availability zone.
"""

from __future__ import annotations

from collections.abc import Mapping


class Homes:
    """Find the zones in which a request may be served.

    :param regions: region of each zone, by the settings
    :param own_zone: zone of this gateway
    :param own_region: region of this gateway, empty if not known
    """

    def __init__(
        self,
        regions: Mapping[str, str],
        own_zone: str = "",
        own_region: str = "",
    ) -> None:
        # An explicit entry applies before what the own region implies. A zone
        # without a name is the zone of endpoints that name none.
        known = {own_zone: own_region, **regions}
        self._regions = {z: r for z, r in known.items() if z and r}

    def find_zones(self, *lists: frozenset[str]) -> frozenset[str] | None:
        """Return the zones that are in the regions of all lists.

        :param lists: region names; an empty list allows any region
        :return: None if no list restricts the zones
        """
        homes = join_regions(*lists)
        if homes is None:
            return None
        return frozenset(
            zone for zone, region in self._regions.items() if region in homes
        )


def join_regions(*lists: frozenset[str]) -> frozenset[str] | None:
    """Return the regions in all lists that name any, None without such."""
    given = [regions for regions in lists if regions]
    return frozenset.intersection(*given) if given else None


__all__ = (
    "Homes",
    "join_regions",
)
