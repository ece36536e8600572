"""What the distance between data centres costs in the placement."""

from collections.abc import Mapping

from ..settings.fleet import ModelConfig

# Work equivalent of another data centre besides its delay, for the bytes between them. Not below the
# range of the random order among engines with equal work, so that of these the near one is chosen, and
# with the delays of one region below that of one more request at the near engine.
CROSSING_WORK_MS = 4.0

# Models whose distances are kept.
MAX_MODELS = 256

NEAR: Mapping[str, float] = {}


class Distances:
    """Compute the work equivalent of sending a request to each data centre.

    The first output comes later by the way there and back. Without a data centre of its own, or without
    delays in the service's configuration, an instance takes all data centres for near.

    >>> from ibispaddle_core.settings.fleet import DelayConfig
    >>> cfg = ModelConfig(delays=(DelayConfig(first="dc1", second="dc2", delay_ms=0.9),))
    >>> Distances("dc1").work_ms(cfg), Distances("").work_ms(cfg)
    ({'dc2': 5.8}, {})
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        # The configuration is replaced as a whole, so that the same object has the same delays.
        self._work_ms: dict[int, tuple[ModelConfig, Mapping[str, float]]] = {}

    def work_ms(self, cfg: ModelConfig) -> Mapping[str, float]:
        """Return the work equivalent by data centre, without those that are near."""
        if not cfg.delays or not self._data_centre:
            return NEAR
        known = self._work_ms.get(id(cfg))
        if known is None or known[0] is not cfg:
            if len(self._work_ms) > MAX_MODELS:
                self._work_ms.clear()
            known = self._work_ms[id(cfg)] = (cfg, self._compute(cfg))
        return known[1]

    def _compute(self, cfg: ModelConfig) -> dict[str, float]:
        work_ms = {}
        for delay in cfg.delays:
            first, second = delay.first, delay.second
            if first != second and self._data_centre in (first, second):
                other = second if first == self._data_centre else first
                work_ms[other] = CROSSING_WORK_MS + 2 * delay.delay_ms
        return work_ms
