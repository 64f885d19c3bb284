"""Passes over the tests that KNOWN-RED.txt lists, and over no others; a listed one that passes fails."""

from __future__ import annotations

import pytest

from tests import known_red

REDS = pytest.StashKey[tuple[known_red.Red, ...]]()


def pytest_configure(config: pytest.Config) -> None:
    path = config.rootpath / "KNOWN-RED.txt"
    try:
        config.stash[REDS] = known_red.read(path.read_text()) if path.exists() else ()
    except known_red.Unusable as bad:
        raise pytest.UsageError(str(bad)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    reds = config.stash[REDS]
    all_of_them = config.args == config.getini("testpaths") and not config.option.keyword
    if all_of_them and (names := known_red.unknown(reds, {item.nodeid for item in items})):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(names)}")
    causes = {red.test: red for red in reds}
    for item in items:
        if red := causes.get(item.nodeid):
            reason = f"{red.cause} ({red.issue})"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for red in config.stash[REDS]:
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} ({red.issue})")
