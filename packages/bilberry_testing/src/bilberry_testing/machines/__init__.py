"""Simulated store and upstreams of the users' deployment."""
