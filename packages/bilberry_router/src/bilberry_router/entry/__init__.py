"""Accept callers' requests and forward them to upstreams by routes."""
