"""Select an upstream for each request from the load on all nodes."""
