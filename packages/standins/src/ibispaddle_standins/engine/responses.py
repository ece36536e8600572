"""Error responses of the engine stand-in."""

from aiohttp import web


def error_response(status: int, code: str, message: str) -> web.Response:
    """Return an error response in the format of the chat-completions protocol."""
    error = {"message": message, "type": "engine_error", "code": code, "param": None}
    return web.json_response({"error": error}, status=status)
