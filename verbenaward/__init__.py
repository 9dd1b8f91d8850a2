"""Verbenaward: distributes model weights across VMs while serving live requests."""

__version__ = "0.1.0"
