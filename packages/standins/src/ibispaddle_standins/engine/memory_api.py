"""HTTP endpoints for the KV memory of the engine stand-in."""

from aiohttp import web

from ..server import Faults
from .batching import Batcher
from .memory import Memory
from .responses import error_response


class MemoryApi:
    """Handle requests below `/kv`."""

    def __init__(self, boot_id: str, batcher: Batcher, memory: Memory, faults: Faults) -> None:
        self._boot_id = boot_id
        self._batcher = batcher
        self._memory = memory
        self._faults = faults

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the endpoints with the engine's router."""
        router.add_post("/kv/{action:reserve|import|export}", self._hold)
        router.add_delete("/kv/{handle}", self._delete)
        router.add_get("/kv", self._list)

    async def _hold(self, request: web.Request) -> web.Response:
        """Handle a reserve, import or export of a handle's memory; the source isn't contacted."""
        body = await request.json()
        handle, action = body["handle"], request.match_info["action"]
        if action == "export" and handle not in self._memory.handles:
            return error_response(404, "unknown_handle", f"the handle {handle!r} is not held")
        if action == "reserve" and self._faults.consume("reject_reservations"):
            return error_response(409, "insufficient_memory", "refused by a fault")
        state = {"reserve": "reserved", "import": "imported", "export": "exported"}[action]
        source = str(body.get("source", ""))
        if not self._memory.reserve(handle, int(body.get("tokens", 0)), state, source):
            return error_response(409, "insufficient_memory", "the tokens do not fit")
        tokens = self._memory.handles[handle].tokens
        return web.json_response({"handle": handle, "tokens": tokens, "state": state})

    async def _delete(self, request: web.Request) -> web.Response:
        """Delete a handle, which frees its memory."""
        held = self._memory.handles.pop(request.match_info["handle"], None)
        self._batcher.retry_admission()
        return web.json_response({"deleted": held is not None, "boot_id": self._boot_id})

    async def _list(self, request: web.Request) -> web.Response:
        """List all handles with their sizes in tokens."""
        handles = {name: handle.tokens for name, handle in self._memory.handles.items()}
        return web.json_response({"boot_id": self._boot_id, "handles": handles})
