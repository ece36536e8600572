"""Wait until a revision of the configuration is in force at all instances."""

import time
from typing import Annotated, Any

import typer

from ..api import OperatorApi
from ..exceptions import WaitTimeoutError
from ..output import print_json, print_table
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server

POLL_INTERVAL_S = 0.1

Revision = Annotated[int, typer.Argument(help="Revision to wait for.")]
WaitSeconds = Annotated[float, typer.Option("--timeout", help="Maximum time to wait, in seconds.")]


def find_lagging_instances(instances: list[dict[str, Any]], revision: int) -> list[str]:
    """Return the ids of the instances that have a lower revision in force.

    >>> find_lagging_instances([{"id": "a", "revision": 3}, {"id": "b", "revision": 2}], 3)
    ['b']
    """
    return [str(entry["id"]) for entry in instances if entry["revision"] < revision]


def wait_until_in_force(api: OperatorApi, revision: int, timeout_s: float, as_json: bool) -> None:
    """Poll until all instances have the revision in force, then print them.

    Raises `WaitTimeoutError` with the lagging instances.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        instances = api.get("instances")["instances"]
        lagging = find_lagging_instances(instances, revision)
        if not lagging:
            break
        if time.monotonic() >= deadline_s:
            raise WaitTimeoutError(
                f"revision {revision} is not in force at {', '.join(lagging)} after {timeout_s} s"
            )
        time.sleep(POLL_INTERVAL_S)
    if as_json:
        print_json(instances)
    else:
        print_table(
            ("instance", "revision in force"), [(i["id"], i["revision"]) for i in instances]
        )


def command(
    revision: Revision,
    key: OperatorKey,
    timeout_s: WaitSeconds = 10.0,
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Wait until a revision is in force at all instances.

    Example: ibispaddle config wait 17 --timeout 5
    """
    wait_until_in_force(OperatorApi(server, key), revision, timeout_s, as_json)
