"""Test that the settings page documents exactly the settings."""

import typing
from pathlib import Path

import msgspec

from bilberry_router.settings import Settings

PAGE = Path(__file__).parents[2] / "docs/operate/settings.md"


def field_names(model, prefix=""):
    hints = typing.get_type_hints(model)
    for field in msgspec.structs.fields(model):
        hint = hints[field.name]
        if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
            yield from field_names(hint, f"{prefix}{field.name}.")
        else:
            yield prefix + field.name


def test_the_page_has_exactly_the_settings_that_exist():
    rows = [r for r in PAGE.read_text().splitlines() if r.startswith("| `")]
    assert sorted(row.split("`")[1] for row in rows) == sorted(field_names(Settings))
