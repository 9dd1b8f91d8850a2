"""Steps on operating the direct mode: settings, log lines, explanations."""

import json
import re
import tempfile
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from typer.testing import CliRunner

import verbenaward
from verbenaward import direct_service
from verbenaward.configuration.settings import load_settings
from verbenaward.ctl.log_analysis import find_log_faults
from verbenaward.ctl.main import application
from verbenaward.direct_service import DirectService
from verbenaward.events import DIRECT_EVENTS, PROXIED_EVENTS

SETTINGS = {
    "format": 1,
    "role": "entry",
    "vm": "entry-1",
    "region": "norte",
    "zone": "norte-a",
    "listen": "127.0.0.1:7999",
    "platform": {"key_value": "http://127.0.0.1:1", "key_value_adapter": "leased"},
    "direct": {"front": "127.0.0.1:8999", "version_seconds": 8, "retry_extra": 100},
}


def settings_with(section, **values):
    return json.dumps({**SETTINGS, section: {**SETTINGS[section], **values}})


FAULTS = {
    "cannot be read": lambda: "{",
    "names another vm": lambda: json.dumps({**SETTINGS, "vm": "entry-2"}),
    "lacks its section": lambda: json.dumps(
        {name: value for name, value in SETTINGS.items() if name != "direct"}
    ),
    "names another store": lambda: settings_with("platform", key_value="http://127.0.0.1:2"),
    "changes direct.front": lambda: settings_with("direct", front="127.0.0.1:9000"),
    "changes direct.readiness": lambda: settings_with("direct", readiness="127.0.0.1:9000"),
    "changes direct.directory": lambda: settings_with("direct", directory="127.0.0.1:9000"),
    "changes direct.engine": lambda: settings_with("direct", engine="127.0.0.1:9000"),
}

DIRECT_FOLDERS = ("direct", "distribution", "placement", "replica", "weight_loading")
"""Packages of the direct mode."""
SERVICE_MODULES = ("connections.py", "direct_service.py", "service_loop.py")
"""Modules beside these packages that write lines in direct mode."""


