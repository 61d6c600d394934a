"""Clocks, outcomes, registries, identifiers and shared constants."""
