"""Show all instances that an instance knows."""

from ..api import OperatorApi
from ..output import print_json, print_table
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server


def command(key: OperatorKey, server: Server = DEFAULT_SERVER, as_json: AsJson = False) -> None:
    """Show each instance with the configuration revision in force.

    Example: ibispaddle instances --server http://127.0.0.1:8080
    """
    instances = OperatorApi(server, key).get("instances")["instances"]
    if as_json:
        print_json(instances)
    else:
        rows = [(i["id"], i["revision"], i["as_of"]) for i in instances]
        print_table(("instance", "revision in force", "log read up to"), rows)
