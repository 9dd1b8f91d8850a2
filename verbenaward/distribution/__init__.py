"""Distribution of weights in direct mode: from the origin through entry processes to endpoints."""
