"""Distribution of model weights between VMs: chunk tables, chunk store and transfers."""
