"""Views of the runners: the reported load, corrected by the work sent since the report."""

from collections.abc import Collection, Iterable, Mapping
from copy import copy
from dataclasses import dataclass, field

from ..settings.fleet import ModelConfig
from .cost import CostModel, PromptClass
from .messages import Request, RunnerLoad, Upstream, UpstreamState, UpstreamWork
from .pacing import UpstreamPacing

# Reports do not contain the lengths of waiting prompts. Tokens above this number per waiting request
# are attributed to long prompts, which a short prompt overtakes by its priority.
SHORT_TOKENS_PER_WAITING = 4_000
# Fraction of a long prompt that is assumed to be left at least until its first token.
MIN_LONG_REMAINING_FRACTION = 0.2

NO_WORK = UpstreamWork()


@dataclass(slots=True)
class SentRequest:
    """Describe a request, or a part of one, that this instance sent to a runner."""

    prompt_class: PromptClass
    priority: int
    prefill_tokens: int  # Zero after the first token.
    kv_tokens: int
    sent_ms: int
    prefill_ms: float = 0.0  # Predicted engine time of the prefill of the prompt or its part.
    is_part: bool = False  # The runner prefills a part for another one.
    wait_ms: float = 0.0  # Predicted time from sending to the start of the prefill.

    def pending_prefill_ms(self, now_ms: int) -> float:
        """Return the predicted engine time that is left of the prefill.

        Until the first token arrives, the prefill counts as incomplete, however late it is.
        """
        read_ms = max(0.0, now_ms - self.sent_ms - self.wait_ms)
        return max(MIN_LONG_REMAINING_FRACTION * self.prefill_ms, self.prefill_ms - read_ms)


