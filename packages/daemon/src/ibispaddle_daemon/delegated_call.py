"""Headers of a delegated request and of its response, which only instances see."""

from dataclasses import dataclass

from ibispaddle_core.runstate import RunState

from .events import Headers

SENDER_HEADER = "Ibispaddle-Delegated-By"
VERSION_HEADER = "Ibispaddle-Config-Version"
RUNS_LEFT_HEADER = "Ibispaddle-Runs-Left"
# In the response: the upstream that sent it, or what the delegate answers itself.
UPSTREAM_HEADER = "Ibispaddle-Upstream"
RUN_STATE_HEADER = "Ibispaddle-Run-State"
ASK_ANOTHER_HEADER = "Ibispaddle-Ask-Another"
TAKES_REQUESTS_HEADER = "Ibispaddle-Takes-Requests"
_ALL = frozenset(
    name.lower()
    for name in (
        SENDER_HEADER,
        VERSION_HEADER,
        RUNS_LEFT_HEADER,
        UPSTREAM_HEADER,
        RUN_STATE_HEADER,
        ASK_ANOTHER_HEADER,
        TAKES_REQUESTS_HEADER,
    )
)
MAX_NUMBER_DIGITS = 15


@dataclass(frozen=True)
class DelegatedCall:
    """What the sender of a delegated request states about it.

    `config_version` is that of the sender's configuration, None if it has none. `runs_left` is the number
    of times that upstreams may still run the request.
    """

    sender_id: str
    config_version: int | None = None
    runs_left: int = 1


@dataclass(frozen=True)
class ResponseOrigin:
    """Who has made the response to a delegated request.

    If the delegate itself has, `run_state` is set; otherwise `upstream_id`. `takes_requests` is false if the
    delegate would refuse any other request as well.
    """

    upstream_id: str = ""
    run_state: RunState | None = None
    may_ask_another: bool = False
    takes_requests: bool = True


def call_headers(call: DelegatedCall) -> Headers:
    """Return the headers that a sender adds."""
    version = call.config_version
    return (
        (SENDER_HEADER, call.sender_id),
        *(((VERSION_HEADER, str(version)),) if version is not None else ()),
        (RUNS_LEFT_HEADER, str(call.runs_left)),
    )


def read_call(headers: Headers) -> DelegatedCall | None:
    """Return what the sender states, or None if the request does not come from an instance.

    >>> read_call((("Ibispaddle-Delegated-By", "b"), ("Ibispaddle-Config-Version", "7")))
    DelegatedCall(sender_id='b', config_version=7, runs_left=1)
    """
    values = {name.lower(): value.strip() for name, value in headers}
    sender_id = values.get(SENDER_HEADER.lower(), "")
    if not sender_id:
        return None
    version = _number(values.get(VERSION_HEADER.lower()))
    return DelegatedCall(sender_id, version, _number(values.get(RUNS_LEFT_HEADER.lower())) or 1)


def answer_headers(
    run_state: RunState, may_ask_another: bool, takes_requests: bool = True
) -> Headers:
    """Return the headers of a response that a delegate makes itself."""
    return (
        (RUN_STATE_HEADER, str(run_state)),
        (ASK_ANOTHER_HEADER, "1" if may_ask_another else "0"),
        (TAKES_REQUESTS_HEADER, "1" if takes_requests else "0"),
    )


def relayed_headers(headers: Headers, upstream_id: str) -> Headers:
    """Return the headers of an upstream's response for the sender."""
    return (*without_hop_headers(headers), (UPSTREAM_HEADER, upstream_id))


def read_origin(headers: Headers) -> ResponseOrigin:
    """Return who has made a delegate's response.

    >>> read_origin(answer_headers(RunState.NOT_RUN, True)).may_ask_another
    True
    >>> read_origin((("Ibispaddle-Upstream", "u1"),)).upstream_id
    'u1'
    """
    values = {name.lower(): value.strip() for name, value in headers}
    upstream_id = values.get(UPSTREAM_HEADER.lower(), "")
    state = values.get(RUN_STATE_HEADER.lower())
    if upstream_id or state is None:
        return ResponseOrigin(upstream_id)
    # A state that a later release adds proves nothing.
    run_state = RunState.NOT_RUN if state == RunState.NOT_RUN else RunState.UNKNOWN
    may_ask_another = values.get(ASK_ANOTHER_HEADER.lower()) == "1"
    takes_requests = values.get(TAKES_REQUESTS_HEADER.lower()) != "0"
    return ResponseOrigin("", run_state, may_ask_another, takes_requests)


def without_hop_headers(headers: Headers) -> Headers:
    """Return the headers without those above."""
    return tuple(item for item in headers if item[0].lower() not in _ALL)


def _number(text: str | None) -> int | None:
    text = text or ""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    return int(text) if is_number else None
