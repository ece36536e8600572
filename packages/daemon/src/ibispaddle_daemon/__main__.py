"""Command line of `ibispaddled`."""

import gc
import resource
import sys
import traceback
from pathlib import Path
from typing import Annotated

import typer
from ibispaddle_core import logevents
from ibispaddle_core.settings import SettingsError

from . import logs
from .app import App
from .loading import read_fleet, read_instance

EXIT_FAILED = 1
EXIT_SETTINGS = 2


def run(
    settings: Annotated[Path, typer.Option(help="Settings file of this instance.")],
    check: Annotated[bool, typer.Option("--check", help="Check the settings and exit.")] = False,
) -> None:
    """Run one ibispaddle instance."""
    try:
        instance = read_instance(settings)
        logs.configure(instance.instance_id)
        config = read_fleet(instance)
        if check:
            print(f"{settings}: the settings are valid")
            return
        app = App(instance, config)
    except SettingsError as exc:
        for message in exc.messages:
            print(message, file=sys.stderr)
        logs.log_event(logevents.SETTINGS_REJECTED, mistakes=len(exc.messages))
        raise typer.Exit(EXIT_SETTINGS) from exc
    except OSError as exc:
        print(f"{settings}: {exc}", file=sys.stderr)
        logs.log_event(logevents.START_FAILED, reason=str(exc))
        raise typer.Exit(EXIT_SETTINGS) from exc
    except Exception as exc:
        logs.log_exception(logevents.START_FAILED, exc, traceback.format_exc())
        raise typer.Exit(EXIT_FAILED) from exc
    # Objects of the imported modules live for ever; without them a full collection takes less than a
    # millisecond instead of tens of milliseconds during which no stream moves.
    gc.collect()
    gc.freeze()
    _raise_file_limit()
    try:
        app.run()
    except Exception as exc:
        logs.log_exception(logevents.DAEMON_FAILED, exc, traceback.format_exc())
        raise typer.Exit(EXIT_FAILED) from exc
    raise typer.Exit(app.exit_status)


def _raise_file_limit() -> None:
    """Allow as many open sockets as the system lets this process have.

    The usual soft limit of 1,024 descriptors is below the connections of a busy instance.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def main() -> None:
    """Run the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
