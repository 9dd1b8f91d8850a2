"""Steps on the stand-in of the users' platform itself."""

from behave import then, when

from standins.platform import first_outgoing_port, free_address


@when("{count:d} free addresses are given out")
def give_out(context, count):
    context.ports = [int(free_address().rpartition(":")[2]) for _ in range(count)]


@then("all ports differ and none is among those of outgoing connections")
def ports_differ(context):
    assert len(set(context.ports)) == len(context.ports)
    assert max(context.ports) < first_outgoing_port()
