"""What the platform's store says, as one process knows it."""
