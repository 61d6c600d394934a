"""Test the time formats of `--since`."""

import pytest

from bilberry_ctl.arguments import parse_since

NOW_MS = 1_764_000_000_000


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("1763999999999", 1_763_999_999_999),
        ("30s", NOW_MS - 30_000),
        ("2h", NOW_MS - 7_200_000),
        ("1970-01-01T00:00:01", 1_000),
        ("1970-01-01T01:00:01+01:00", 1_000),
        ("soon", None),
        ("5w", None),
    ],
)
def test_since(text, expected):
    assert parse_since(text, NOW_MS) == expected
