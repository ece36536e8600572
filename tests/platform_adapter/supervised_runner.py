"""Runner stand-ins that a supervisor restarts as soon as they end."""

from typing import Any

from tests.support.supervised import SupervisedStandIn

from .processes import Platform


class SupervisedRunner(SupervisedStandIn):
    """A runner whose processes have the same id; its entry in the store changes once one runs."""

    def __init__(self, platform: Platform, name: str, keeps_socket: bool, **faults: Any) -> None:
        self._platform, self.name = platform, name
        super().__init__("platform_runner", keeps_socket, **faults)

    def options(self, born_ms: int) -> tuple[str, ...]:
        return ("--id", self.name, "--born", str(born_ms))

    def on_started(self, born_ms: int) -> None:
        self._platform.register_at(self.name, self.address, "llm", born=born_ms)