@dataclass(slots=True)
class RunnerView:
    """Hold the state of one runner as known to this instance."""

    upstream: Upstream
    prefill_rate: float  # Tokens per millisecond.
    kv_total: int
    load: RunnerLoad | None = None
    sent: dict[str, SentRequest] = field(default_factory=dict)
    # This instance's reservations by handle: tokens, and the time of the grant or None before it.
    reserved: dict[str, tuple[int, int | None]] = field(default_factory=dict)
    # Predicted prefill time of prompts that wait for reservations, by handle.
    _announced_ms: dict[str, float] = field(default_factory=dict)
    # The entries of `sent` without a first token, kept apart because predictions iterate over them.
    _prefilling: dict[str, SentRequest] = field(default_factory=dict)
    # Total work of the other instances, as last reported.
    peers: UpstreamWork = NO_WORK
    _kv_free: int | None = None  # Cached until one of the fields above changes.
    # Numbers of requests in `sent` and of parts in `_prefilling`. Counters, because each choice
    # reads them for all runners.
    own_requests: int = 0
    own_parts: int = 0

    def add(self, request_id: str, work: SentRequest) -> None:
        """Add a request that was sent to the runner."""
        self.remove(request_id)
        self.sent[request_id] = self._prefilling[request_id] = work
        if work.is_part:
            self.own_parts += 1
        else:
            self.own_requests += 1
        self._kv_free = None

    def record_first_token(self, request_id: str) -> None:
        """Record that the prefill of a request is complete."""
        if (work := self._prefilling.pop(request_id, None)) is not None:
            work.prefill_tokens = 0
            self.own_parts -= work.is_part

    def remove(self, request_id: str) -> None:
        """Remove a request if it was sent to the runner."""
        work = self.sent.pop(request_id, None)
        if work is None:
            return
        is_computing = self._prefilling.pop(request_id, None) is not None
        self.own_parts -= work.is_part and is_computing
        self.own_requests -= not work.is_part
        self._kv_free = None

    def announce_prefill(self, handle: str, prefill_ms: float) -> None:
        """Count the prefill of a reserved prompt as pending until `begin_prefill`."""
        self._announced_ms[handle] = prefill_ms

    def begin_prefill(self, handle: str) -> None:
        """Remove the announcement of a prompt that has been sent."""
        self._announced_ms.pop(handle, None)

    def reserve(self, handle: str, tokens: int, granted_ms: int | None = None) -> None:
        """Record a reservation of this instance, or the time of its grant."""
        self.reserved[handle] = (tokens, granted_ms)
        self._kv_free = None

    def release(self, handle: str) -> None:
        """Remove a reservation."""
        self.reserved.pop(handle, None)
        self._announced_ms.pop(handle, None)
        self._kv_free = None

    def apply_load(self, load: RunnerLoad) -> None:
        """Apply a load report."""
        self.load = load
        if load.prefill_tokens_per_s > 0:
            self.prefill_rate = load.prefill_tokens_per_s / 1000
        if load.kv_tokens_total > 0:
            self.kv_total = load.kv_tokens_total
        self._kv_free = None

    def configure(self, cfg: ModelConfig) -> None:
        """Apply the configured limits."""
        self.prefill_rate = cfg.prefill_tokens_per_s / 1000
        self.kv_total = cfg.engine_kv_tokens
        self._kv_free = None

    def replace_peers(self, work: UpstreamWork) -> None:
        """Replace the total work of the other instances."""
        self.peers = work
        self._kv_free = None

    @property
    def parts(self) -> int:
        """Return the known number of parts that the runner prefills for other runners."""
        return self.own_parts + self.peers.parts

    @property
    def requests(self) -> int:
        """Return the known number of requests of all instances at the runner."""
        return self.own_requests + self.peers.requests

    def pending_prefill_ms(self, now_ms: int) -> float:
        """Return the predicted engine time of all prefill that is pending at the runner."""
        if not self._prefilling and not self._announced_ms:
            return self.peers.prefill_ms
        return self._own_unread_ms(now_ms) + self.peers.prefill_ms

    def _own_unread_ms(self, now_ms: int) -> float:
        computing = sum(work.pending_prefill_ms(now_ms) for work in self._prefilling.values())
        return computing + sum(self._announced_ms.values())

    def own_work(self, now_ms: int) -> UpstreamWork:
        """Return the total work of this instance at the runner."""
        return UpstreamWork(
            self._own_unread_ms(now_ms),
            self.own_requests,
            sum(work.kv_tokens for work in self.sent.values())
            + sum(tokens for tokens, _ in self.reserved.values()),
            self.own_parts,
        )

    @property
    def live(self) -> bool:
        """Return whether the runner may get new work."""
        return self.upstream.state is UpstreamState.LIVE

    @property
    def idle(self) -> bool:
        """Return whether no prompt is known to wait or to be in prefill."""
        if self.load is not None and self.load.waiting:
            return False
        return not self._prefilling

    def wait_ms(
        self, prompt_class: PromptClass, priority: int, now_ms: int, max_age_ms: int
    ) -> float:
        """Return the predicted wait of a new request before its prefill starts."""
        load = self.load
        reported = 0.0
        seen_ms = -1
        if load is not None and now_ms - load.observed_ms <= max_age_ms:
            seen_ms = load.observed_ms
            tokens = float(load.queued_prefill_tokens)
            if prompt_class < PromptClass.LONG:
                tokens = min(tokens, SHORT_TOKENS_PER_WAITING * load.waiting)
            else:
                tokens -= sum(
                    max(0.0, work.prefill_tokens - self.prefill_rate * (seen_ms - work.sent_ms))
                    for work in self._prefilling.values()
                    if work.prompt_class >= PromptClass.LONG and work.sent_ms <= seen_ms
                )
            reported = max(0.0, tokens - self.prefill_rate * (now_ms - seen_ms))
        own = 0.0
        for work in self._prefilling.values():
            if work.priority > priority:
                continue
            done = self.prefill_rate * (now_ms - work.sent_ms)
            if work.prompt_class >= PromptClass.LONG:
                # Unfinished until its first token, whatever the estimate says.
                own += max(
                    MIN_LONG_REMAINING_FRACTION * work.prefill_tokens, work.prefill_tokens - done
                )
            elif work.sent_ms > seen_ms:
                own += max(0.0, work.prefill_tokens - done)
        return (reported + own) / self.prefill_rate + self.peers.prefill_ms

    def is_prefilling_long(self, now_ms: int) -> bool:
        """Return whether a long prompt is known or assumed to be in prefill."""
        for work in self._prefilling.values():
            if work.prompt_class >= PromptClass.LONG:
                return True
        load = self.load
        if load is None:
            return False
        rest = load.queued_prefill_tokens - self.prefill_rate * (now_ms - load.observed_ms)
        return rest > SHORT_TOKENS_PER_WAITING * (load.waiting + 1)

    def kv_free(self) -> int:
        """Return the engine memory that is predicted to be free, in tokens."""
        if self._kv_free is None:
            used, seen_ms = self.peers.kv_tokens, -1
            if self.load is not None:
                used, seen_ms = self.load.kv_tokens_used, self.load.observed_ms
            used += sum(w.kv_tokens for w in self.sent.values() if w.sent_ms > seen_ms)
            for tokens, granted_ms in self.reserved.values():
                if granted_ms is None or granted_ms > seen_ms:
                    used += tokens
            self._kv_free = self.kv_total - used
        return self._kv_free


