"""Fleet configuration, derived by folding the `config` stream of the platform's log."""

from .applying import (
    Applied,
    ChangeRejected,
    ChangeSubmission,
    Conflict,
    Outcome,
    Phase,
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
    ProcessedChange,
    is_layer_name,
)
from .exceptions import ConfigurationError, RecordError
from .fold import FoldResult, Status, fold
from .reader import ConfigReader
from .restarting import INQUIRY_WAIT_MS, ConfigRestartProcedure, ConfigurationExists
from .restarts import ConfigRestart, inquiry_id
from .snapshots import snapshot_due_ms
from .starting import PEER_TIMEOUT_MS, PeerStateSelection

__all__ = [
    "INQUIRY_WAIT_MS",
    "NO_REVISION",
    "PEER_TIMEOUT_MS",
    "RECENT_CHANGES",
    "ChangeSubmission",
    "Applied",
    "Change",
    "ConfigReader",
    "ConfigState",
    "ConfigurationError",
    "Conflict",
    "ConfigurationExists",
    "LastChange",
    "LogRecord",
    "Outcome",
    "PeerStateSelection",
    "Phase",
    "RecordError",
    "ChangeRejected",
    "ConfigRestart",
    "ConfigRestartProcedure",
    "ProcessedChange",
    "Status",
    "Unavailable",
    "Undetermined",
    "FoldResult",
    "check_change",
    "check_layers",
    "fold",
    "inquiry_id",
    "is_layer_name",
    "snapshot_due_ms",
]
