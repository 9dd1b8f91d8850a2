import asyncio

from behave import then, when

from verbenaward.waiting import is_set_within


@when("a task that waits in a loop is cancelled just as its event is set")
def cancel_with_result(context):
    async def run():
        event = asyncio.Event()

        async def loop_forever():
            while True:
                await is_set_within(event, 5.0)
                event.clear()
                await asyncio.sleep(0)

        outcomes = []
        for loop_turns in range(6):
            task = asyncio.create_task(loop_forever())
            for _ in range(3):
                await asyncio.sleep(0)
            event.set()
            for _ in range(loop_turns):
                await asyncio.sleep(0)
            task.cancel()
            done, _ = await asyncio.wait({task}, timeout=2.0)
            outcomes.append(bool(done) and task.cancelled())
            task.cancel()
        return outcomes

    context.outcomes = context.loop.run_until_complete(run())


@then("the task is cancelled")
def check_cancelled(context):
    assert context.outcomes == [True] * 6, context.outcomes


@when("a task waits for an event that is never set")
def wait_for_unset_event(context):
    async def run():
        return await is_set_within(asyncio.Event(), 0.01)

    context.was_set = context.loop.run_until_complete(run())


@then("the wait returns False")
def check_not_set(context):
    assert context.was_set is False
