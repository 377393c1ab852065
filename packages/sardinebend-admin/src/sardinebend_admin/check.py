"""Checks a settings tree before it is sent; calls nothing."""

from sardinebend_admin import errors
from sardinebend_admin import tree_check
from sardinebend_policy import findings
from sardinebend_settings import documents
from sardinebend_settings import errors as settings_errors


def check(file: str, *, against: str = '', json: bool = False) -> None:
    """Shows what is wrong with a settings tree, and what it changes.

    Exit codes: 0 nothing, 2 errors or an unreadable file, 8 only warnings.

    Args:
        file: File in JSON with comments that holds the tree.
        against: File that holds the tree in force, or the output of `settings
            get --json`, to show what differs.
        json: Print the result as JSON.
    """
    try:
        document = documents.read_file(file)
        in_force = documents.read_file(against) if against else None
        report = tree_check.check(document, in_force)
    except settings_errors.SettingsError as exc:
        raise errors.BadInput(str(exc)) from exc
    print(report.format(json))
    if report.exit_code == findings.EXIT_ERRORS:
        raise errors.BadInput(f'{file}: errors; nothing was sent')
    if report.exit_code == findings.EXIT_WARNINGS:
        raise errors.Questionable(f'{file}: warnings')
