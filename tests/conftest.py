"""Expects the tests that KNOWN-RED.txt lists to fail; a listed test that passes fails the run."""

from __future__ import annotations

import pytest

from tests import known_red

KNOWN_FAILURES = pytest.StashKey[tuple[known_red.KnownFailure, ...]]()


def pytest_configure(config: pytest.Config) -> None:
    """Reads the list."""
    path = config.rootpath / "KNOWN-RED.txt"
    try:
        config.stash[KNOWN_FAILURES] = known_red.parse(path.read_text()) if path.exists() else ()
    except known_red.InvalidList as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures. A run of the whole suite must contain all of them."""
    failures = config.stash[KNOWN_FAILURES]
    whole_suite = config.args == config.getini("testpaths") and not config.option.keyword
    if whole_suite and (unknown_tests := known_red.unknown(failures, {item.nodeid for item in items})):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(unknown_tests)}")
    by_test = {failure.test: failure for failure in failures}
    for item in items:
        if failure := by_test.get(item.nodeid):
            reason = f"{failure.cause} ({failure.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Prints the listed tests with cause and issue."""
    for failure in config.stash[KNOWN_FAILURES]:
        terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} ({failure.issue})")
