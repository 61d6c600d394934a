"""Resource kinds with their validation and JSON encoding."""
