"""Lift the quarantine of a fingerprint."""

import getpass
from typing import Annotated

import typer

from ..api import OperatorApi
from ..output import print_json
from .options import DEFAULT_SERVER, AsJson, OperatorKey, Server

Fingerprint = Annotated[str, typer.Argument(help="Fingerprint from 'quarantine list'.")]


def command(
    fingerprint: Fingerprint,
    key: OperatorKey,
    server: Server = DEFAULT_SERVER,
    as_json: AsJson = False,
) -> None:
    """Allow requests with this fingerprint again, after the cause of the crashes is fixed.

    Example: ibispaddle quarantine lift 5f1d0c2ab3e49d77
    """
    body = {"fingerprint": fingerprint, "author": getpass.getuser()}
    response = OperatorApi(server, key).post("quarantine/lift", body)
    if as_json:
        print_json(response)
    else:
        typer.echo(f"the quarantine of '{fingerprint}' ends when the log has recorded the lift")
