"""Print the JSON Schema of the settings, for editors."""

from enum import StrEnum

import msgspec
from ibispaddle_core.settings import FleetConfig, InstanceSettings

from ..output import print_json


class Document(StrEnum):
    """A kind of settings document."""

    FLEET = "fleet"
    INSTANCE = "instance"


def command(document: Document = Document.FLEET) -> None:
    """Print the JSON Schema of a settings document.

    Example: ibispaddle schema fleet > fleet.schema.json
    """
    model = FleetConfig if document is Document.FLEET else InstanceSettings
    print_json(msgspec.json.schema(model))
