"""What a check of a configuration finds, as text, JSON and exit code."""

import enum
import typing

import msgspec

EXIT_OK: typing.Final = 0
EXIT_ERRORS: typing.Final = 2
EXIT_WARNINGS: typing.Final = 8
HIDDEN: typing.Final = '(hidden)'
MAX_VALUE_CHARS: typing.Final = 80


class Level(enum.StrEnum):
    """How much a finding matters.

    Attributes:
        ERROR: Hosts refuse the configuration, or no request of the entry can
            be served.
        WARNING: An entry has no effect, or values contradict each other.
        NOTE: May be meant; doesn't change the exit code.
    """

    ERROR = 'error'
    WARNING = 'warning'
    NOTE = 'note'


class Finding(typing.NamedTuple):
    """Something that a check found.

    Attributes:
        level: How much it matters.
        path: Path of the value in the configuration.
        value: The value; keys of customers are hidden.
        allowed: What is allowed there, or what the value causes.
    """

    level: Level
    path: str
    value: typing.Any
    allowed: str


class Difference(typing.NamedTuple):
    """A value that differs from the version in force; `None` if absent."""

    path: str
    before: typing.Any
    after: typing.Any


class Report(typing.NamedTuple):
    """The result of a check.

    Attributes:
        findings: What was found, errors first.
        differences: What differs from the version in force; `None` if it isn't
            given.
    """

    findings: list[Finding]
    differences: list[Difference] | None = None

    @classmethod
    def make(
        cls,
        findings: typing.Iterable[Finding],
        differences: list[Difference] | None = None,
    ) -> 'Report':
        """Returns a report with the findings in order."""
        order = list(Level)
        return cls(
            sorted(findings, key=lambda f: order.index(f.level)), differences
        )

    @property
    def exit_code(self) -> int:
        """Exit code for scripts."""
        levels = {finding.level for finding in self.findings}
        if Level.ERROR in levels:
            return EXIT_ERRORS
        return EXIT_WARNINGS if Level.WARNING in levels else EXIT_OK

    def format(self, as_json: bool) -> str:
        """Returns the report as one JSON object, or as lines of text."""
        if as_json:
            differences = self.differences
            return msgspec.json.encode(
                {
                    'findings': [f._asdict() for f in self.findings],
                    'differences': differences
                    if differences is None
                    else [d._asdict() for d in differences],
                },
                enc_hook=repr,
            ).decode()
        lines = [
            f'{level}: {path}: {_shorten(value)}; {allowed}'
            for level, path, value, allowed in self.findings
        ]
        lines += [
            f'differs: {path}: {_shorten(before)} -> {_shorten(after)}'
            for path, before, after in self.differences or ()
        ]
        errors = sum(f.level is Level.ERROR for f in self.findings)
        warnings = sum(f.level is Level.WARNING for f in self.findings)
        lines.append(f'{errors} errors, {warnings} warnings')
        return '\n'.join(lines)


def _shorten(value: typing.Any) -> str:
    if value is None:
        return 'absent'
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARS:
        return text
    return f'{text[: MAX_VALUE_CHARS - 3]}...'
