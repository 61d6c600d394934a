"""Admin API: resources, audit trail, health and metrics."""
