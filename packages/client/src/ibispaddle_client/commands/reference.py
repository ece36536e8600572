"""Print a reference page of the documentation."""

from enum import StrEnum

import typer

from ..reference import log_events_page, settings_page


class Page(StrEnum):
    """A generated reference page."""

    SETTINGS = "settings"
    LOG_EVENTS = "log-events"


PAGES = {Page.SETTINGS: settings_page, Page.LOG_EVENTS: log_events_page}


def command(page: Page) -> None:
    """Print a reference page in Markdown.

    Example: ibispaddle reference settings > docs/ref/settings.md
    """
    typer.echo(PAGES[page](), nl=False)
