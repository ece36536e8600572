"""Metrics of waiting requests and of the shares of neighbours, read when they are rendered."""

from collections.abc import Iterable, Iterator, Mapping

from ibispaddle_core.clock import Clock
from ibispaddle_core.settings import NeighbourConfig

from .entry import Entry
from .metrics import Labels, Metrics, escape_label, length_class

# Bounds the number of time series. Neighbours with a lower weight are summed under one label.
MAX_NEIGHBOURS = 50
OTHERS = "(others)"

Sample = tuple[Labels, float]


def neighbour_labels(neighbours: Mapping[str, NeighbourConfig]) -> dict[str, str]:
    """Return the label of each neighbour that has one of its own; all others share `OTHERS`.

    >>> neighbour_labels({"north": NeighbourConfig(weight=2.0)})
    {'north': 'north'}
    """
    ranked = sorted(neighbours, key=lambda name: (-neighbours[name].weight, name))
    return {name: escape_label(name) for name in ranked[:MAX_NEIGHBOURS]}


class RequestGauges:
    """Read the values from the entry and its scheduler."""

    def __init__(self, entry: Entry, clock: Clock) -> None:
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
        return _sum((labels, 1.0) for labels, _ in self._ages())

    def oldest(self) -> Iterator[Sample]:
        """Return the highest age of a waiting request, in seconds."""
        found: dict[tuple[tuple[str, str], ...], float] = {}
        for labels, age_s in self._ages():
            key = tuple(labels.items())
            found[key] = max(found.get(key, 0.0), age_s)
        return ((dict(key), value) for key, value in found.items())

    def consumed(self) -> Iterator[Sample]:
        """Return each neighbour's part of the decayed consumption."""
        shares = self._entry.scheduler.shares
        names = self._entry.config.neighbours
        return self._parts({name: shares.normalised(name) * shares.weight(name) for name in names})

    def shares(self) -> Iterator[Sample]:
        """Return each neighbour's configured share."""
        neighbours = self._entry.config.neighbours
        return self._parts({name: neighbours[name].weight for name in neighbours})

    def _ages(self) -> Iterator[Sample]:
        now_ms = self._clock.now_ms()
        names = neighbour_labels(self._entry.config.neighbours)
        for req in self._entry.waiting_requests():
            neighbour = names.get(req.neighbour, OTHERS)
            labels = {"prompt": length_class(req.prompt_tokens), "neighbour": neighbour}
            yield labels, (now_ms - req.arrived_ms) / 1000

    def _parts(self, values: Mapping[str, float]) -> Iterator[Sample]:
        names = neighbour_labels(self._entry.config.neighbours)
        total = sum(values.values()) or 1.0
        samples = ((names.get(name, OTHERS), value / total) for name, value in values.items())
        return _sum(({"neighbour": label}, value) for label, value in samples)


def _sum(samples: Iterable[Sample]) -> Iterator[Sample]:
    """Add the samples of equal labels."""
    totals: dict[tuple[tuple[str, str], ...], float] = {}
    for labels, value in samples:
        key = tuple(labels.items())
        totals[key] = totals.get(key, 0.0) + value
    return ((dict(key), value) for key, value in totals.items())
