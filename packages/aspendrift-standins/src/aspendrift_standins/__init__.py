"""Stand-ins for the platform services and the targets, for development only."""
