"""HTTP interface of the engine stand-in."""

import argparse
import asyncio
import json
import os
import secrets
import time
from collections import OrderedDict
from typing import Any

from aiohttp import web

from ..answers import estimate_tokens, prompt_hash, prompt_text
from ..server import Handler, StandIn, abort_connection
from .batching import Batcher, Sequence
from .load import LoadReports
from .memory import Memory, prefix_hashes
from .memory_api import MemoryApi
from .orders import Orders
from .responses import error_response
from .streams import ChunkWriter, completion_body, usage_event

CRASH_STATUS = 70
# A crash is delayed so that the response to the request that sets the fault, and the tokens
# generated before the crash, are still sent.
CRASH_DELAY_S = 0.01
UNREAD_CHECK_INTERVAL_S = 0.1
MAX_DISCARDED_REQUESTS = 20_000
DEFAULT_PRIORITY = 5


class Engine(StandIn):
    """Serve completions from a simulated engine."""

    name = "engine"
    known_faults = (
        "crash",  # The process exits.
        "crash_marker",  # The process exits when it computes a prompt that contains this text.
        "crash_after_tokens",  # Number of tokens generated for such a prompt before the exit.
        "freeze",  # Nothing is computed; unless the value is "tokens", nothing is sent either.
        "reject",  # New prompts are refused with 503.
        "reject_reservations",  # Reservations are refused with 409.
        "lose_kv_answers",  # Memory operations take effect, but their connection is aborted.
        "delay_kv_ms",  # Delay of the responses to memory operations.
        "cut_after_tokens",  # Streams are aborted at this token index; the sequence continues.
        "duplicate_every",  # Every n-th token is sent twice.
        "skip_every",  # Every n-th token is left out.
        "foreign_every",  # Every n-th token is followed by a chunk of another completion.
        "foreign_answer",  # The response has the text or the request id of another request.
        "load_lag_ms",  # Age of a load report.
        "cache_event_delay_ms",  # Delay before a cache event becomes visible.
        "cache_event_gap_every",  # Every n-th cache event is lost.
        "fencing",  # Orders with an outdated fencing number are refused.
        "leaving",  # The load report states that the engine is leaving.
    )

    def __init__(self, args: argparse.Namespace) -> None:
        super().__init__(args)
        self.boot_id = args.boot_id or secrets.token_hex(8)
        self.memory = Memory(args.kv_tokens)
        self.batcher = Batcher(
            self.memory, args.prefill_rate, args.decode_rate, args.max_batch, args.time_scale
        )
        self.batcher.on_first_work = self.crash_if_due
        self.batcher.on_tokens = self.crash_if_due
        self.orders = Orders(list(args.models), args.role)
        self.sequences: dict[str, Sequence] = {}
        self.discarded_requests: OrderedDict[str, bool] = (
            OrderedDict()
        )  # Request id and whether it ran.
        self.arrivals = self.accepted = self.rejected = self.cancels = self.resumes = 0
        self.load = LoadReports(self.boot_id, self.batcher, self.memory, self.orders, self.faults)
        self.memory_api = MemoryApi(self.boot_id, self.batcher, self.memory, self.faults)
        self.tasks: list[asyncio.Task[None]] = []
        self.faults.update(
            {
                "crash_marker": args.crash_marker or None,
                "fencing": args.fencing,
                "load_lag_ms": args.load_lag_ms,
                "cache_event_delay_ms": args.cache_event_delay_ms,
                "cache_event_gap_every": args.cache_event_gap_every,
            }
        )
        self.faults.values = {name: value for name, value in self.faults.values.items() if value}
        self.apply_faults()

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("--models", nargs="+", default=["m"], help="loaded models")
        parser.add_argument("--role", default="mixed", help="role in the load report")
        parser.add_argument("--boot-id", default="", help="boot id; empty: random")
        parser.add_argument("--prefill-rate", type=float, default=25_000, help="tokens/s")
        parser.add_argument("--decode-rate", type=float, default=60, help="tokens/s per sequence")
        parser.add_argument(
            "--max-batch", type=int, default=256, help="maximum number of admitted sequences"
        )
        parser.add_argument(
            "--max-waiting", type=int, default=1_000, help="maximum number of queued sequences"
        )
        parser.add_argument("--kv-tokens", type=int, default=400_000, help="KV memory, tokens")
        parser.add_argument(
            "--time-scale", type=float, default=1, help="factor of the engine's speed"
        )
        parser.add_argument("--output-tokens", type=int, default=32, help="default of max_tokens")
        parser.add_argument(
            "--resume-window-ms",
            type=int,
            default=5_000,
            help="lifetime of a sequence without readers",
        )
        parser.add_argument("--load-lag-ms", type=int, default=100, help="age of load reports")
        parser.add_argument("--cache-event-delay-ms", type=int, default=0)
        parser.add_argument("--cache-event-gap-every", type=int, default=0, help="0: no gaps")
        parser.add_argument("--fencing", action="store_true", help="check fencing numbers")
        parser.add_argument("--crash-marker", default="", help="text that crashes the engine")

    def add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/v1/chat/completions", self.complete)
        router.add_post("/v1/completions", self.complete)
        router.add_get("/v1/models", self.list_models)
        router.add_post("/v1/cancel", self.cancel)
        router.add_post("/v1/resume", self.resume)
        router.add_get("/load", self.load.respond)
        router.add_get("/cache/events", self.read_cache_events)
        self.memory_api.add_routes(router)
        router.add_post("/orders", self.receive_order)

    def state(self) -> dict[str, Any]:
        return {
            "boot_id": self.boot_id,
            "arrivals": self.arrivals,
            "accepted": self.accepted,
            "rejected": self.rejected,
            "cancels": self.cancels,
            "resumes": self.resumes,
            "running": self.batcher.running,
            "waiting": len(self.batcher.waiting),
            "tokens_prefilled": int(self.batcher.tokens_prefilled),
            "tokens_generated": self.batcher.tokens_generated,
            "kv_tokens_used": self.memory.used,
            "kv_tokens_most_used": self.memory.peak_used,
            "kv_tokens_cached": sum(self.memory.cache.values()),
            "handles": {name: handle.tokens for name, handle in self.memory.handles.items()},
            "orders": self.orders.received,
            "models": self.orders.models,
            "role": self.orders.role,
        }

    async def start_background_tasks(self) -> None:
        self.tasks += [
            asyncio.create_task(self.batcher.run()),
            asyncio.create_task(self.cancel_unread_sequences()),
            asyncio.create_task(self.load.record()),
        ]

    def apply_faults(self) -> None:
        self.memory.event_delay_ms = self.faults.get("cache_event_delay_ms", 0)
        self.memory.event_gap_every = self.faults.get("cache_event_gap_every", 0)
        self.batcher.set_frozen(bool(self.faults.get("freeze")))
        if self.faults.get("crash"):
            self.crash()
        self.faults.values = {name: value for name, value in self.faults.values.items() if value}

    async def intercept(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        while self.faults.get("freeze") is True:
            await asyncio.sleep(0.01)
        response = await handler(request)
        while self.faults.get("freeze") is True:
            await asyncio.sleep(0.01)
        if request.path.startswith("/kv/"):
            await asyncio.sleep(self.faults.get("delay_kv_ms", 0) / 1000)
            if self.faults.consume("lose_kv_answers"):
                abort_connection(request)
        return response

    def crash(self) -> None:
        """Exit the process without closing its connections."""
        asyncio.get_running_loop().call_later(CRASH_DELAY_S, os._exit, CRASH_STATUS)

    def crash_if_due(self, sequence: Sequence) -> None:
        """Crash if the prompt has the crash marker and enough of its tokens are generated."""
        if sequence.has_crash_marker and sequence.generated >= self.faults.get(
            "crash_after_tokens", 0
        ):
            self.crash()

    # Completions

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Handle a completion request."""
        self.arrivals += 1
        try:
            body = json.loads(await request.read())
            prompt = prompt_text(body)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            return error_response(400, "invalid_request", f"not a request: {exc!r}")
        sequence = self.create_sequence(request, body, prompt)
        if isinstance(sequence, web.Response):
            self.rejected += 1
            return sequence
        self.accepted += 1
        self.sequences[sequence.request_id] = sequence
        self.batcher.submit(sequence)
        chat = request.path == "/v1/chat/completions"
        if body.get("stream"):
            with_usage = bool((body.get("stream_options") or {}).get("include_usage"))
            return await self.stream(request, sequence, chat, 0, with_usage)
        sequence.readers += 1
        try:
            while not sequence.ended:
                sequence.changed.clear()
                await sequence.changed.wait()
        finally:
            self.remove_reader(sequence)
        if sequence.generated < sequence.max_tokens:
            return error_response(409, "cancelled", "the request was cancelled")
        answer = completion_body(sequence, chat, self.faults)
        return web.json_response(answer, headers=self.response_headers(sequence))

    def create_sequence(
        self, request: web.Request, body: dict[str, Any], prompt: str
    ) -> Sequence | web.Response:
        """Return the sequence for a request, or the error response that refuses it."""
        model = body.get("model", "")
        tokens = estimate_tokens(prompt)
        limit = body.get("max_completion_tokens") or body.get("max_tokens")
        max_tokens = int(limit or self.args.output_tokens)
        names = request.headers.get("X-KV-Segments", "")
        segments = [name.strip() for name in names.split(",") if name.strip()]
        request_id = request.headers.get("X-Request-Id") or secrets.token_hex(8)
        if model not in self.orders.models:
            return error_response(404, "model_not_found", f"the model {model!r} is not loaded")
        if self.faults.consume("reject"):
            return error_response(503, "rejected", "the engine takes no new prompts")
        if request_id in self.sequences:
            return error_response(409, "duplicate", f"the request {request_id!r} is known")
        if segments and not any(name in self.memory.handles for name in segments):
            return error_response(409, "unknown_handle", "no segment is held by this engine")
        if not segments and tokens + max_tokens > self.memory.total:
            return error_response(400, "context_length_exceeded", "longer than the KV memory")
        if len(self.batcher.waiting) >= self.args.max_waiting:
            return error_response(429, "queue_full", "too many prompts are waiting")
        marker = self.faults.get("crash_marker", "")
        return Sequence(
            request_id=request_id,
            completion_id=f"cmpl-{secrets.token_hex(8)}",
            model=model,
            prompt_digest=prompt_hash(prompt),
            # The engines of a group compute their segments of the prompt in parallel.
            prompt_tokens=tokens // max(1, len(segments)),
            max_tokens=max_tokens,
            priority=int(request.headers.get("X-Priority", DEFAULT_PRIORITY)),
            order=self.arrivals,
            memory_tokens=0 if segments else tokens + max_tokens,
            prefix_hashes=[] if segments else prefix_hashes(prompt),
            has_crash_marker=bool(marker) and marker in prompt,
        )

    def response_headers(self, sequence: Sequence) -> dict[str, str]:
        """Return the headers of a response."""
        foreign = bool(self.faults.values) and self.faults.consume("foreign_answer")
        request_id = "foreign" if foreign else sequence.request_id
        return {"X-Engine-Boot": self.boot_id, "X-Request-Id": request_id}

    async def stream(
        self,
        request: web.Request,
        sequence: Sequence,
        chat: bool,
        start: int,
        with_usage: bool = False,
    ) -> web.StreamResponse:
        """Stream the tokens of a sequence, starting at index `start`."""
        response = web.StreamResponse(headers=self.response_headers(sequence))
        response.content_type = "text/event-stream"
        writer = ChunkWriter(sequence, chat, self.faults)
        sequence.readers += 1
        try:
            await response.prepare(request)
            await writer.write(request, response, start)
            if sequence.generated == sequence.max_tokens:
                last = usage_event(writer) if with_usage else b""
                await response.write(last + b"data: [DONE]\n\n")
        except ConnectionResetError:
            pass
        finally:
            self.remove_reader(sequence)
        return response

    def remove_reader(self, sequence: Sequence) -> None:
        """Unregister a reader and record the time, from which the resume window counts."""
        sequence.readers -= 1
        sequence.unread_since = time.monotonic()

    async def cancel_unread_sequences(self) -> None:
        """Cancel sequences that had no reader during the resume window."""
        while True:
            await asyncio.sleep(UNREAD_CHECK_INTERVAL_S)
            oldest = time.monotonic() - self.args.resume_window_ms / 1000
            for sequence in list(self.sequences.values()):
                if sequence.readers == 0 and sequence.unread_since < oldest:
                    self.batcher.cancel(sequence)
                    self.discard(sequence)

    def discard(self, sequence: Sequence) -> None:
        """Remove a sequence, but record whether it ran."""
        del self.sequences[sequence.request_id]
        self.discarded_requests[sequence.request_id] = sequence.ran
        if len(self.discarded_requests) > MAX_DISCARDED_REQUESTS:
            self.discarded_requests.popitem(last=False)

    async def cancel(self, request: web.Request) -> web.Response:
        """Handle a cancel request; a request id that this boot doesn't know is reported as run."""
        request_id = (await request.json())["request_id"]
        self.cancels += 1
        sequence = self.sequences.get(request_id)
        if sequence is None:
            ran = self.discarded_requests.get(request_id, True)
            return web.json_response({"cancelled": False, "ran": ran})
        cancelled = self.batcher.cancel(sequence)
        return web.json_response({"cancelled": cancelled, "ran": sequence.ran})

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Handle a resume request: stream a known sequence again, starting at a token index."""
        body = await request.json()
        sequence = self.sequences.get(body["request_id"])
        start = int(body["from_token"])
        if sequence is None or start > sequence.generated or sequence.phase == "cancelled":
            return error_response(404, "unknown_request", "the request cannot be resumed")
        self.resumes += 1
        return await self.stream(request, sequence, body.get("chat", True), start)

    # Reports

    async def list_models(self, request: web.Request) -> web.Response:
        """List the loaded models."""
        models = [{"id": model, "object": "model", "created": 0} for model in self.orders.models]
        return web.json_response({"object": "list", "data": models})

    async def read_cache_events(self, request: web.Request) -> web.Response:
        """Respond with the visible cache events."""
        return web.json_response(self.memory.events.read(int(request.query.get("from", "0"))))

    async def receive_order(self, request: web.Request) -> web.Response:
        """Handle an order."""
        status, body = self.orders.apply(await request.json(), bool(self.faults.get("fencing")))
        return web.json_response(body, status=status)