@given("a daemon of the direct mode with its settings file")
def daemon(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = Path(folder.name) / "entry.json"
    context.file.write_text(json.dumps(SETTINGS))
    settings = load_settings(context.file).value
    assert settings is not None
    context.applied = []
    context.service = DirectService(settings=settings, settings_file=context.file)
    context.service.role = SimpleNamespace(
        reload=lambda settings, direct: context.applied.append(direct)
    )


@when("the version bound and the extra retries change in the file and the daemon reloads it")
def change(context):
    direct = {**SETTINGS["direct"], "version_seconds": 9.5, "retry_extra": 240}
    context.file.write_text(json.dumps({**SETTINGS, "direct": direct}))
    context.service.reload()


@then("they are in force")
def in_force(context):
    (direct,) = context.applied
    assert (direct.version_seconds, direct.retry_extra) == (9.5, 240)
    assert context.service.settings.direct == direct


@when("the file is changed so that it {fault} and the daemon reloads it")
def break_settings(context, fault):
    context.before = context.service.settings
    context.file.write_text(FAULTS[fault]())
    with mock.patch.object(direct_service, "LOG") as context.log:
        context.service.reload()


@then("the former settings are still in force")
def unchanged(context):
    assert not context.applied and context.service.settings is context.before


@then('the log line of the reload has the outcome "{outcome}" and names {setting}')
def reload_logged(context, outcome, setting):
    context.log.info.assert_not_called()
    ((_, values),) = context.log.error.call_args_list
    assert values.pop("outcome") == outcome
    assert re.search(rf"\b{setting}\b", str(values)), values


@when("the log events are collected from the modules of direct mode")
def written_events(context):
    root = Path(verbenaward.__file__).parent
    files = [path for folder in DIRECT_FOLDERS for path in (root / folder).rglob("*.py")]
    texts = [path.read_text() for path in (*files, *(root / name for name in SERVICE_MODULES))]
    context.events = {
        name
        for text in texts
        for name in re.findall(r'^\s+"([a-z_]+\.[a-z-]+)",$|LOG\.\w+\(\s*"([a-z_.-]+)"', text, re.M)
        for name in name
        if name
    }

    context.events |= {"request.resumed", "request.cancelled", "request.answered"}
    context.events.add("library.message")
    context.schema = DIRECT_EVENTS


@when("the log events are collected from the modules of proxied mode")
def written_proxied_events(context):
    root = Path(verbenaward.__file__).parent
    direct = (*DIRECT_FOLDERS, "direct_service.py")
    context.events = {
        event
        for path in root.rglob("*.py")
        if path.relative_to(root).parts[0] not in direct
        for event in re.findall(r'LOG\.\w+\(\s*"([^"]+)"', path.read_text())
    } | {"library.message"}
    context.schema = PROXIED_EVENTS


@then("they are those of the schema")
def events_match(context):
    assert context.events == set(context.schema), context.events ^ set(context.schema)


def line(second, vm, event, **values):
    at = f"2026-12-04T10:00:{second:06.3f}+00:00"
    return json.dumps({"timestamp": at, "vm": vm, "role": "entry", "event": event, **values})


@given("the logs of two processes with a refused and an answered request and a truncated line")
def logs(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    one, two = Path(folder.name) / "one.log", Path(folder.name) / "two.log"
    refused = {"request": "r-1", "route": "chat", "reason": "overload", "verdict": "not-run"}
    sent = {"route": "chat", "registered": 5, "running": 3, "expected_ms": 90, "version": 1}
    one.write_text(
        "\n".join(
            (
                line(2.5, "entry-1", "request.refused", **refused, status=503, message="full",
                     retry_after=1.2, expected_ms=620, allowed_ms=404),
                line(1.0, "entry-1", "request.sent", request="r-2", backend="e-1", sends=0, **sent),
                line(1.1, "entry-1", "request.failed", request="r-2", backend="e-1",
                     failure="broken", may_have_run=True, message="reset"),
                line(1.4, "entry-1", "request.answered", request="r-2", status=200, sends=2,
                     first_ms=300),
                line(1.2, "entry-1", "backend.gone"),
                '{"timestamp": "2026-12-04T10:00:',
            )
        )
        + "\n"
    )  # fmt: skip
    two.write_text(
        "12:00 entry-2 "
        + line(2.0, "entry-2", "request.sent", request="r-1", backend="e-2", sends=0, **sent)
        + "\n"
    )
    context.logs = [one, two]


@when("the {which} request is explained")
def explain(context, which):
    request = {"refused": "r-1", "answered": "r-2"}[which]
    command = ["explain", request, *map(str, context.logs), "--json"]
    result = CliRunner().invoke(application, command)
    assert result.exit_code == 0, result.output
    context.explanation = json.loads(result.output)


@then("its lines come in order and the cause names the expected and the allowed time")
def refused_cause(context):
    assert [line["event"] for line in context.explanation["lines"]] == [
        "request.sent",
        "request.refused",
    ]
    assert "620 ms" in context.explanation["cause"] and "404 ms" in context.explanation["cause"]


@then("the cause names the backend that failed before")
def answered_cause(context):
    assert "e-1" in context.explanation["cause"] and "reset" in context.explanation["cause"]


@when("the logs are checked")
def check(context):
    context.faults = list(find_log_faults(context.logs))


@then("the truncated line and the line without its fields are found")
def found(context):
    assert [fault.message for fault in context.faults] == [
        "missing fields: backend",
        "not a log line of a daemon, or truncated",
    ]


@given("a log of the proxied mode in which one line lacks a field")
def proxied_log(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    log = Path(folder.name) / "entry.log"
    lines = (
        line(1.0, "entry-1", "daemon.started", role="entry", listen="127.0.0.1:7999"),
        line(1.1, "entry-1", "configuration.in_force", revision=7, source="watch"),
        line(1.2, "entry-1", "request.failed", path="/v1/models", error="KeyError('x')"),
        line(1.3, "engine-1", "order.failed", kind="load", error="timeout"),
        line(1.4, "engine-1", "drain.started", in_flight=2),
    )
    log.write_text("\n".join(lines) + "\n")
    context.logs = [log]


@then("only the line without its field is found")
def only_incomplete(context):
    found = [(fault.path, fault.message) for fault in context.faults]
    assert found == [("order.failed", "missing fields: release")], found
