"""Chunk tables, the chunk store and the spread of weights between VMs."""
