"""Settings, manifests and the accepted configuration."""
