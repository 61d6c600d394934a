"""HTTP servers of the node."""
