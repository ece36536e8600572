"""Admission of delegated requests at the instance that is asked to serve them."""

from enum import StrEnum

from ..runstate import RunState


class DelegateVerdict(StrEnum):
    """Whether an instance takes a delegated request, or why it refuses it as not run."""

    ACCEPTED = "accepted"
    DRAINING = "draining"
    ISOLATED = "isolated"  # It reaches no upstream itself.
    OUTDATED = "outdated"  # Its configuration is older than the sender's.
    NO_TIME = "no_time"

    @property
    def is_accepted(self) -> bool:
        """Return whether the request is taken."""
        return self is DelegateVerdict.ACCEPTED

    @property
    def run_state(self) -> RunState | None:
        """Return the run state that a refusal states; None if the request is taken."""
        return None if self.is_accepted else RunState.NOT_RUN

    @property
    def may_ask_another(self) -> bool:
        """Return whether another instance may take the request."""
        return not self.is_accepted and self is not DelegateVerdict.NO_TIME

    @property
    def takes_requests(self) -> bool:
        """Return whether other requests may be accepted soon."""
        return self not in (DelegateVerdict.DRAINING, DelegateVerdict.ISOLATED)


class DelegateAdmission:
    """Decide whether this instance takes a delegated request.

    >>> admission = DelegateAdmission()
    >>> admission.admit(sender_version=7, time_left_ms=500)
    <DelegateVerdict.OUTDATED: 'outdated'>
    >>> admission.replace_version(7)
    >>> admission.admit(sender_version=7, time_left_ms=500)
    <DelegateVerdict.ACCEPTED: 'accepted'>
    """

    def __init__(self) -> None:
        self.is_isolated = False
        self.is_draining = False
        self._version: int | None = None

    def replace_version(self, version: int | None) -> None:
        """Replace the version of the own configuration; None if there is none."""
        self._version = version

    def admit(self, sender_version: int | None, time_left_ms: int) -> DelegateVerdict:
        """Return the verdict for a request of a sender with a version of the configuration.

        None is the version of a sender without a configuration, which has checked neither the key nor
        the route; both are checked here.
        """
        if self.is_draining:
            return DelegateVerdict.DRAINING
        if self.is_isolated:
            return DelegateVerdict.ISOLATED
        if time_left_ms <= 0:
            return DelegateVerdict.NO_TIME
        if self._version is None or (sender_version is not None and self._version < sender_version):
            return DelegateVerdict.OUTDATED
        return DelegateVerdict.ACCEPTED
