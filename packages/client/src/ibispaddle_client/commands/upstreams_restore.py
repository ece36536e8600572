"""Restore a drained runner or service."""

from ..api import OperatorApi
from ..changes import edit_base_document
from ..drains import print_outcome, refuse_overlay_conflict, without_drain
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
    """Restore a drained runner or service: it gets new requests again.

    Example: ibispaddle upstreams restore runner.1
    """
    api = OperatorApi(server, key)
    refuse_overlay_conflict(api, upstream)
    response = edit_base_document(api, lambda base: without_drain(base, upstream))
    print_outcome(
        api, f"'{upstream}' is not drained", response, timeout_s if wait else None, as_json
    )
