"""Entry point of `ibispaddle`."""

import sys

import typer

from .commands import (
    check,
    config_apply,
    config_check_change,
    config_diff,
    config_history,
    config_restart,
    config_show,
    config_wait,
    evacuate,
    evacuations,
    instances,
    order,
    quarantine_lift,
    quarantine_list,
    reference,
    restore,
    schema,
    trace,
    upstreams,
    upstreams_drain,
    upstreams_restore,
    usage,
    workspaces,
)
from .exceptions import ClientError, ExitStatus

app = typer.Typer(
    name="ibispaddle",
    help="Check settings and operate a fleet of ibispaddle instances.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
config_app = typer.Typer(help="Show, compare and change the configuration.", no_args_is_help=True)
app.add_typer(config_app, name="config")
quarantine_app = typer.Typer(help="Show and lift quarantined requests.", no_args_is_help=True)
app.add_typer(quarantine_app, name="quarantine")
upstreams_app = typer.Typer(help="Show upstreams; drain or restore one.")
app.add_typer(upstreams_app, name="upstreams")

app.command("check")(check.command)
app.command("schema")(schema.command)
app.command("reference", hidden=True)(reference.command)
config_app.command("show")(config_show.command)
config_app.command("diff")(config_diff.command)
config_app.command("check-change")(config_check_change.command)
config_app.command("apply")(config_apply.command)
config_app.command("history")(config_history.command)
config_app.command("restart")(config_restart.command)
config_app.command("wait")(config_wait.command)
app.command("instances")(instances.command)
upstreams_app.callback(invoke_without_command=True)(upstreams.command)
upstreams_app.command("drain")(upstreams_drain.command)
upstreams_app.command("restore")(upstreams_restore.command)
app.command("evacuate")(evacuate.command)
app.command("restore")(restore.command)
app.command("evacuations")(evacuations.command)
app.command("order")(order.command)
app.command("usage")(usage.command)
app.command("trace")(trace.command)
app.command("workspaces")(workspaces.command)
quarantine_app.command("list")(quarantine_list.command)
quarantine_app.command("lift")(quarantine_lift.command)


def main() -> None:
    """Run the command line; report a `ClientError` without a stack trace."""
    try:
        app()
    except ClientError as exc:
        typer.echo(f"ibispaddle: {exc}", err=True)
        sys.exit(exc.status)
    except BrokenPipeError:
        sys.exit(ExitStatus.OK)


if __name__ == "__main__":
    main()
