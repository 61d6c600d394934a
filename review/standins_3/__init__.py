"""Stand-ins of the third review: store, endpoints, clients and nodes."""
