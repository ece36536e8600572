"""State machine that applies one operator's change."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from ..checks import CheckMessage, Severity
from ..settings import check_fleet
from .base import NO_REVISION, Change, ConfigState, Document, LastChange
from .fold import FoldResult, Status


@dataclass(frozen=True)
class Applied:
    """The change is accepted; its revision is its offset."""

    revision: int
    warnings: tuple[CheckMessage, ...] = ()


@dataclass(frozen=True)
class ChangeRejected:
    """The checks found mistakes; nothing was appended."""

    messages: tuple[CheckMessage, ...]


@dataclass(frozen=True)
class Conflict:
    """Another change was accepted first."""

    expected_revision: int
    revision: int
    winner: LastChange | None


@dataclass(frozen=True)
class Unavailable:
    """The log is not available; the change was not appended."""

    text: str


@dataclass(frozen=True)
class Undetermined:
    """The append's answer is lost and the change id was not found before the deadline."""

    change_id: str


Outcome = Applied | ChangeRejected | Conflict | Unavailable | Undetermined


class Phase(StrEnum):
    """Where an application stands."""

    CHECKING = "checking"  # Waits until the own state has reached the expected revision.
    APPENDING = "appending"
    RESOLVING = "resolving"  # Appended or answer lost; the fold decides.
    DONE = "done"


class ChangeSubmission:
    """Apply one change: check, append once, and wait for the fold's verdict.

    The caller asks `next_append` after each event and appends the returned record. `outcome` is set
    when the application has ended.
    """

    def __init__(self, change: Change, deadline_ms: int) -> None:
        self.change = change
        self.deadline_ms = deadline_ms
        self.phase = Phase.CHECKING
        self.outcome: Outcome | None = None
        self._warnings: tuple[CheckMessage, ...] = ()

    def next_append(self, state: ConfigState | None, current: bool) -> dict | None:
        """Run the checks on the state; return the record to append when they pass."""
        if self.phase is not Phase.CHECKING or state is None or not current:
            return None
        seen = state.find_processed(self.change.change_id)
        if seen:
            self._resolve_seen(state, seen.accepted, seen.offset, seen.digest)
        elif self.change.expected_revision < state.revision:
            self._end(Conflict(self.change.expected_revision, state.revision, state.last_change))
        elif self.change.expected_revision == state.revision:
            messages = check_change(state, self.change)
            errors = tuple(m for m in messages if m.severity is Severity.ERROR)
            if errors:
                self._end(ChangeRejected(errors))
            else:
                self._warnings = tuple(messages)
                self.phase = Phase.APPENDING
                return self.change.to_record()
        return None

    def append_failed(self, sent: bool, text: str) -> None:
        """Record an append that failed; `sent` tells whether it may have taken effect."""
        if self.phase is Phase.APPENDING:
            if sent:
                self.phase = Phase.RESOLVING
            else:
                self._end(Unavailable(text))

    def appended(self) -> None:
        """Record the append's answer; the fold decides about the change."""
        if self.phase is Phase.APPENDING:
            self.phase = Phase.RESOLVING

    def add_results(self, verdicts: list[FoldResult]) -> None:
        """Look for the own change id; its first occurrence decides."""
        for verdict in verdicts:
            change = verdict.change
            if change is None or change.change_id != self.change.change_id:
                continue
            if self.phase not in (Phase.APPENDING, Phase.RESOLVING):
                continue
            if verdict.status is Status.ACCEPTED:
                self._end(Applied(verdict.offset, self._warnings))
            elif verdict.status is Status.CONFLICT:
                self._end(Conflict(change.expected_revision, verdict.revision, verdict.winner))

    def state_replaced(self, state: ConfigState) -> None:
        """Look for the own change id in a state that was taken from a peer or a snapshot."""
        seen = state.find_processed(self.change.change_id)
        if seen and self.phase in (Phase.APPENDING, Phase.RESOLVING):
            self._resolve_seen(state, seen.accepted, seen.offset, seen.digest)

    def tick(self, now_ms: int) -> None:
        """End the application at its deadline."""
        if self.phase is Phase.DONE or now_ms < self.deadline_ms:
            return
        if self.phase is Phase.CHECKING:
            self._end(Unavailable("The instance has not read the expected revision yet."))
        else:
            self._end(Undetermined(self.change.change_id))

    def _resolve_seen(self, state: ConfigState, accepted: bool, offset: int, digest: str) -> None:
        if digest != self.change.digest():
            self._end(ChangeRejected((_id_in_use(self.change.change_id),)))
        elif accepted:
            self._end(Applied(offset, self._warnings))
        else:
            self._end(Conflict(self.change.expected_revision, state.revision, state.last_change))

    def _end(self, outcome: Outcome) -> None:
        self.phase = Phase.DONE
        self.outcome = outcome


def check_change(state: ConfigState, change: Change) -> list[CheckMessage]:
    """Return the check messages of the configuration of every site after the change."""
    messages: list[CheckMessage] = []
    if state.revision == NO_REVISION and change.layer != "base":
        # Instances use their base file until the first accepted change. An overlay alone would
        # replace that base by an empty one.
        messages.append(
            CheckMessage(
                "configuration.E001",
                Severity.ERROR,
                f"The first change is for the layer '{change.layer}'.",
                "Apply a change of the layer 'base' first.",
                change.layer,
            )
        )
    return messages + check_layers({**state.layers, change.layer: change.document})


def check_layers(layers: Mapping[str, Document]) -> list[CheckMessage]:
    """Return the check messages of the configuration of every site."""
    messages: list[CheckMessage] = []
    base = layers.get("base", {})
    overlays = [name for name in layers if name != "base"]
    for name in overlays or [""]:
        _, found = check_fleet({"base": base, **({name: layers[name]} if name else {})})
        messages += [message for message in found if message not in messages]
    if overlays:  # Sites without an overlay use the base alone.
        _, found = check_fleet({"base": base})
        messages += [message for message in found if message not in messages]
    return messages


def _id_in_use(change_id: str) -> CheckMessage:
    return CheckMessage(
        "configuration.E002",
        Severity.ERROR,
        f"The change id '{change_id}' belongs to another change.",
        "Use a new change id for each change.",
        path="$.change_id",
    )
