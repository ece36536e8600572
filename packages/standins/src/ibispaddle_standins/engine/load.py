"""Load reports of the engine stand-in, which can be delayed."""

import asyncio
import time
from typing import Any

from aiohttp import web

from ..server import Faults
from .batching import Batcher
from .memory import Memory
from .orders import Orders


class LoadReports:
    """Record load reports and serve the one whose age is the fault `load_lag_ms`."""

    def __init__(
        self, boot_id: str, batcher: Batcher, memory: Memory, orders: Orders, faults: Faults
    ) -> None:
        self._boot_id = boot_id
        self._batcher = batcher
        self._memory = memory
        self._orders = orders
        self._faults = faults
        self._seq = 0
        self._reports: list[tuple[float, dict[str, Any]]] = []

    async def record(self) -> None:
        """Record the current load periodically, and drop reports older than the lag."""
        while True:
            lag_s = self._faults.get("load_lag_ms", 0) / 1000
            now = time.monotonic()
            self._reports.append((now, self._report()))
            while len(self._reports) > 1 and self._reports[1][0] <= now - lag_s:
                self._reports.pop(0)
            await asyncio.sleep(max(0.02, lag_s / 4))

    async def respond(self, request: web.Request) -> web.Response:
        """Respond with the delayed load report, or the current one without a lag."""
        if not self._faults.get("load_lag_ms") or not self._reports:
            return web.json_response(self._report())
        return web.json_response(self._reports[0][1])

    def _report(self) -> dict[str, Any]:
        """Return a report of the current load."""
        self._seq += 1
        return {
            "boot_id": self._boot_id,
            "seq": self._seq,
            "time_ms": int(time.time() * 1000),
            "running": self._batcher.running,
            "waiting": len(self._batcher.waiting),
            "queued_prefill_tokens": self._batcher.queued_prefill_tokens,
            "kv_tokens_used": self._memory.used,
            "kv_tokens_total": self._memory.total,
            "prefill_tokens_per_s": self._batcher.prefill_rate,
            "decode_tokens_per_s": self._batcher.decode_rate,
            "models": list(self._orders.models),
            "role": self._orders.role,
            "state": "leaving" if self._faults.get("leaving") else "live",
        }
