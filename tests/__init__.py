"""Tests of verbenaward: features for behave, with hypothesis inside the steps."""
