"""Compares a configuration with the one in force before it is sent."""

import typing

from sardinebend_policy import catalog
from sardinebend_policy import catalog_check
from sardinebend_policy import findings

VERSION: typing.Final = 'version'


def check_version(
    cfg: catalog_check.Configuration, in_force: catalog_check.Configuration
) -> list[findings.Finding]:
    """Returns an error if hosts would ignore a configuration by its version."""
    if cfg.version > in_force.version:
        return []
    return [
        findings.Finding(
            findings.Level.ERROR,
            VERSION,
            cfg.version,
            f'more than {in_force.version}, which is in force; hosts ignore it',
        )
    ]


def list_differences(
    before: catalog_check.Configuration, after: catalog_check.Configuration
) -> list[findings.Difference]:
    """Returns the values that differ; keys of customers are hidden."""
    old, new = _flatten(before), _flatten(after)
    differences = []
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) != new.get(path):
            change = [old.get(path), new.get(path)]
            if path.endswith(' keys'):
                change = [
                    None if keys is None else f'{len(keys)} {findings.HIDDEN}'
                    for keys in change
                ]
            differences.append(findings.Difference(path, *change))
    return differences


def _flatten(cfg: catalog_check.Configuration) -> dict[str, typing.Any]:
    """Returns all values by entry and attribute."""
    entries: dict[str, typing.Any] = {'limits': cfg.limits}
    entries |= {f'route {r.host}{r.prefix}': r for r in cfg.routes}
    entries |= {f'service {s.name}': s for s in cfg.services}
    for customer in cfg.customers or ():
        entries[f'customer {customer.name}'] = customer
    values: dict[str, typing.Any] = {
        VERSION: cfg.version,
        'needs keys': cfg.customers is not None,
    }
    for entry, item in entries.items():
        for field, value in item._asdict().items():
            if isinstance(value, catalog.EngineModel):
                for name, figure in value._asdict().items():
                    values[f'{entry} {field} {name}'] = figure
            else:
                values[f'{entry} {field}'] = value
    return values
