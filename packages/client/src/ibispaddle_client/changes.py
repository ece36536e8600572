"""Sending of changes of the configuration."""

import getpass
import time
import uuid
from collections.abc import Callable
from typing import Any

from .api import OperatorApi, UndeterminedError
from .exceptions import ClientError, ConflictError, UnreachableError

# The same change id is sent again until its outcome is known; it takes effect at most once.
MAX_SEND_ATTEMPTS = 4
RETRY_DELAY_S = 0.5
# An edit starts again after each conflict. Changes are minutes apart on average, so several
# conflicts in a row mean that something writes continuously, which an operator has to know.
MAX_EDIT_CONFLICTS = 8

Document = dict[str, Any]
Edit = Callable[[Document], Document | None]


def new_change(expected_revision: int, layer: str, document: Document) -> dict[str, Any]:
    """Return a change with an id of its own and the name of the operator."""
    return {
        "change_id": str(uuid.uuid4()),
        "expected_revision": expected_revision,
        "layer": layer,
        "document": document,
        "author": getpass.getuser(),
    }


def apply_change(api: OperatorApi, change: dict[str, Any]) -> dict[str, Any]:
    """Send a change until its outcome is known and return the instance's answer."""
    return send_until_outcome_known(api, "config", change)


def send_until_outcome_known(api: OperatorApi, path: str, body: dict[str, Any]) -> dict[str, Any]:
    """Send what takes effect at most once until its outcome is known and return the answer."""
    for attempt in range(MAX_SEND_ATTEMPTS):
        try:
            return api.post(path, body)
        except (UndeterminedError, UnreachableError):
            if attempt == MAX_SEND_ATTEMPTS - 1:
                raise
            time.sleep(RETRY_DELAY_S)
    raise ClientError("the change was not sent")


def edit_base_document(api: OperatorApi, edit: Edit) -> dict[str, Any] | None:
    """Change the base document as it is in the log; return the answer, None if it needs no change.

    `edit` returns the new document, or None if the document is as wanted. It is called again on the
    newer document after a conflict.
    """
    for conflicts in range(MAX_EDIT_CONFLICTS):
        current = api.get("config")
        if "base" not in current["layers"]:
            raise ClientError(
                "the log holds no base document yet; apply it with 'ibispaddle config apply'"
            )
        document = edit(current["layers"]["base"])
        if document is None:
            return None
        try:
            return apply_change(api, new_change(int(current["revision"]), "base", document))
        except ConflictError:
            if conflicts == MAX_EDIT_CONFLICTS - 1:
                raise
            # An instance may answer from a state older than the change that came first.
            time.sleep(RETRY_DELAY_S / 5 * (1 + conflicts))
    raise ClientError("the change was not sent")
