"""Stand-ins for the store, endpoints, callers and the platform."""
