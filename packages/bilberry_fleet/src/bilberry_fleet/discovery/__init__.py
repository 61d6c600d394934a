"""Discover upstreams, nodes and configuration through the platform."""
