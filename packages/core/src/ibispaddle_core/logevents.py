"""Numbered log events.

The reference for operators is `docs/ref/log-events.md`, generated from this module; a test compares the
two. Numbers are never reused for another event.
"""

from dataclasses import dataclass
from enum import StrEnum


class Level(StrEnum):
    """Severity of a log event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class LogEvent:
    """One type of log record."""

    number: int
    name: str
    level: Level
    text: str


INSTANCE_STARTED = LogEvent(
    1000, "instance_started", Level.INFO, "The instance is listening for connections."
)
INSTANCE_READY = LogEvent(1001, "instance_ready", Level.INFO, "The instance accepts requests.")
INSTANCE_DRAINING = LogEvent(
    1002, "instance_draining", Level.INFO, "Draining has started; no new work is accepted."
)
INSTANCE_STOPPED = LogEvent(1003, "instance_stopped", Level.INFO, "The instance stopped.")
DRAIN_TIMEOUT = LogEvent(
    1004, "drain_timeout", Level.ERROR, "The drain timeout expired with requests still in flight."
)
SETTINGS_REJECTED = LogEvent(
    1005, "settings_rejected", Level.ERROR, "The settings are invalid and were not applied."
)
PORT_REPLACED = LogEvent(
    1012, "port_replaced", Level.WARNING, "A port is taken; a spare one is used, or none."
)
START_FAILED = LogEvent(1006, "start_failed", Level.ERROR, "The instance failed to start.")
HANDLER_FAILED = LogEvent(
    1007,
    "handler_failed",
    Level.ERROR,
    "An event handler raised an exception; the daemon continues.",
)
DAEMON_FAILED = LogEvent(1008, "daemon_failed", Level.ERROR, "The daemon failed and is exiting.")
INSTANCE_UNREADY = LogEvent(
    1009,
    "instance_unready",
    Level.WARNING,
    "The instance reports that it is not ready for new callers.",
)
INSTANCE_PAUSED = LogEvent(
    1010,
    "instance_paused",
    Level.WARNING,
    "The process was suspended or starved of CPU; it reads list and log again before it accepts requests.",
)
SETTINGS_RELOADED = LogEvent(
    1011,
    "settings_reloaded",
    Level.INFO,
    "The settings were reloaded; the fields in `in_force` take effect now, others after a restart.",
)
REQUEST_ENDED = LogEvent(2000, "request_ended", Level.INFO, "A request ended.")
REQUEST_REFUSED = LogEvent(2001, "request_refused", Level.WARNING, "A request was refused.")
ATTEMPT_FAILED = LogEvent(
    2002, "attempt_failed", Level.WARNING, "An attempt on an upstream failed."
)
REQUEST_FORWARDED = LogEvent(
    2010, "request_forwarded", Level.INFO, "A request was sent to an upstream."
)
FORWARDING_ENDED = LogEvent(2011, "forwarding_ended", Level.INFO, "A forwarded request ended.")
PART_QUARANTINED = LogEvent(
    2020,
    "part_quarantined",
    Level.ERROR,
    "Requests with a part that crashed upstreams are refused from now on.",
)
PART_RELEASED = LogEvent(
    2021, "part_released", Level.INFO, "Requests with a part are no longer refused."
)
PART_CLEARED = LogEvent(
    2022,
    "part_cleared",
    Level.INFO,
    "An upstream responded to a request with a part that was suspected of crashes.",
)
RESERVATION_REFUSED = LogEvent(
    2030,
    "reservation_refused",
    Level.INFO,
    "A runner has no room for a part of a prompt now; the prompt chooses other runners after a pause.",
)
RESERVATION_INVALID = LogEvent(
    2031,
    "reservation_invalid",
    Level.ERROR,
    "A runner can never grant the reservation; it is not repeated there for this prompt.",
)
RESERVATION_MISDIRECTED = LogEvent(
    2032,
    "reservation_misdirected",
    Level.WARNING,
    "Another runner answers at the address to which a reservation was sent.",
)
RESERVATION_UNANSWERED = LogEvent(
    2033,
    "reservation_unanswered",
    Level.WARNING,
    "A runner gave no valid answer to a reservation; the memory is freed there in case it was set aside.",
)
RESERVATION_NOT_SENT = LogEvent(
    2034,
    "reservation_not_sent",
    Level.WARNING,
    "A reservation was not sent because the instance has no free connection.",
)
HEDGE_STARTED = LogEvent(
    2040,
    "hedge_started",
    Level.INFO,
    "A second attempt of a request was started beside the first one, which is late.",
)
HEDGE_WON = LogEvent(
    2041, "hedge_won", Level.INFO, "A second attempt had the first output; the first was cancelled."
)
HEDGE_LOST = LogEvent(
    2042,
    "hedge_lost",
    Level.INFO,
    "A first attempt had the first output; the second was cancelled.",
)
HEDGE_DECLINED = LogEvent(
    2043,
    "hedge_declined",
    Level.INFO,
    "A request with a late attempt got no second one because of the limit in `limit`.",
)
CALLER_GIVEN_UP = LogEvent(
    2050,
    "caller_given_up",
    Level.WARNING,
    "A caller that did not read its response was disconnected.",
)
RESPONSE_CUT_WHILE_PAUSED = LogEvent(
    2051,
    "response_cut_while_paused",
    Level.INFO,
    "An upstream cut off a response that its caller read too slowly; this is no fault of the upstream.",
)
REQUEST_GIVEN_UP = LogEvent(
    2052,
    "request_given_up",
    Level.WARNING,
    "A caller that had stopped sending its request was refused to make room for others.",
)
REQUEST_NOT_TAKEN = LogEvent(
    2053,
    "request_not_taken",
    Level.WARNING,
    "A request was refused because the instance holds too many requests.",
)
UPSTREAM_CRASHED = LogEvent(
    3005,
    "upstream_crashed",
    Level.WARNING,
    "An upstream ended while it was handling a request; the request's parts are suspects.",
)
UPSTREAM_DOWN = LogEvent(3000, "upstream_down", Level.WARNING, "An upstream stopped responding.")
UPSTREAM_LEAVING = LogEvent(
    3001,
    "upstream_leaving",
    Level.INFO,
    "An upstream is leaving or drained and receives no new requests.",
)
EVACUATION_STARTED = LogEvent(
    3020,
    "evacuation_started",
    Level.WARNING,
    "A data centre is evacuated; its upstreams receive no new requests.",
)
EVACUATION_ENDED = LogEvent(
    3021,
    "evacuation_ended",
    Level.WARNING,
    "The evacuation of a data centre has ended; its upstreams receive new requests.",
)
EVACUATION_DRAINED = LogEvent(
    3022,
    "evacuation_drained",
    Level.INFO,
    "No request of this instance is left at the upstreams of an evacuated data centre.",
)
EVACUATION_UNREADABLE = LogEvent(
    3023,
    "evacuation_unreadable",
    Level.ERROR,
    "The record of an evacuation cannot be read; the data centre in its key is evacuated.",
)
EVACUATION_UNKNOWN = LogEvent(
    3024,
    "evacuation_unknown",
    Level.WARNING,
    "An evacuated data centre has no listed upstream; its name may be misspelt.",
)
UPSTREAMS_COLD = LogEvent(
    3030,
    "upstreams_cold",
    Level.INFO,
    "Upstreams have started or become cold and get fewer requests for a time.",
)
UPSTREAMS_WARM = LogEvent(
    3031, "upstreams_warm", Level.INFO, "Upstreams that were cold are warm again."
)
UPSTREAMS_UNREACHABLE = LogEvent(
    3050,
    "upstreams_unreachable",
    Level.ERROR,
    "This instance reaches no upstream; its requests are delegated to other instances.",
)
UPSTREAMS_REACHED = LogEvent(
    3051, "upstreams_reached", Level.WARNING, "This instance reaches upstreams again."
)
REQUEST_DELEGATED = LogEvent(
    3057,
    "request_delegated",
    Level.INFO,
    "A request was sent to an instance that reaches upstreams.",
)
HOP_FAILED = LogEvent(
    3058,
    "hop_failed",
    Level.WARNING,
    "An instance refused a delegated request, or its response was lost.",
)
DELEGATION_REFUSED = LogEvent(
    3059,
    "delegation_refused",
    Level.INFO,
    "A request that another instance delegated to this one was refused as not run.",
)
LIST_UNAVAILABLE = LogEvent(
    3002, "list_unavailable", Level.WARNING, "The instance list cannot be read."
)
LOAD_UNREADABLE = LogEvent(
    3003, "load_unreadable", Level.WARNING, "The load report of a runner cannot be read."
)
ORDER_NOT_ACCEPTED = LogEvent(
    3004,
    "order_not_accepted",
    Level.WARNING,
    "A runner did not accept an order; it will be retried.",
)
UPSTREAM_ADDED = LogEvent(
    3010, "upstream_added", Level.INFO, "An upstream was added and may be used."
)
UPSTREAM_REMOVED = LogEvent(
    3011,
    "upstream_removed",
    Level.INFO,
    "An upstream is no longer listed and receives no new requests.",
)
UPSTREAMS_LISTED = LogEvent(
    3013,
    "upstreams_listed",
    Level.INFO,
    "More upstreams were listed or removed at once than are logged individually.",
)
ENTRY_UNREADABLE = LogEvent(
    3012,
    "entry_unreadable",
    Level.WARNING,
    "An entry of the store cannot be decoded and is ignored.",
)
STORE_UNAVAILABLE = LogEvent(
    4010, "store_unavailable", Level.WARNING, "A topic of the store cannot be read."
)
STORE_AVAILABLE = LogEvent(
    4011, "store_available", Level.INFO, "A topic of the store can be read again."
)
RELAY_CHANGED = LogEvent(
    4012,
    "relay_changed",
    Level.INFO,
    "The store is now read through a different instance, or directly.",
)
RELAY_FAILED = LogEvent(
    4013, "relay_failed", Level.WARNING, "An instance failed to relay data from the store."
)
TOPIC_BEHIND = LogEvent(
    4014,
    "topic_behind",
    Level.INFO,
    "An answer of the store ends before the end of the topic that it names.",
)
TOPIC_CAUGHT_UP = LogEvent(
    4015, "topic_caught_up", Level.INFO, "A topic that was behind has been read up to its end."
)
STORE_READ_FAILED = LogEvent(
    4016,
    "store_read_failed",
    Level.INFO,
    "A read of a topic failed after one that succeeded, and is repeated.",
)
STORE_CUT_OFF = LogEvent(
    4017,
    "store_cut_off",
    Level.WARNING,
    "The store is unavailable or behind, and no hub has recent data; other instances are queried.",
)
SUBSTITUTE_FOUND = LogEvent(
    4018,
    "substitute_found",
    Level.INFO,
    "An instance that is no hub has recent data from the store.",
)
STORE_RESTORED = LogEvent(
    4019,
    "store_restored",
    Level.WARNING,
    "The store was restored from a copy, or names its era differently; its offsets start anew.",
)
LOG_UNAVAILABLE = LogEvent(
    4000, "log_unavailable", Level.WARNING, "The platform's log cannot be read or appended to."
)
LOG_AVAILABLE = LogEvent(
    4001, "log_available", Level.INFO, "The platform's log is available again."
)
RECORD_UNREADABLE = LogEvent(
    4002,
    "record_unreadable",
    Level.WARNING,
    "A record of the log cannot be decoded and is ignored.",
)
CONFIG_IN_FORCE = LogEvent(
    5000, "config_in_force", Level.INFO, "A configuration revision is in force."
)
CONFIG_UNUSABLE = LogEvent(
    5001, "config_unusable", Level.ERROR, "An accepted configuration cannot be applied."
)
CONFIG_STATE_INVALID = LogEvent(
    5002,
    "config_state_invalid",
    Level.WARNING,
    "The configuration sent by another instance cannot be decoded and is ignored.",
)
CONFIG_UNREADABLE = LogEvent(
    5003, "config_unreadable", Level.ERROR, "A record of the configuration cannot be decoded."
)
CONFIG_WARNING = LogEvent(
    5004,
    "config_warning",
    Level.WARNING,
    "The configuration in force has parts that do not fit together.",
)
CONFIG_OLDER = LogEvent(
    5005,
    "config_older",
    Level.WARNING,
    "The store has an older version of the configuration than the one in force, which stays.",
)
INSTANCE_DELISTED = LogEvent(
    6012,
    "instance_delisted",
    Level.WARNING,
    "An unresponsive instance is removed from the list.",
)
HUB_CHANGED = LogEvent(
    6010, "hub_changed", Level.INFO, "A different hub is now queried for the work of the fleet."
)
HUB_SUSPECTED = LogEvent(
    6011, "hub_suspected", Level.WARNING, "A hub did not report the work of the fleet in time."
)
PEER_REFUSED = LogEvent(
    6000, "peer_refused", Level.WARNING, "A connection between instances was refused or failed."
)
PEER_CONNECTED = LogEvent(
    6002, "peer_connected", Level.INFO, "A connection to another instance was established."
)
PEER_LOST = LogEvent(
    6003, "peer_lost", Level.WARNING, "The last connection to another instance was closed."
)
SUSPICIONS_UNACKNOWLEDGED = LogEvent(
    6001,
    "suspicions_unacknowledged",
    Level.WARNING,
    "Instances did not acknowledge in time the list of requests that may crash upstreams.",
)


def all_events() -> list[LogEvent]:
    """Return all log events, sorted by number."""
    events = [value for value in globals().values() if isinstance(value, LogEvent)]
    return sorted(events, key=lambda event: event.number)
