"""Event loop for component tests with real sockets and real time."""

from circuits import BaseComponent
from circuits.core.pollers import EPoll

from .waiting import wait_until

STOP_TIMEOUT_S = 10.0


class RootComponent(BaseComponent):
    """Run components and their event loop in a separate thread."""

    channel = "root"

    def __init__(self, *components: BaseComponent) -> None:
        super().__init__()
        EPoll().register(self)
        for component in components:
            component.register(self)

    def __enter__(self) -> "RootComponent":
        self.thread, _ = self.start()
        wait_until(lambda: self.running, "start")
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()
        self.thread.join(STOP_TIMEOUT_S)
