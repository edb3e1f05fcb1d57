"""Domain types, request outcomes, wire messages and settings of aspendrift."""
