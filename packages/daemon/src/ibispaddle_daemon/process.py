"""What every kind of instance does around its event loop."""

import gc
import resource
import traceback
from collections.abc import Callable

from ibispaddle_core import logevents

from . import logs

EXIT_FAILED = 1


def run_process(run: Callable[[], object]) -> int:
    """Run the event loop until it ends and return the exit status."""
    # Objects of the imported modules live for ever; without them a full collection takes less than a
    # millisecond instead of tens of milliseconds during which no stream moves.
    gc.freeze()
    gc.enable()
    _raise_file_limit()
    try:
        run()
    except Exception as exc:
        logs.log_exception(logevents.DAEMON_FAILED, exc, traceback.format_exc())
        return EXIT_FAILED
    return 0


def _raise_file_limit() -> None:
    """Allow as many open sockets as the system lets this process have.

    The usual soft limit of 1,024 descriptors is below the connections of a busy instance.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
