"""Membership of the processes: heartbeats, failure detection and gossip."""
