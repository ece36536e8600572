"""State machine that submits one configuration change of an operator."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from ..checks import CheckMessage, Severity
from ..settings import check_fleet
from .base import NO_REVISION, Change, ConfigState, Document, LastChange
from .fold import FoldResult, Status


@dataclass(frozen=True)
class Applied:
    """The change was accepted; its revision is the offset of its record."""

    revision: int
    warnings: tuple[CheckMessage, ...] = ()


@dataclass(frozen=True)
class ChangeRejected:
    """The change failed validation; nothing was appended."""

    messages: tuple[CheckMessage, ...]


@dataclass(frozen=True)
class Conflict:
    """Another change to the same revision was accepted first."""

    expected_revision: int
    revision: int
    winner: LastChange | None


@dataclass(frozen=True)
class Unavailable:
    """The log was unavailable; the change was not appended."""

    text: str


@dataclass(frozen=True)
class Undetermined:
    """The response to the append was lost and the change id did not appear before the deadline."""

    change_id: str


Outcome = Applied | ChangeRejected | Conflict | Unavailable | Undetermined


class Phase(StrEnum):
    """Progress of a submission."""

    CHECKING = "checking"  # Waits until the local state has reached the expected revision.
    APPENDING = "appending"
    RESOLVING = "resolving"  # Appended, or the response was lost; the fold decides.
    DONE = "done"


class ChangeSubmission:
    """Submit one change: validate it, append it once and wait for the result of the fold.

    The caller calls `next_append` after each event and appends the returned record. `outcome` is
    set once the submission has finished.
    """

    def __init__(self, change: Change, deadline_ms: int) -> None:
        self.change = change
        self.deadline_ms = deadline_ms
        self.phase = Phase.CHECKING
        self.outcome: Outcome | None = None
        self._warnings: tuple[CheckMessage, ...] = ()

    def next_append(self, state: ConfigState | None, is_current: bool) -> dict | None:
        """Validate the change against a current state; return the record to append if it is valid."""
        if self.phase is not Phase.CHECKING or state is None or not is_current:
            return None
        processed = state.find_processed(self.change.change_id)
        if processed:
            self._resolve_processed(state, processed.accepted, processed.offset, processed.digest)
        elif self.change.expected_revision < state.revision:
            self._finish(Conflict(self.change.expected_revision, state.revision, state.last_change))
        elif self.change.expected_revision == state.revision:
            messages = check_change(state, self.change)
            errors = tuple(m for m in messages if m.severity is Severity.ERROR)
            if errors:
                self._finish(ChangeRejected(errors))
            else:
                self._warnings = tuple(messages)
                self.phase = Phase.APPENDING
                return self.change.to_record()
        return None

    def append_failed(self, sent: bool, text: str) -> None:
        """Record a failed append; `sent` is true if it may have taken effect."""
        if self.phase is Phase.APPENDING:
            if sent:
                self.phase = Phase.RESOLVING
            else:
                self._finish(Unavailable(text))

    def appended(self) -> None:
        """Record a successful append; the fold decides whether the change is accepted."""
        if self.phase is Phase.APPENDING:
            self.phase = Phase.RESOLVING

    def add_results(self, results: list[FoldResult]) -> None:
        """Finish the submission at the first result that has its change id."""
        for result in results:
            change = result.change
            if change is None or change.change_id != self.change.change_id:
                continue
            if self.phase not in (Phase.APPENDING, Phase.RESOLVING):
                continue
            if result.status is Status.ACCEPTED:
                self._finish(Applied(result.offset, self._warnings))
            elif result.status is Status.CONFLICT:
                self._finish(Conflict(change.expected_revision, result.revision, result.winner))

    def state_replaced(self, state: ConfigState) -> None:
        """Look up the change id in a state that was adopted from a peer or a snapshot."""
        processed = state.find_processed(self.change.change_id)
        if processed and self.phase in (Phase.APPENDING, Phase.RESOLVING):
            self._resolve_processed(state, processed.accepted, processed.offset, processed.digest)

    def tick(self, now_ms: int) -> None:
        """Finish the submission once its deadline has passed."""
        if self.phase is Phase.DONE or now_ms < self.deadline_ms:
            return
        if self.phase is Phase.CHECKING:
            self._finish(Unavailable("The instance has not read the expected revision yet."))
        else:
            self._finish(Undetermined(self.change.change_id))

    def _resolve_processed(
        self, state: ConfigState, accepted: bool, offset: int, digest: str
    ) -> None:
        if digest != self.change.digest():
            self._finish(ChangeRejected((_id_in_use(self.change.change_id),)))
        elif accepted:
            self._finish(Applied(offset, self._warnings))
        else:
            self._finish(Conflict(self.change.expected_revision, state.revision, state.last_change))

    def _finish(self, outcome: Outcome) -> None:
        self.phase = Phase.DONE
        self.outcome = outcome


def check_change(state: ConfigState, change: Change) -> list[CheckMessage]:
    """Validate the configuration of every site as it would be after the change."""
    messages: list[CheckMessage] = []
    if state.revision == NO_REVISION and change.layer != "base":
        # Instances use their base file until the first change is accepted. An overlay on its own
        # would replace that base with an empty document.
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
    """Validate the configuration of every site and return the check messages."""
    messages: list[CheckMessage] = []
    base = layers.get("base", {})
    overlays = [name for name in layers if name != "base"]
    for name in overlays or [""]:
        _, found = check_fleet({"base": base, **({name: layers[name]} if name else {})})
        messages += [message for message in found if message not in messages]
    if overlays:  # Sites without an overlay use only the base.
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
