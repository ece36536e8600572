"""What attempts and checks show about whether this instance reaches the upstreams."""

from typing import Protocol

from .calls import CallResult
from .events import CallFailure

# Delay of the own event loop from which a missing connection or response proves nothing: it may wait to be noticed.
MAX_LOOP_DELAY_MS = 60


class UpstreamContacts(Protocol):
    """Collects contacts and failures; one that is isolated finds nobody at any upstream."""

    def record_contact(self, upstream_id: str, opened_ms: int | None = None) -> None:
        """Record a byte of a response on a connection that was opened at `opened_ms`, or now."""

    def record_unreachable(
        self, upstream_id: str, reason: str, started_ms: int | None = None
    ) -> None:
        """Record that nobody was found at an upstream by a try that began at `started_ms`, or now."""

    def reaches_others(self, upstream_id: str, since_ms: int) -> bool:
        """Return whether an upstream other than this one was reached since a time."""

    def seek_contact(self) -> None:
        """Probe other upstreams soon."""


def record_call(
    contacts: UpstreamContacts, upstream_id: str, result: CallResult, sent_ms: int
) -> None:
    """Record what a call to an upstream's own interface shows, which was sent at `sent_ms`.

    A missing response shows nothing: the upstream may be busy.
    """
    error = result.error
    if error is None:
        contacts.record_contact(upstream_id, sent_ms)
    elif error.is_refused or error.failure is CallFailure.CLOSED:
        contacts.record_unreachable(upstream_id, error.text)


class UncheckedContacts:
    """Take the upstreams for reachable."""

    def record_contact(self, upstream_id: str, opened_ms: int | None = None) -> None:
        """Ignore a contact."""

    def record_unreachable(
        self, upstream_id: str, reason: str, started_ms: int | None = None
    ) -> None:
        """Ignore a failure."""

    def reaches_others(self, upstream_id: str, since_ms: int) -> bool:
        """Return true."""
        return True

    def seek_contact(self) -> None:
        """Do nothing."""
