"""Configuration of the fleet, folded from the `config` stream of the platform's log."""

from .applying import (
    Application,
    Applied,
    Conflict,
    Outcome,
    Phase,
    Refused,
    Unavailable,
    Undetermined,
    check_change,
    check_layers,
)
from .base import (
    NO_REVISION,
    RECENT_CHANGES,
    Change,
    ConfigState,
    LastChange,
    LogRecord,
    SeenChange,
    is_layer,
)
from .exceptions import ConfigurationError, RecordError
from .fold import Status, Verdict, fold
from .reader import ConfigReader
from .restarting import INQUIRY_WAIT_MS, HasState, Restarting
from .restarts import Restart, inquiry_id
from .snapshots import snapshot_due_ms
from .starting import PEER_TIMEOUT_MS, PeerStart

__all__ = [
    "INQUIRY_WAIT_MS",
    "NO_REVISION",
    "PEER_TIMEOUT_MS",
    "RECENT_CHANGES",
    "Application",
    "Applied",
    "Change",
    "ConfigReader",
    "ConfigState",
    "ConfigurationError",
    "Conflict",
    "HasState",
    "LastChange",
    "LogRecord",
    "Outcome",
    "PeerStart",
    "Phase",
    "RecordError",
    "Refused",
    "Restart",
    "Restarting",
    "SeenChange",
    "Status",
    "Unavailable",
    "Undetermined",
    "Verdict",
    "check_change",
    "check_layers",
    "fold",
    "inquiry_id",
    "is_layer",
    "snapshot_due_ms",
]
