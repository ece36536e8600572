"""Setup and exit status of an instance's process."""

import gc
import resource
import traceback
from collections.abc import Callable

from ibispaddle_core import logevents

from . import logs

EXIT_FAILED = 1


def run_process(run: Callable[[], object]) -> int:
    """Run the event loop until it ends and return the exit status."""
    # Objects of the imported modules are never freed. Excluding them from garbage collection reduces a
    # full collection from tens of milliseconds, during which all streams stall, to less than one.
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
    """Raise the limit of open files to the hard limit.

    A busy instance has more connections than the usual soft limit of 1,024 descriptors.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
