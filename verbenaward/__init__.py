"""Weight distribution for bursts: spreads model weights while live requests flow."""

__version__ = "0.1.0"
