"""Which processes exist, where they are and whether they are alive."""
