"""Choose the upstream of one request from what all nodes have in flight."""
