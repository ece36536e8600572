"""An instance that answers operator requests from a script."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class FakeInstance:
    """Answer each path with its scripted answers in turn; the last one is repeated."""

    def __init__(self, answers):
        self.answers = {path: list(script) for path, script in answers.items()}
        self.bodies = []
        fake = self

        class Handler(BaseHTTPRequestHandler):
            def _answer(self):
                length = int(self.headers.get("Content-Length", 0))
                if length:
                    fake.bodies.append(json.loads(self.rfile.read(length)))
                path = self.command + " " + self.path.partition("?")[0]
                script = fake.answers[path]
                status, body = script.pop(0) if len(script) > 1 else script[0]
                payload = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(payload)))
                self.end_headers()
                self.wfile.write(payload)

            do_GET = do_POST = _answer  # noqa: N815

            def log_message(self, *args):
                """Keep the test output clean."""

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()
