"""The gateway: routes opaque requests to pools of targets, with stages before them."""
