"""Steps on what an entry process knows of the limits that backends name."""

import dataclasses
import math

from behave import given, then, when
from multidict import CIMultiDict, CIMultiDictProxy

from tests.direct_fakes import NOW, fleet_of
from verbenaward.platform.request_headers import BackendNotice, read_backend_notice

SIGNED = ("X-Server-Signature", "s")


@when('an answer with status {status:d} carries the limits "{header}"')
def answer_with(context, status, header):
    values = [("Server-Limit", part) for part in header.split(";")]
    read_answer(context, status, [*values, SIGNED])


@when('an answer with status {status:d} carries the limits ""')
def answer_without(context, status):
    read_answer(context, status, [SIGNED])


@when("an answer with status {status:d} carries neither a limit nor a signature")
def unsigned_answer(context, status):
    read_answer(context, status, [])


def read_answer(context, status, headers):
    context.notice = read_backend_notice(status, CIMultiDictProxy(CIMultiDict(headers)))


@then("the limit is read as {limit}")
def read_as(context, limit):
    notice = context.notice
    if limit == "malformed":
        assert notice.limit_per_second is None and notice.malformed_limit, notice
        return
    expected = {"none": math.inf, "not shown": None}.get(limit, limit)
    expected = expected if expected is None else float(expected)
    assert notice.limit_per_second == expected and not notice.malformed_limit, notice


def record(context, limit, sent_at, now, malformed=""):
    notice = BackendNotice(False, 0.0, limit, malformed)
    context.fleet.record_notice(context.view, notice, sent_at, now, 0.0)


@given("a backend that has named a limit of {limit:g} a second")
def has_named(context, limit):
    context.fleet = fleet_of(1)
    context.view = context.fleet.backends["e-0"]
    record(context, limit, NOW - 0.2, NOW)


@when("it names a malformed limit")
def names_malformed(context):
    record(context, None, NOW + 1, NOW + 2, "few")


@when("an answer without a limit comes to a request sent before")
def ends_before(context):
    record(context, math.inf, NOW - 0.1, NOW + 0.1)


@when("an answer without a limit comes to a request sent afterwards")
def ends_after(context):
    record(context, math.inf, NOW + 1, NOW + 1.2)


@when("a peer reports the limit of {limit:g} a second that was named before")
def peer_reports(context, limit):
    context.view.notices.limit.record_report(limit, NOW + 0.5)


@when("a new incarnation of it registers")
def new_incarnation(context):
    backend = context.view.backend
    context.fleet.put(dataclasses.replace(backend, born_unix_ms=backend.born_unix_ms + 1), NOW)
    context.view = context.fleet.backends["e-0"]


@then("its limit is {limit:g} a second")
def limit_is(context, limit):
    assert context.view.notices.limit.per_second == limit


@then("it has no limit")
def no_limit(context):
    assert not context.view.notices.limit.is_limited
