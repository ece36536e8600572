"""HTTP server that passes requests for other paths to circuits.web."""

from io import BytesIO
from typing import Any

from circuits import Event, handler
from circuits.web.events import request as web_request
from circuits.web.http import HTTP
from circuits.web.wrappers import Request as WebRequest
from circuits.web.wrappers import Response as WebResponse
from ibispaddle_core.chat import ProtocolError

from .http_exchange import Exchange
from .http_server import HttpServer
from .responses import respond_error, respond_not_found

# Component channels by the first segment of the path; all other paths go to circuits.web.
_CHANNELS = {
    "v1": "request_reader",
    "services": "services",
    "healthz": "status",
    "readyz": "status",
    "metrics": "status",
    "operator": "operators",
}


def channel_of_path(exchange: Exchange) -> str | None:
    """Return the channel of the component that handles the exchange's path, or None."""
    return _CHANNELS.get(exchange.path.split("/", 2)[1] if "/" in exchange.path else "")


class WebServer(HttpServer):
    """Pass requests for paths without a component to circuits.web.

    They are fired as `request` events on channel `web`, so that any circuits.web handler can
    respond. The request's attribute `exchange` holds the exchange.
    """

    channel = "web"

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        kwargs.setdefault("channel_of", channel_of_path)
        super().__init__(*args, **kwargs)
        self.http = WebProtocol(self).register(self)

    @property
    def host(self) -> str:
        """Return the bound host, for circuits.web."""
        return str(self.listener.host)

    @property
    def port(self) -> int:
        """Return the bound port, for circuits.web."""
        return int(self.listener.port)

    @property
    def secure(self) -> bool:
        """Return whether callers use TLS, for circuits.web."""
        return bool(self.listener.secure)

    def _handle_other_path(self, exchange: Exchange) -> None:
        try:
            event = self.http.create_request_event(exchange)
        except Exception as exc:  # circuits.web raises various errors on malformed headers.
            text = f"The request is not valid: {type(exc).__name__}."
            respond_error(exchange, ProtocolError(400, "invalid_http", text))
            return
        self.fire(event, self.channel)


class WebProtocol(HTTP):
    """Translate between exchanges and the `request` and `response` events of circuits.web."""

    def __init__(self, server: WebServer) -> None:
        super().__init__(server, channel=server.channel)

    def create_request_event(self, exchange: Exchange) -> Event:
        """Return the `request` event for an exchange."""
        req = WebRequest(
            exchange.sock,
            exchange.method,
            "https" if self._server.secure else "http",
            exchange.path,
            (1, 1),
            exchange.query,
            server=self._server,
        )
        for name, value in exchange.headers:
            req.headers.add_header(name, value)
        req.body = BytesIO(exchange.body)
        req.exchange = exchange
        return web_request(req, WebResponse(req, encoding="utf-8"))

    @handler("read", override=True)
    def _on_read(self, *args: Any) -> None:
        """Ignore the event, because h11 parses requests."""

    @handler("disconnect", override=True)
    def _on_disconnect(self, *args: Any) -> None:
        """Ignore the event, because the listener manages connections."""

    @handler("ready", priority=1.0, override=True)
    def _on_ready(self, *args: Any) -> None:
        """Ignore the event, because no base URL is needed."""

    @handler("response", override=True)
    def _on_response(self, res: Any) -> None:
        res.prepare()
        headers = tuple(
            (name, value)
            for name, value in res.headers.items()
            if name.lower() not in ("content-length", "transfer-encoding", "connection")
        )
        exchange = res.request.exchange
        if res.stream:
            exchange.start(int(res.status.status), headers)
            return
        parts = (part.encode() if isinstance(part, str) else part for part in res.body if part)
        exchange.respond(int(res.status.status), headers, b"".join(parts))

    @handler("stream", override=True)
    def _on_stream(self, res: Any, data: bytes | str | None) -> None:
        if data is None:
            res.request.exchange.end()
        else:
            res.request.exchange.write(data.encode() if isinstance(data, str) else data)

    @handler("httperror", override=True)
    def _on_httperror(self, event: Any, req: Any, res: Any, code: int, **kwargs: Any) -> None:
        exchange = req.exchange
        if event.code == 404:
            respond_not_found(exchange)
            return
        text = str(event.description) or f"The request failed with status {event.code}."
        respond_error(exchange, ProtocolError(event.code, "request_failed", text))

    @handler("exception", channel="*", override=True)
    def _on_exception(self, *args: Any, **kwargs: Any) -> None:
        """Ignore the event, because the application logs exceptions.

        circuits.web's `request_failure` handler responds to the caller.
        """
