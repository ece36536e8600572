"""Metrics of waiting requests and of the shares of neighbours, read when they are rendered."""

from collections import defaultdict
from collections.abc import Iterator, Mapping

from ibispaddle_core.clock import Clock
from ibispaddle_core.settings import NeighbourConfig

from .entry import RequestCoordinator
from .metrics import Labels, Metrics, escape_label, prompt_length_class

# Neighbours with a lower weight are summed under one label. Rendering takes about 15 us for each of
# up to 252 time series, during which no stream moves.
MAX_NEIGHBOURS = 20
OTHER_NEIGHBOURS_LABEL = "(others)"

Sample = tuple[Labels, float]


def neighbour_labels(neighbours: Mapping[str, NeighbourConfig]) -> dict[str, str]:
    """Return the label of each neighbour that has one of its own; all others share `OTHER_NEIGHBOURS_LABEL`.

    >>> neighbour_labels({"north": NeighbourConfig(weight=2.0)})
    {'north': 'north'}
    """
    ranked = sorted(neighbours, key=lambda name: (-neighbours[name].weight, name))
    return {name: escape_label(name) for name in ranked[:MAX_NEIGHBOURS]}


class RequestGauges:
    """Read the values from the entry and its scheduler."""

    def __init__(self, entry: RequestCoordinator, clock: Clock) -> None:
        self._entry = entry
        self._clock = clock

    def add_to(self, metrics: Metrics) -> None:
        """Add all metrics."""
        add = metrics.add_labelled_gauge
        add(
            "ibispaddle_waiting_requests",
            "Requests for models without an attempt in progress, by prompt length and neighbour.",
            self.waiting,
        )
        add(
            "ibispaddle_waiting_oldest_seconds",
            "Time since the arrival of the oldest waiting request, by prompt length and neighbour.",
            self.oldest,
        )
        add(
            "ibispaddle_neighbour_consumed_ratio",
            "Part of the engine time that all instances used lately, by neighbour.",
            self.consumed,
        )
        add(
            "ibispaddle_neighbour_share_ratio",
            "Part of all weights that is configured, by neighbour.",
            self.shares,
        )
        metrics.add_counter(
            "ibispaddle_retry_budget_refusals_total",
            "Retries that the retry budget refused.",
            lambda: self._entry.scheduler.retry_budget_refusals,
        )

    def waiting(self) -> Iterator[Sample]:
        """Return the number of waiting requests."""
        return ((_labels(key), float(len(times))) for key, times in self._arrivals().items())

    def oldest(self) -> Iterator[Sample]:
        """Return the highest age of a waiting request, in seconds."""
        now_ms = self._clock.now_ms()
        return (
            (_labels(key), (now_ms - min(times)) / 1000) for key, times in self._arrivals().items()
        )

    def consumed(self) -> Iterator[Sample]:
        """Return each neighbour's part of the decayed consumption."""
        shares = self._entry.scheduler.shares
        names = self._entry.config.neighbours
        return self._parts({name: shares.normalised(name) * shares.weight(name) for name in names})

    def shares(self) -> Iterator[Sample]:
        """Return each neighbour's configured share."""
        neighbours = self._entry.config.neighbours
        return self._parts({name: neighbours[name].weight for name in neighbours})

    def _arrivals(self) -> dict[tuple[str, str], list[int]]:
        """Return the arrival times of the waiting requests by prompt length and neighbour."""
        # One pass over thousands of requests delays all streams by its length; it does no more than
        # needed for each.
        names = neighbour_labels(self._entry.config.neighbours)
        found: defaultdict[tuple[str, str], list[int]] = defaultdict(list)
        for req in self._entry.waiting_requests():
            key = (
                prompt_length_class(req.prompt_tokens),
                names.get(req.neighbour, OTHER_NEIGHBOURS_LABEL),
            )
            found[key].append(req.arrived_ms)
        return found

    def _parts(self, values: Mapping[str, float]) -> Iterator[Sample]:
        names = neighbour_labels(self._entry.config.neighbours)
        total = sum(values.values()) or 1.0
        parts: defaultdict[str, float] = defaultdict(float)
        for name, value in values.items():
            parts[names.get(name, OTHER_NEIGHBOURS_LABEL)] += value / total
        return (({"neighbour": label}, part) for label, part in parts.items())


def _labels(key: tuple[str, str]) -> Labels:
    return {"prompt": key[0], "neighbour": key[1]}
