"""Take a runner or service out of use."""

from ..api import OperatorApi
from ..changes import edit_base
from ..drains import check_known, check_overlays, drained, report
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
    """Take a runner or service out of use: it gets no new work and finishes what it has.

    The platform's list is not involved. The upstream stays drained until it is restored, also when
    instances or the upstream start again.

    Example: ibispaddle upstreams drain runner.1 --wait
    """
    api = OperatorApi(server, key)
    check_known(api, upstream)
    check_overlays(api, upstream)
    answer = edit_base(api, lambda base: drained(base, upstream))
    report(api, f"'{upstream}' is drained", answer, timeout_s if wait else None, as_json)
