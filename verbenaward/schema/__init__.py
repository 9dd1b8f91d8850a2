"""Generated records of settings, manifests and messages."""
