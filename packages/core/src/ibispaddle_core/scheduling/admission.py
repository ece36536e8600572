"""Admission control, which refuses requests that cannot be served in time."""

from collections import deque
from dataclasses import dataclass

from ..shares import ShareCounters
from .cost import CostModel
from .evacuations import EVACUATED_RETRY_AFTER_MS, EvacuationTable
from .messages import RefusalReason, Request
from .pacing import UpstreamPacing
from .queue import FairQueue, Lane
from .runners import RunnerTable
from .subsets import RunnerSubsets

MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 30_000
# Window over which the measured dispatch rate of a lane decays to zero.
RATE_WINDOW_MS = 5_000.0
# Window over which the dispatched requests of a model are counted, and the number that is remembered.
REQUEST_WINDOW_MS = 2_000
MAX_RATE_SAMPLES = 256
# Lower bound of a lane's dispatch rate, in engine time per millisecond and runner of this instance.
# The measured rate of long prompts is often zero because few of them start within the window.
MIN_DISPATCH_RATE = 0.25
MAX_WAIT_MS = 600_000.0
# Lower bound of the assumed requests a second to limited upstreams; they get one from time to time
# whatever their limit is.
MIN_PACED_RATE_PER_S = 0.05


@dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """Hold the reason of a refusal and the time after which a retry may succeed."""

    reason: RefusalReason
    retry_after_ms: int = 0


class DispatchRate:
    """Measure the engine time that this instance dispatches per millisecond, by lane."""

    def __init__(self) -> None:
        self._rates: dict[Lane, tuple[float, int]] = {}
        self._sent_ms: dict[str, deque[int]] = {}  # Times of dispatches by model.

    def count(self, lane: Lane, cost_ms: float, now_ms: int) -> None:
        """Count a dispatched request."""
        self._rates[lane] = (self.rate(lane, now_ms) + cost_ms / RATE_WINDOW_MS, now_ms)
        self._sent_ms.setdefault(lane[1], deque(maxlen=MAX_RATE_SAMPLES)).append(now_ms)

    def rate(self, lane: Lane, now_ms: int) -> float:
        """Return the decayed rate."""
        value, at_ms = self._rates.get(lane, (0.0, now_ms))
        return value * max(0.0, 1 - (now_ms - at_ms) / RATE_WINDOW_MS)

    def requests_per_s(self, model: str, now_ms: int) -> float:
        """Return the number of requests dispatched per second within the last seconds."""
        times = self._sent_ms.get(model, ())
        recent = sum(sent_ms > now_ms - REQUEST_WINDOW_MS for sent_ms in times)
        return recent * 1_000 / REQUEST_WINDOW_MS


class Admission:
    """Decide whether a request may enter the queue."""

    def __init__(
        self,
        cost: CostModel,
        queue: FairQueue,
        shares: ShareCounters,
        runners: RunnerTable,
        subsets: RunnerSubsets,
        pacing: UpstreamPacing,
        evacuations: EvacuationTable,
    ) -> None:
        self._cost = cost
        self._queue = queue
        self._shares = shares
        self._runners = runners
        self._subsets = subsets
        self._pacing = pacing
        self._evacuations = evacuations
        self.dispatch_rate = DispatchRate()

    def check(self, req: Request, lane: Lane, now_ms: int) -> AdmissionRefusal | None:
        """Return why the request must be refused, or None if it may enter."""
        model = self._cost.model(req.model)
        if self._cost.kv_tokens(req) > model.context_tokens:
            return AdmissionRefusal(RefusalReason.TOO_LARGE)
        refusal = self.check_upstreams(req)
        if refusal is not None:
            return refusal
        wait_ms = self.queue_wait_ms(lane, req.neighbour, now_ms)
        paced_wait_ms = self._paced_wait_ms(req.model, now_ms)
        wait_ms = max(wait_ms, paced_wait_ms, self.held_ms(req.model, now_ms))
        if self._queue.is_full(req.neighbour):
            return AdmissionRefusal(RefusalReason.QUEUE_FULL, self.retry_after_ms(wait_ms))
        is_late = now_ms + wait_ms + self.service_ms(req) > req.deadline_ms
        if is_late or now_ms + wait_ms > self.latest_start_ms(req):
            return AdmissionRefusal(RefusalReason.DEADLINE, self.retry_after_ms(wait_ms))
        objective_ms = req.ttft_objective_ms
        if objective_ms is not None and paced_wait_ms > objective_ms:
            return AdmissionRefusal(RefusalReason.DEADLINE, self.retry_after_ms(wait_ms))
        return None

    def check_upstreams(self, req: Request) -> AdmissionRefusal | None:
        """Return why the request cannot be served however long it waits, or None if it can."""
        live, needed = len(self._runners.live_for(req)), max(1, self._cost.min_segments(req))
        if needed <= live:
            return None
        if needed <= live + self._evacuations.count_withheld(req):
            return AdmissionRefusal(RefusalReason.EVACUATED, EVACUATED_RETRY_AFTER_MS)
        if not live:
            return AdmissionRefusal(req.no_upstream_reason, MIN_RETRY_AFTER_MS)
        return AdmissionRefusal(RefusalReason.TOO_LARGE)

    def latest_start_ms(self, req: Request) -> float:
        """Return the time until which a request can be sent so that its caller gets the first output."""
        return req.start_deadline_ms - self._cost.idle_ttft_ms(req)

    def service_ms(self, req: Request) -> float:
        """Return the expected time from dispatch to the last token on an idle engine."""
        return self._cost.idle_ttft_ms(req) + self._cost.decode_ms(req)

    def queue_wait_ms(self, lane: Lane, neighbour: str, now_ms: int) -> float:
        """Return the expected time in the queue, from the dispatch rate and the fair share."""
        queued_ms = self._queue.cost_ms(lane, neighbour)
        if queued_ms <= 0:
            return 0.0
        runner_count = self._subsets.runners_per_instance(self._runners.live(lane[1]))
        rate = max(self.dispatch_rate.rate(lane, now_ms), MIN_DISPATCH_RATE * runner_count)
        total = sum(self._shares.weight(name) for name in self._queue.neighbours(lane))
        share = self._shares.weight(neighbour) / total
        return min(queued_ms / (rate * share), MAX_WAIT_MS) if rate > 0 else 0.0

    def held_ms(self, model: str, now_ms: int) -> int:
        """Return the time until the first upstream of a model ends the pause that it asked for."""
        if self._pacing.is_idle:
            return 0
        upstream_ids = [view.upstream.upstream_id for view in self._runners.live(model)]
        return self._pacing.held_ms(upstream_ids, now_ms)

    def _paced_wait_ms(self, model: str, now_ms: int) -> float:
        """Return the expected time in the queue of a model with limited upstreams.

        While requests wait, this instance sends as many as the upstreams take from it, so that the
        rate of the last seconds is what it can expect.
        """
        waiting = self._queue.count(model) if self._pacing.has_limits else 0
        if not waiting:
            return 0.0
        upstream_ids = [view.upstream.upstream_id for view in self._runners.live(model)]
        limited_per_s = self._pacing.rate_per_s(upstream_ids)
        if limited_per_s is None:
            return 0.0
        rate_per_s = max(limited_per_s, self.dispatch_rate.requests_per_s(model, now_ms))
        return min(MAX_WAIT_MS, 1_000 * waiting / max(rate_per_s, MIN_PACED_RATE_PER_S))

    @staticmethod
    def retry_after_ms(wait_ms: float) -> int:
        """Return the bounded time after which a retry by the caller may be admitted."""
        return int(max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms)))
