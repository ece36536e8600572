"""Drain a runner or service."""

from ..api import OperatorApi
from ..changes import edit_base_document
from ..drains import print_outcome, refuse_overlay_conflict, require_known_upstream, with_drain
from .config_wait import WaitSeconds
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server, Upstream, Wait


def command(
    upstream: Upstream,
    key: OperatorKey,
    wait: Wait = False,
    timeout_s: WaitSeconds = 10.0,
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Drain a runner or service: it gets no new requests and finishes those that it has.

    The platform's list is not changed. The upstream stays drained until it is restored, also when
    instances or the upstream restart.

    Example: ibispaddle upstreams drain runner.1 --wait
    """
    api = OperatorApi(server, key)
    require_known_upstream(api, upstream)
    refuse_overlay_conflict(api, upstream)
    response = edit_base_document(api, lambda base: with_drain(base, upstream))
    print_outcome(api, f"'{upstream}' is drained", response, timeout_s if wait else None, as_json)
