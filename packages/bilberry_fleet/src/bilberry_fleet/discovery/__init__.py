"""Learn upstreams, other nodes and configuration from the platform."""
