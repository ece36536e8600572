"""An instance that answers operator requests from a script."""

from tests.support.json_server import JsonServer


class FakeInstance(JsonServer):
    """Answer each path with its scripted answers in turn; the last one is repeated."""

    def __init__(self, answers):
        self.answers = {path: list(script) for path, script in answers.items()}
        self.bodies = []
        super().__init__()

    def handle(self, request, body):
        if body is not None:
            self.bodies.append(body)
        script = self.answers[request.command + " " + request.path.partition("?")[0]]
        status, answer = script.pop(0) if len(script) > 1 else script[0]
        request.reply(status, answer)
