"""Settings files of an instance."""

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

    The files that they name are read too, which only makes sense on the instance's machine.
    """
    settings = load_instance(parse_json(path.read_bytes(), str(path)), str(path))
    mistakes = check_files(settings, str(path))
    if mistakes:
        raise SettingsError(mistakes)
    return settings


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
