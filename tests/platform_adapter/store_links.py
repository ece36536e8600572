"""Proxies of the store, one for each instance, through which a test turns instances away."""

import asyncio
import threading

from tests.soak.links import Link, LinkMode

from .processes import Instance


class StoreLinks:
    """Opens links to the store and changes their modes; they run in a thread."""

    def __init__(self) -> None:
        self._links: list[Link] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def open(self, address: str) -> Link:
        """Return a new link to the store; the `gate` of `Platform`."""
        opening = asyncio.run_coroutine_threadsafe(Link(address).open(), self._loop)
        self._links.append(opening.result(10))
        return self._links[-1]

    def set_mode(self, mode: LinkMode, *instances: Instance) -> None:
        """Change the mode of the links of some instances."""
        for instance in instances:
            assert isinstance(instance.store, Link)
            self._loop.call_soon_threadsafe(instance.store.set_mode, mode)

    def close(self) -> None:
        """Close all links and end the thread."""
        for link in self._links:
            self._loop.call_soon_threadsafe(link.close)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
