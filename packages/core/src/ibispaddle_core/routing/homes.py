"""Homes: the regions in which the requests of a route or workspace may run."""

from collections.abc import Collection, Mapping

# The regions that a home allows; None: anywhere.
Home = Collection[str] | None


def common_regions(*homes: Home) -> frozenset[str] | None:
    """Return the regions that all homes allow, or None if none of them is restricted.

    >>> common_regions(frozenset({"north", "south"}), None, frozenset({"south"}))
    frozenset({'south'})
    >>> common_regions(None, None) is None
    True
    """
    restricted = [frozenset(home) for home in homes if home is not None]
    return frozenset.intersection(*restricted) if restricted else None


class DataCentreRegions:
    """Find the data centres of regions; one whose region is unknown is outside of every home."""

    def __init__(self, region_by_data_centre: Mapping[str, str]) -> None:
        data_centres: dict[str, set[str]] = {}
        for name, region in region_by_data_centre.items():
            data_centres.setdefault(region, set()).add(name)
        self._data_centres = {
            region: frozenset(names) for region, names in data_centres.items() if region
        }

    @property
    def regions(self) -> Collection[str]:
        """Return the regions that have a data centre."""
        return self._data_centres.keys()

    def data_centres(self, *homes: Home) -> frozenset[str] | None:
        """Return the data centres in which a request with these homes may run, or None for all.

        >>> regions = DataCentreRegions({"a1": "north", "a2": "north", "b1": "south"})
        >>> sorted(regions.data_centres(frozenset({"north"}), None))
        ['a1', 'a2']
        >>> regions.data_centres(frozenset({"north"}), frozenset({"south"}))
        frozenset()
        """
        allowed = common_regions(*homes)
        if allowed is None:
            return None
        known = (self._data_centres.get(region, frozenset()) for region in allowed)
        return frozenset().union(*known)
