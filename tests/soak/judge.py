"""Checks of the invariants of a run, from the records of callers and runners."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from ibispaddle_daemon.forwarding.refusals import CODE_OUTDATED

from tests.support.service import is_served_worse

from .callers import EVENT_COUNT, TIME_LIMIT_S, Call
from .fleet import (
    CONFIGURATION_LIMIT_S,
    EVACUATED,
    REVOCATION_LIMIT_S,
    SETTLED_AFTER_FAULT_S,
    Disturbance,
    SoakFleet,
    data_centre,
    must_be_informed,
)
from .plan import PLANNED, FaultKind

NOT_RUN = (408, 421, 429, 503)
# The callers and all processes share one machine.
SCHEDULING_MARGIN_S = 1.0
# Maximum number of runners that may run one attempt of a caller, as the routes configure.
MAX_RUNS = 2
# Minimum fraction of successful requests in the last seconds of a run, long after the last fault.
MIN_SERVED_FRACTION = 0.97
TAIL_S = 4.0
STREAM_BODY = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENT_COUNT + 1))


class InvariantChecker:
    """Finds violations of the invariants in the records of a run.

    Each violation starts with the name of the invariant:

    - MIXED: a successful response isn't that of a run of its request, or it is incomplete.
    - TWICE: a request that may run once ran more than once.
    - BUDGET: a request ran more often than the routes allow.
    - REFUSED: a request ran although its caller was told that it didn't.
    - TIME: a request ended after its deadline, or not at all.
    - LOST: a request got no response, although no fault interfered.
    - DENIED: a valid key was rejected, or refused because of old data.
    - CONFIG: a change of the configuration wasn't in force in time.
    - STOP: a planned stop of an instance failed.
    - START: an instance ended while it was starting.
    - UNASKED: a runner ran a request that no caller sent in this form.
    - DRAIN: a draining runner got a new request.
    - EVAC: a runner of an evacuated data centre got a new request.
    - LOG: an instance logged an internal failure.
    - RECOVER: too few requests succeeded at the end of the run, or at instances that reached no upstream.
    - LEAK: a runner has reserved memory or running requests at the end of the run.
    """

    def __init__(self, fleet: SoakFleet, calls: list[Call], ended_s: float) -> None:
        self.fleet, self.calls, self.ended_s = fleet, calls, ended_s
        self.by_id = {call.attempt_id: call for call in calls}
        self.runs: dict[str, list[tuple[str, dict]]] = defaultdict(list)
        for name, run in fleet.runs():
            self.runs[run["headers"].get("attempt-id", "")].append((name, run))

    def find_violations(self) -> list[str]:
        """Return all violations."""
        found = [violation for call in self.calls for violation in self._check_call(call)]
        found += self._check_runs()
        found += [f"CONFIG: {late}" for late in self.fleet.changes.late_routes]
        found += [f"STOP: {stop}" for stop in self.fleet.changes.bad_stops]
        found += [f"START: {start}" for start in self.fleet.changes.bad_starts]
        found += self._check_logs()
        found += self.find_recovery_faults()
        found += self._check_recovery()
        return found

    # Single requests

    def _check_call(self, call: Call) -> Iterable[str]:
        runs = self.runs.get(call.attempt_id, [])
        label = f"{call.attempt_id} ({call.route}, instance {call.instance}, {call.outcome})"
        if call.is_success:
            yield from (f"MIXED: {label}: {why}" for why in self._find_answer_errors(call, runs))
        if call.route == "once" and len(runs) > 1:
            yield f"TWICE: {label} ran at {[name for name, _ in runs]}"
        if len(runs) > MAX_RUNS:
            yield f"BUDGET: {label} ran {len(runs)} times"
        if call.outcome in NOT_RUN and runs:
            yield f"REFUSED: {label} ran at {[name for name, _ in runs]}"
        if self._is_undisturbed(call):
            yield from self._check_undisturbed_call(call, label, runs)
        if self._is_informed(call):
            yield from self._check_informed_call(call, label)

    def _find_answer_errors(self, call: Call, runs: list[tuple[str, dict]]) -> Iterable[str]:
        stamp = call.headers.get("server-stamp", "")
        expected = STREAM_BODY if call.route == "stream" else f"answer of {stamp}".encode()
        if not stamp or stamp not in [name for name, _ in runs]:
            yield f"the receipt {stamp!r} is of no run"
        if call.headers.get("attempt-id") != call.attempt_id:
            yield f"the answer is that of {call.headers.get('attempt-id')}"
        if call.body != expected:
            yield f"the body is {call.body[:200]!r}"

    def _check_undisturbed_call(
        self, call: Call, label: str, runs: list[tuple[str, dict]]
    ) -> Iterable[str]:
        """Check the invariants that hold only for undisturbed instances."""
        duration_s = call.ended_s - call.sent_s
        if call.outcome == "no answer" or duration_s > TIME_LIMIT_S + SCHEDULING_MARGIN_S:
            yield f"TIME: {label} ended after {duration_s:.1f} s"
        is_cut = isinstance(call.outcome, str) and call.outcome.startswith("closed")
        # If a request is sent while the instance closes a persistent connection, and no runner ran
        # it, then a client sends it again.
        if is_cut and self._is_without_faults(call) and (runs or not call.is_connection_reused):
            yield f"LOST: {label} got no answer; runs: {[name for name, _ in runs]}"
        if call.outcome == 401 and call.key not in self.fleet.changes.revoked:
            yield f"DENIED: {label}"

    def _check_informed_call(self, call: Call, label: str) -> Iterable[str]:
        """Check the invariants that also hold for instances that the store turns away."""
        revoked_s = self.fleet.changes.revoked.get(call.key)
        is_revoked = (
            revoked_s is not None
            and call.sent_s > revoked_s + CONFIGURATION_LIMIT_S + SCHEDULING_MARGIN_S
        )
        if is_revoked and call.outcome == 200:
            yield f"CONFIG: {label} was served {call.sent_s - (revoked_s or 0):.1f} s after revocation"
        if call.outcome == 503 and CODE_OUTDATED.encode() in call.body:
            yield f"DENIED: {label} was refused because of old data"

    def _is_informed(self, call: Call) -> bool:
        return must_be_informed(
            self.fleet.disturbances,
            call.instance,
            len(self.fleet.instances),
            call.sent_s - SETTLED_AFTER_FAULT_S,
            call.ended_s,
        )

    def _is_undisturbed(self, call: Call) -> bool:
        subjects = (f"instance {call.instance}", "store")
        return not any(
            item.subject in subjects and item.kind not in PLANNED and self._overlaps(item, call)
            for item in self.fleet.disturbances
        )

    def _is_without_faults(self, call: Call) -> bool:
        return not any(
            item.kind not in PLANNED and self._overlaps(item, call)
            for item in self.fleet.disturbances
        )

    @staticmethod
    def _overlaps(item: Disturbance, call: Call) -> bool:
        return item.overlaps(call.sent_s - SETTLED_AFTER_FAULT_S, call.ended_s)

    # Runs

    def _check_runs(self) -> Iterable[str]:
        released = {runner.name: runner.draining_s for runner in self.fleet.retired}
        for attempt_id, runs in self.runs.items():
            call = self.by_id.get(attempt_id)
            for name, run in runs:
                if run["path"].startswith("/added-"):
                    continue  # Sent by the test itself, not by a caller.
                if call is None:
                    yield f"UNASKED: {name} ran {attempt_id!r}, which nobody sent"
                    continue
                headers = run["headers"]
                if run["path"] != call.path or run["body"] != call.attempt_id:
                    yield f"UNASKED: {name} ran {attempt_id} as {run['path']} {run['body']!r}"
                if headers.get("tenant") != "blue" or "key" in headers:
                    yield f"UNASKED: {name} ran {attempt_id} with {headers}"
                revoked_s = self.fleet.changes.revoked.get(call.key)
                if revoked_s is not None and call.sent_s > revoked_s + REVOCATION_LIMIT_S:
                    yield f"CONFIG: {name} ran {attempt_id} with a revoked key"
                delay_s = run["at_s"] - released.get(name, run["at_s"])
                is_late = delay_s > CONFIGURATION_LIMIT_S + SCHEDULING_MARGIN_S
                is_held_up = self._is_held_up(attempt_id, run["at_s"])
                if is_late and self._is_informed(call) and not is_held_up:
                    yield f"DRAIN: {name} ran {attempt_id} {delay_s:.1f} s after it began to drain"
                is_evacuated = self._is_evacuated(name, run["at_s"])
                if is_evacuated and self._is_informed(call) and not is_held_up:
                    yield f"EVAC: {name} ran {attempt_id} in an evacuated data centre"

    def _is_evacuated(self, runner_name: str, at_s: float) -> bool:
        return data_centre(runner_name) == EVACUATED and any(
            begin_s + CONFIGURATION_LIMIT_S + SCHEDULING_MARGIN_S < at_s < end_s
            for begin_s, end_s in self.fleet.changes.evacuations
        )

    def _is_held_up(self, attempt_id: str, at_s: float) -> bool:
        """Return whether the links of an instance that sent the request were cut before it ran."""
        begin_s = at_s - SETTLED_AFTER_FAULT_S
        senders = self.fleet.senders(attempt_id)
        return any(self.fleet.is_isolated(number, begin_s, at_s) for number in senders)

    # Entire run

    def find_recovery_faults(self) -> Iterable[str]:
        """Yield periods in which instances that reached no upstream served worse than the others."""
        cuts = [item for item in self.fleet.disturbances if item.kind is FaultKind.ISOLATION]
        spans = [(cut.begin_s + SETTLED_AFTER_FAULT_S, cut.end_s) for cut in cuts]
        for begin_s, end_s in merge_spans(spans):
            calls = [c for c in self.calls if begin_s <= c.sent_s < end_s and self._is_in_touch(c)]
            there, others = [], []
            for call in calls:
                subject = f"upstreams of instance {call.instance}"
                own = [item for item in cuts if item.subject == subject]
                if any(i.begin_s + SETTLED_AFTER_FAULT_S <= call.sent_s < i.end_s for i in own):
                    there.append(call)
                elif not any(self._overlaps(item, call) for item in own):
                    others.append(call)
            if is_served_worse(
                [call.is_success for call in there], [call.is_success for call in others]
            ):
                yield (
                    f"RECOVER: {sum(c.is_success for c in there)} of {len(there)} served at instances"
                    f" without upstreams, {sum(c.is_success for c in others)} of {len(others)}"
                    f" elsewhere: {dict(Counter(str(c.outcome) for c in there))}"
                )

    def _is_in_touch(self, call: Call) -> bool:
        """Return whether the instance ran, with the store, from some time before the call on."""
        if call.key in self.fleet.changes.revoked:
            return False
        subjects = (f"instance {call.instance}", "store")
        return not any(
            item.subject in subjects and self._overlaps(item, call)
            for item in self.fleet.disturbances
        )

    def _check_logs(self) -> Iterable[str]:
        for number, instance in enumerate(self.fleet.instances):
            for event in ("handler_failed", "daemon_failed"):
                for line in instance.events(event):
                    yield f"LOG: instance {number}: {line}"

    def _check_recovery(self) -> Iterable[str]:
        last_calls = [
            call for call in self.calls if call.sent_s > self.ended_s - TAIL_S - TIME_LIMIT_S
        ]
        entitled = [call for call in last_calls if call.key not in self.fleet.changes.revoked]
        served = sum(call.is_success for call in entitled)
        if not entitled or served < MIN_SERVED_FRACTION * len(entitled):
            outcomes = Counter(str(call.outcome) for call in entitled)
            yield f"RECOVER: {served} of {len(entitled)} served at the end: {dict(outcomes)}"
        for runner in self.fleet.runners:
            state = runner.process.state()
            if state["reserved"] or state["working"]:
                left = f"{state['reserved']} reserved, {state['working']} at work"
                yield f"LEAK: {runner.name}: {left}"


def merge_spans(spans: Iterable[tuple[float, float]]) -> list[tuple[float, float]]:
    """Return spans without overlaps that cover the same time; empty ones are left out.

    >>> merge_spans([(5.0, 7.0), (1.0, 3.0), (2.0, 4.0), (9.0, 8.0)])
    [(1.0, 4.0), (5.0, 7.0)]
    """
    merged: list[tuple[float, float]] = []
    for begin_s, end_s in sorted(span for span in spans if span[0] < span[1]):
        if merged and begin_s <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end_s, merged[-1][1]))
        else:
            merged.append((begin_s, end_s))
    return merged


def count_by_invariant(violations: Iterable[str]) -> Counter[str]:
    """Count violations by invariant."""
    return Counter(violation.split(":")[0] for violation in violations)
