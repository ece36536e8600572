"""Client for the operator API of an instance."""

from dataclasses import dataclass
from typing import Any

import requests

from .exceptions import ClientError, ConflictError, ExitStatus, UnreachableError

REQUEST_TIMEOUT_S = 15.0  # Longer than an instance takes to determine the outcome of a change.


class UndeterminedError(ClientError):
    """Raised when an instance does not know yet whether a change was accepted."""

    status = ExitStatus.TIMEOUT


@dataclass(frozen=True)
class OperatorApi:
    """Send operator requests to one instance.

    >>> OperatorApi("http://127.0.0.1:8080", "key").url("instances")
    'http://127.0.0.1:8080/operator/instances'
    """

    server: str
    key: str

    def url(self, path: str) -> str:
        """Return the URL of a path below `/operator/`."""
        return f"{self.server.rstrip('/')}/operator/{path}"

    def get(self, path: str, **params: Any) -> dict[str, Any]:
        """Return the JSON response to a GET request."""
        return self._request("GET", path, params=params)

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Return the JSON response to a POST request.

        Raises `ConflictError` with the winning change, `UndeterminedError` if the outcome is not
        known yet, `UnreachableError` if there was no response, and `ClientError` for other errors.
        """
        return self._request("POST", path, json=body)

    def _request(self, method: str, path: str, **options: Any) -> dict[str, Any]:
        headers = {"Authorization": f"Bearer {self.key}"}
        try:
            response = requests.request(
                method, self.url(path), headers=headers, timeout=REQUEST_TIMEOUT_S, **options
            )
            body = response.json()
        except requests.exceptions.JSONDecodeError as exc:
            raise ClientError(f"the response of '{self.server}' is not JSON") from exc
        except (requests.exceptions.RequestException, ValueError) as exc:
            raise UnreachableError(f"the instance '{self.server}' does not respond: {exc}") from exc
        # `response.ok` is also true for statuses that are invalid, for example 600.
        if 200 <= response.status_code < 300:
            return dict(body)
        raise _to_error(response.status_code, body)


def _to_error(status: int, body: dict[str, Any]) -> ClientError:
    error = body.get("error", {})
    text = f"{error.get('message', 'no reason given')} ({error.get('code', status)})"
    if status == 409:
        return ConflictError(f"{text} {_describe_winner(body.get('winner'))}".strip())
    if status == 504:
        return UndeterminedError(text)
    lines = [f"{m['path']}: {m['id']}: {m['text']} {m['hint']}" for m in body.get("messages", [])]
    return ClientError("\n".join([text, *lines]))


def _describe_winner(winner: dict[str, Any] | None) -> str:
    if not winner:
        return ""
    return (
        f"The change '{winner['change_id']}' of layer '{winner['layer']}' by"
        f" '{winner['author'] or 'unknown'}' was accepted first; see 'ibispaddle config history'."
    )
