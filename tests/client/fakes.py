"""Fake instance that answers operator requests with scripted responses."""

from tests.support.json_server import JsonServer


class FakeInstance(JsonServer):
    """Answer requests to each path with its scripted responses in turn; the last one is repeated."""

    def __init__(self, responses):
        self.responses = {path: list(script) for path, script in responses.items()}
        self.bodies = []
        super().__init__()

    def handle(self, request, body):
        if body is not None:
            self.bodies.append(body)
        script = self.responses[request.command + " " + request.path.partition("?")[0]]
        status, response = script.pop(0) if len(script) > 1 else script[0]
        request.reply(status, response)
