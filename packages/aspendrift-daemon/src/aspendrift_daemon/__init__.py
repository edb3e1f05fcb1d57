"""The serving daemon: the input and output around the decisions."""
