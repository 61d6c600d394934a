"""Stand-ins of the users' machines: their store, upstreams and callers."""
