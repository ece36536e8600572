"""Submission of configuration changes."""

import getpass
import time
import uuid
from collections.abc import Callable
from typing import Any

from .api import OperatorApi, UndeterminedError
from .exceptions import ClientError, ConflictError, UnreachableError

# A change is sent again with the same id until its outcome is known; it takes effect at most once.
MAX_SEND_ATTEMPTS = 4
RETRY_DELAY_S = 0.5
# An edit is retried after each conflict. Changes are minutes apart on average, so several conflicts
# in a row mean that something writes continuously, which has to be reported to the operator.
MAX_EDIT_CONFLICTS = 8

Document = dict[str, Any]
Edit = Callable[[Document], Document | None]


def new_change(expected_revision: int, layer: str, document: Document) -> dict[str, Any]:
    """Return a change with a new id and the name of the current user as its author."""
    return {
        "change_id": str(uuid.uuid4()),
        "expected_revision": expected_revision,
        "layer": layer,
        "document": document,
        "author": getpass.getuser(),
    }


def apply_change(api: OperatorApi, change: dict[str, Any]) -> dict[str, Any]:
    """Send a change until its outcome is known and return the response."""
    return send_until_outcome_known(api, "config", change)


def send_until_outcome_known(api: OperatorApi, path: str, body: dict[str, Any]) -> dict[str, Any]:
    """Send an idempotent request until its outcome is known and return the response."""
    for attempt in range(MAX_SEND_ATTEMPTS):
        try:
            return api.post(path, body)
        except (UndeterminedError, UnreachableError):
            if attempt == MAX_SEND_ATTEMPTS - 1:
                raise
            time.sleep(RETRY_DELAY_S)
    raise ClientError("the change was not sent")


def edit_base_document(api: OperatorApi, edit: Edit) -> dict[str, Any] | None:
    """Edit the current base document; return the response, or None if no change is needed.

    `edit` returns the new document, or None if the current one needs no change. After a conflict it
    is called again with the newer document.
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
            # The instance may not have applied the conflicting change yet.
            time.sleep(RETRY_DELAY_S / 5 * (1 + conflicts))
    raise ClientError("the change was not sent")
