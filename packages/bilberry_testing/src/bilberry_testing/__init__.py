"""Simulated services and helpers for tests."""
