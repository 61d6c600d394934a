"""Membership of the fleet and distribution of configuration."""
