"""Serve callers by routes: read, place, forward and answer requests."""
