"""Steps on the pauses that sources and the key-value service ask for."""

from types import SimpleNamespace

from behave import then, when

from verbenaward.platform import key_value_http, sources


@when('a source of weights and the key-value service refuse with the pause "{value}"')
def refuse(context, value):
    async def no_pieces():
        for piece in ():
            yield piece

    response = SimpleNamespace(
        status=503,
        headers={"Retry-After": value},
        method="GET",
        content_length=0,
        content=SimpleNamespace(iter_any=no_pieces),
    )

    async def parse():
        return [await module.parse_error(response) for module in (sources, key_value_http)]

    context.errors = context.loop.run_until_complete(parse())


@then("both errors name a pause of {seconds:g} s")
def named(context, seconds):
    pauses = [error.retry_after_seconds for error in context.errors]
    assert pauses == [seconds, seconds], pauses
