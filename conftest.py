"""Marks known failures and prints them; groups tests for parallel workers."""

import pathlib
import typing

import pytest

KNOWN_RED_FILE: typing.Final = pathlib.Path(__file__).with_name('KNOWN-RED.txt')
_TEST_PREFIX: typing.Final = 'test:'
# Tests below this folder start processes and measure real time.
_PROCESSES_FOLDER: typing.Final = KNOWN_RED_FILE.with_name('tests') / (
    'processes'
)
_PROCESSES_GROUP: typing.Final = 'processes'


def read_known_red(text: str) -> list[str]:
    """Returns the test IDs in the text of a KNOWN-RED.txt file."""
    return [
        line.removeprefix(_TEST_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(_TEST_PREFIX)
    ]


def _list_known_red() -> list[str]:
    return (
        read_known_red(KNOWN_RED_FILE.read_text())
        if KNOWN_RED_FILE.exists()
        else []
    )


# Before the plugin that reads the groups.
@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests so that they run but may fail.

    A worker runs all tests of a file, one after another; a single one runs all
    that start processes. They take longest, so they come first.
    """
    known = set(_list_known_red())
    items.sort(key=lambda item: not _starts_processes(item))
    for item in items:
        group = item.nodeid.partition('::')[0]
        if _starts_processes(item):
            group = _PROCESSES_GROUP
        item.add_marker(pytest.mark.xdist_group(group))
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=False)
            )


def _starts_processes(item: pytest.Item) -> bool:
    return _PROCESSES_FOLDER in item.path.parents


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the IDs of the listed tests."""
    for name in _list_known_red():
        terminalreporter.write_line(f'known red, see KNOWN-RED.txt: {name}')
