"""Command line for callers and operators, and the caller library."""
