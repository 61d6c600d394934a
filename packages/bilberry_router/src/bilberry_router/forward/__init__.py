"""Forward requests to upstreams."""
