"""Checked settings and manifests, and the configuration that operators have had accepted."""
