"""The operator command line and the caller library."""
