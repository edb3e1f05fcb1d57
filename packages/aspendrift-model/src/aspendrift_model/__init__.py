"""The world of aspendrift as objects, its outcomes, wire messages and settings."""
