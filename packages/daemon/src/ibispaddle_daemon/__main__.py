"""Command line of `ibispaddled`."""

import sys
import traceback
from pathlib import Path
from typing import Annotated

import typer
from ibispaddle_core import logevents
from ibispaddle_core.settings import SettingsError

from . import absl_logs, logs
from .app import App
from .loading import read_fleet, read_instance
from .process import EXIT_FAILED, run_process

EXIT_SETTINGS = 2


def run(
    settings: Annotated[Path, typer.Option(help="Settings file of this instance.")],
    check: Annotated[bool, typer.Option("--check", help="Check the settings and exit.")] = False,
) -> None:
    """Run one ibispaddle instance."""
    try:
        instance = read_instance(settings)
        absl_logs.configure(instance.instance_id)
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
    status = run_process(app.run)
    raise typer.Exit(status or app.exit_status)


def main() -> None:
    """Run the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
