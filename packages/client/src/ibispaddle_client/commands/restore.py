"""Restore an evacuated data centre."""

from ..api import OperatorApi
from ..changes import edit_base_document
from ..drains import print_outcome
from ..evacuations import refuse_overlay_conflict, without_evacuation
from .config_wait import WaitSeconds
from .options import DEFAULT_SERVER, AsJson, DataCentre, OperatorKey, Server, Wait


def command(
    data_centre: DataCentre,
    key: OperatorKey,
    wait: Wait = False,
    timeout_s: WaitSeconds = 10.0,
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Restore an evacuated data centre: its upstreams get new requests again.

    Example: ibispaddle restore dc1 --wait
    """
    api = OperatorApi(server, key)
    refuse_overlay_conflict(api, data_centre)
    response = edit_base_document(api, lambda base: without_evacuation(base, data_centre))
    print_outcome(
        api, f"'{data_centre}' is not evacuated", response, timeout_s if wait else None, as_json
    )
