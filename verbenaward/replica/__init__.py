"""Local replica of the platform's key-value store, kept by a watch and by other processes."""
