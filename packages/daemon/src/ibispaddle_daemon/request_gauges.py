"""Gauges of waiting requests and of neighbours' shares, computed when metrics are rendered."""

from collections import defaultdict
from collections.abc import Iterator, Mapping

from ibispaddle_core.clock import Clock
from ibispaddle_core.settings import NeighbourConfig

from .entry import RequestCoordinator
from .metrics import Labels, Metrics, escape_label, prompt_length_class

# The neighbours with the lowest weights are summed under one label. Rendering takes about 15 us for
# each of up to 252 time series and blocks the event loop, and with it all streams.
MAX_NEIGHBOURS = 20
OTHER_NEIGHBOURS_LABEL = "(others)"

Sample = tuple[Labels, float]


def neighbour_labels(neighbours: Mapping[str, NeighbourConfig]) -> dict[str, str]:
    """Return the labels by neighbour; those without one share `OTHER_NEIGHBOURS_LABEL`.

    >>> neighbour_labels({"north": NeighbourConfig(weight=2.0)})
    {'north': 'north'}
    """
    ranked = sorted(neighbours, key=lambda name: (-neighbours[name].weight, name))
    return {name: escape_label(name) for name in ranked[:MAX_NEIGHBOURS]}


class RequestGauges:
    """Compute the gauges from the request coordinator and its scheduler."""

    def __init__(self, entry: RequestCoordinator, clock: Clock) -> None:
        self._entry = entry
        self._clock = clock

    def add_to(self, metrics: Metrics) -> None:
        """Register all gauges and counters."""
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
        """Return the number of waiting requests by prompt length and neighbour."""
        return ((_labels(key), float(len(times))) for key, times in self._arrival_times().items())

    def oldest(self) -> Iterator[Sample]:
        """Return the age of the oldest waiting request in seconds, by the same labels."""
        now_ms = self._clock.now_ms()
        return (
            (_labels(key), (now_ms - min(times)) / 1000)
            for key, times in self._arrival_times().items()
        )

    def consumed(self) -> Iterator[Sample]:
        """Return each neighbour's fraction of the decayed consumption."""
        shares = self._entry.scheduler.shares
        names = self._entry.config.neighbours
        return self._share_samples(
            {name: shares.normalised(name) * shares.weight(name) for name in names}
        )

    def shares(self) -> Iterator[Sample]:
        """Return each neighbour's configured share."""
        neighbours = self._entry.config.neighbours
        return self._share_samples({name: neighbours[name].weight for name in neighbours})

    def _arrival_times(self) -> dict[tuple[str, str], list[int]]:
        """Return the arrival times of the waiting requests by prompt length and neighbour."""
        # The event loop is blocked during this pass over up to thousands of requests, so it does
        # only what is necessary for each request.
        names = neighbour_labels(self._entry.config.neighbours)
        arrivals: defaultdict[tuple[str, str], list[int]] = defaultdict(list)
        for req in self._entry.waiting_requests():
            key = (
                prompt_length_class(req.prompt_tokens),
                names.get(req.neighbour, OTHER_NEIGHBOURS_LABEL),
            )
            arrivals[key].append(req.arrived_ms)
        return arrivals

    def _share_samples(self, values: Mapping[str, float]) -> Iterator[Sample]:
        names = neighbour_labels(self._entry.config.neighbours)
        total = sum(values.values()) or 1.0
        shares: defaultdict[str, float] = defaultdict(float)
        for name, value in values.items():
            shares[names.get(name, OTHER_NEIGHBOURS_LABEL)] += value / total
        return (({"neighbour": label}, share) for label, share in shares.items())


def _labels(key: tuple[str, str]) -> Labels:
    return {"prompt": key[0], "neighbour": key[1]}
