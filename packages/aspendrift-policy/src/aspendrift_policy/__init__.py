"""Every decision of aspendrift: pure functions of state, event and time."""
