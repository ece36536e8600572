"""Settings files of an instance."""

from pathlib import Path

from ibispaddle_core.settings import (
    FleetConfig,
    InstanceSettings,
    load_fleet,
    load_instance,
    parse_json,
)


def read_instance(path: Path) -> InstanceSettings:
    """Return the instance's settings; raise `SettingsError` or `OSError`."""
    return load_instance(parse_json(path.read_bytes(), str(path)), str(path))


def read_fleet(settings: InstanceSettings) -> FleetConfig:
    """Return the configuration of the base and overlay files; raise `SettingsError` or `OSError`."""
    layers = {}
    for layer, name in (
        ("base", settings.base_file),
        (f"site:{settings.site_name}", settings.overlay_file),
    ):
        if name:
            layers[layer] = parse_json(Path(name).read_bytes(), name)
    return load_fleet(layers)
