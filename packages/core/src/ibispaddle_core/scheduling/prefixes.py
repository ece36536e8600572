"""Index of the prompt prefixes that this instance sent to each runner."""

from collections import OrderedDict

from .messages import Request

MAX_PREFIXES = 20_000
MAX_RUNNERS_PER_PREFIX = 4
# Bounds the cost of a very long prompt.
MAX_BLOCKS = 32


class PrefixIndex:
    """Estimate how much of a prompt is in a runner's prefix cache."""

    def __init__(self) -> None:
        self._runners: OrderedDict[str, list[str]] = OrderedDict()

    def record(self, req: Request, upstream_id: str) -> None:
        """Record that the runner will hold the request's prefixes."""
        for prefix in req.prefix_hashes[:MAX_BLOCKS]:
            runners = self._runners.setdefault(prefix, [])
            if upstream_id in runners:
                runners.remove(upstream_id)
            runners.append(upstream_id)
            del runners[:-MAX_RUNNERS_PER_PREFIX]
            self._runners.move_to_end(prefix)
        while len(self._runners) > MAX_PREFIXES:
            self._runners.popitem(last=False)

    def cached_tokens(self, req: Request, upstream_id: str) -> int:
        """Return the length in tokens of the longest prefix that the runner is expected to cache."""
        count = len(req.prefix_hashes)
        for depth in range(min(count, MAX_BLOCKS), 0, -1):
            if upstream_id in self._runners.get(req.prefix_hashes[depth - 1], ()):
                return req.prompt_tokens * depth // count
        return 0

    def remove_runner(self, upstream_id: str) -> None:
        """Remove the prefixes of a runner whose engine has restarted."""
        for runners in self._runners.values():
            if upstream_id in runners:
                runners.remove(upstream_id)
