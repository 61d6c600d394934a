"""Pass over the tests that KNOWN-RED.txt lists, and print them."""

from pathlib import Path

import pytest

LIST = Path(__file__).parent / "KNOWN-RED.txt"
ENTRY = "test: "


def known_red() -> set[str]:
    """Return the ids of the listed tests."""
    if not LIST.exists():
        return set()
    lines = LIST.read_text().splitlines()
    return {line.removeprefix(ENTRY) for line in lines if line.startswith(ENTRY)}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let exactly the listed tests fail without failing the run."""
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests."""
    for nodeid in sorted(known_red()):
        terminalreporter.write_line(f"known red: {nodeid}")
