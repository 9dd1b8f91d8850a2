"""Entry processes that send requests straight to backends at their own addresses."""
