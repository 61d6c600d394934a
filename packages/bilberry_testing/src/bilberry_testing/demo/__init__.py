"""Demo of a complete deployment on one machine."""