class RunnerTable:
    """Hold the views of all runners, by model and in id order."""

    def __init__(self, cost: CostModel, pacing: UpstreamPacing) -> None:
        self._cost = cost
        self._pacing = pacing
        self.views: dict[str, RunnerView] = {}
        self._by_model: dict[str, list[RunnerView]] = {}
        self._excluded: frozenset[str] = frozenset()
        self._peer_upstreams: set[str] = set()  # Runners at which other instances have work.
        # Number of instances ranked before this one among those that choose at the same time from
        # the same snapshot of the fleet's work.
        self.choice_rank = 0

    def replace(self, upstreams: Iterable[Upstream]) -> list[RunnerView]:
        """Replace the set of runners and return the runners that are down.

        A runner that is missing from the set gets no new work and finishes its requests.
        """
        listed = {upstream.upstream_id: upstream for upstream in upstreams}
        for upstream_id in self.views.keys() - listed.keys():
            view = self.views[upstream_id]
            previous = view.upstream
            if not view.sent:
                del self.views[upstream_id]
                continue
            view.upstream = Upstream(
                upstream_id, previous.data_centre, previous.models, UpstreamState.LEAVING
            )
        for upstream_id, upstream in listed.items():
            known = self.views.get(upstream_id)
            if known is not None:
                known.upstream = upstream
                continue
            model = self._cost.model(upstream.models[0] if upstream.models else "")
            self.views[upstream_id] = RunnerView(
                upstream, model.prefill_tokens_per_s / 1000, model.engine_kv_tokens
            )
        self._by_model = {}
        down = []
        for upstream_id in sorted(self.views):
            view = self.views[upstream_id]
            state = view.upstream.state
            if state is UpstreamState.LIVE:
                for name in view.upstream.models:
                    self._by_model.setdefault(name, []).append(view)
            elif state is UpstreamState.DOWN:
                down.append(view)
        return down

    def refresh_models(self) -> None:
        """Apply the configured limits to runners that have not reported theirs."""
        for view in self.views.values():
            if view.load is None and view.upstream.models:
                view.configure(self._cost.model(view.upstream.models[0]))

    def replace_peers(self, totals: Mapping[str, UpstreamWork]) -> None:
        """Replace the total work of the other instances at each runner."""
        for upstream_id in self._peer_upstreams - totals.keys():
            if (view := self.views.get(upstream_id)) is not None:
                view.replace_peers(NO_WORK)
        self._peer_upstreams = set(totals)
        for upstream_id, work in totals.items():
            view = self.views.get(upstream_id)
            if view is not None and view.peers != work:
                view.replace_peers(work)

    def own_work(self, now_ms: int) -> dict[str, UpstreamWork]:
        """Return the work of this instance by upstream, without idle upstreams."""
        return {
            upstream_id: view.own_work(now_ms)
            for upstream_id, view in self.views.items()
            if view.sent or view.reserved
        }

    def live(self, model: str) -> list[RunnerView]:
        """Return the runners that may get new work for the model, in id order."""
        return self._by_model.get(model, [])

    def live_for(self, req: Request) -> list[RunnerView]:
        """Return the runners that may get the request, in id order."""
        live = self.live(req.model)
        if req.data_centres is None:
            return live
        return [view for view in live if view.upstream.data_centre in req.data_centres]

    def without(self, upstream_ids: Collection[str]) -> "RunnerTable":
        """Return a table that shares the views, in which some runners are not available."""
        table = copy(self)
        table._excluded = frozenset(upstream_ids)
        return table

    def available_for(self, req: Request, now_ms: int) -> list[RunnerView]:
        """Return the runners that may get the request now: those that are not held back."""
        live = self.live_for(req)
        if self._excluded:
            live = [view for view in live if view.upstream.upstream_id not in self._excluded]
        if self._pacing.is_idle:
            return live
        return [view for view in live if self._pacing.has_room(view.upstream.upstream_id, now_ms)]

    def apply_load(self, load: RunnerLoad) -> None:
        """Apply a load report unless a newer one of the same boot is known."""
        view = self.views.get(load.upstream_id)
        if view is None:
            return
        known = view.load
        if known is not None and known.boot_id == load.boot_id and known.seq >= load.seq:
            return
        view.apply_load(load)
