"""Hooks of behave: a new event loop for each scenario, and reproducible Hypothesis examples."""

import asyncio

from hypothesis import HealthCheck, settings

from verbenaward.logs import configure_logs

settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("repeatable")
configure_logs("critical")


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    # Cleanups run in reverse order, so the loop is closed after everything that needs it.
    context.add_cleanup(context.loop.close)
