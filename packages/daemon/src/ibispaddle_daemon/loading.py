"""Loading of an instance's settings files."""

from pathlib import Path

from ibispaddle_core.settings import (
    FleetConfig,
    InstanceSettings,
    SettingsError,
    load_fleet,
    load_instance,
    parse_json,
)

from .tls import check_files


def read_instance(path: Path) -> InstanceSettings:
    """Return the instance's settings; raise `SettingsError` or `OSError`.

    The files that the settings refer to are checked too, so this must run on the instance's machine.
    """
    settings = load_instance(parse_json(path.read_bytes(), str(path)), str(path))
    messages = check_files(settings, str(path))
    if messages:
        raise SettingsError(messages)
    return settings


def read_fleet(settings: InstanceSettings) -> FleetConfig:
    """Return the configuration from the base and overlay files; raise `SettingsError` or `OSError`."""
    layers = {}
    for layer, name in (
        ("base", settings.base_file),
        (f"site:{settings.site_name}", settings.overlay_file),
    ):
        if name:
            layers[layer] = parse_json(Path(name).read_bytes(), name)
    return load_fleet(layers)
