"""Response body of the model list."""

from collections.abc import Iterable

import msgspec


def models_body(models: Iterable[str], owner: str) -> bytes:
    """Return the body of `GET /v1/models`."""
    data = [
        {"id": model, "object": "model", "created": 0, "owned_by": owner}
        for model in sorted(models)
    ]
    return msgspec.json.encode({"object": "list", "data": data})
