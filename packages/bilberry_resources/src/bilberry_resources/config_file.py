"""Represent a configuration with the places of its resources."""

from dataclasses import dataclass

from .routing import RoutingConfig


@dataclass(slots=True, frozen=True)
class ResourceLabel:
    """Name one item of the stored list by its resource and name."""

    resource: str
    name: str


@dataclass(slots=True, frozen=True)
class ConfigFile:
    """Represent a decoded configuration file.

    `labels` has one entry for each item of the stored list, which is at
    `list_path` in the file.
    """

    config: RoutingConfig
    labels: tuple[ResourceLabel, ...]
    list_path: tuple[str, ...]
