"""Keep the requests of each workspace within its quota over all nodes."""
