"""The serving daemon: input and output around the decisions of the policy package."""
