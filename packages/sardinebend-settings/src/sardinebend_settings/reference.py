"""Renders the reference page of all settings."""

import inspect
import typing

from sardinebend_settings import hostfile
from sardinebend_settings import keys
from sardinebend_settings import tree

_DOCUMENTED_TYPES: typing.Final = (
    ('Host file', hostfile.HostFile),
    ('Host file: `callers`, `peers`', hostfile.Listen),
    ('Host file: `platform`', hostfile.Platform),
    ('Host file: `tls`', hostfile.Tls),
    ('Node `customers/NAME`', tree.Customer),
    ('Node `operators/NAME`', tree.Operator),
    ('Node `routes/NAME`', tree.Route),
    ('Node `services/NAME`', tree.Service),
    ('Node `services/NAME`: each of `operations`', tree.Operation),
    ('Node `endpoints/NAME`', tree.Endpoint),
)


def render_reference() -> str:
    """Returns the page in Markdown."""
    lines = [
        '# Settings reference',
        '',
        'Written by `make reference` from the declarations in the package',
        '`sardinebend_settings`.',
        '',
        '## Inheritable keys: nodes `values/SCOPE`',
        '',
        'Every key can be set at any scope; a value is inherited by the scopes',
        'below unless one sets its own.',
        '',
        '| key | default | allowed | unit | purpose |',
        '| --- | --- | --- | --- | --- |',
    ]
    lines += [_render_key(key) for key in sorted(keys.KEYS.values())]
    for title, typed_dict in _DOCUMENTED_TYPES:
        lines += ['', f'## {title}', '', *_render_typed_dict(typed_dict)]
    return '\n'.join(lines) + '\n'


def _render_key(key: keys.Key) -> str:
    if key.choices:
        allowed = ', '.join(key.choices)
    elif isinstance(key.default, bool):
        allowed = 'true, false'
    else:
        allowed = f'{key.low:g} to {key.high:g}'
    return (
        f'| `{key.name}` | {key.default} | {allowed} | {key.unit} '
        f'| {key.purpose} |'
    )


def _render_typed_dict(typed_dict: typing.Any) -> list[str]:
    """Returns a typed dict's keys, with the meanings from its docstring."""
    summary, _, rest = (inspect.getdoc(typed_dict) or '').partition('\n\n')
    docs = _parse_attributes(rest)
    lines = [
        ' '.join(summary.split()),
        '',
        '| key | type | required | meaning |',
        '| --- | --- | --- | --- |',
    ]
    for name, hint in typing.get_type_hints(typed_dict).items():
        required = 'yes' if name in typed_dict.__required_keys__ else 'no'
        type_name = _render_type(hint)
        lines.append(
            f'| `{name}` | {type_name} | {required} | {docs.get(name, "")} |'
        )
    return lines


def _parse_attributes(text: str) -> dict[str, str]:
    """Returns the entries of a docstring's section `Attributes` by name."""
    docs: dict[str, str] = {}
    name = ''
    for line in text.splitlines()[1:]:
        if line.startswith('    ') and not line.startswith('     '):
            name, _, doc = line.strip().partition(': ')
            docs[name] = doc
        elif name:
            docs[name] += f' {line.strip()}'
    return docs


def _render_type(hint: typing.Any) -> str:
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin is typing.Literal:
        return ' or '.join(f'`{item}`' for item in args)
    if origin is list:
        return f'list of {_render_type(args[0])}'
    if origin is dict:
        return f'object of {_render_type(args[1])}'
    if typing.is_typeddict(hint):
        return 'object'
    names = {str: 'text', int: 'whole number', float: 'number', bool: 'bool'}
    return names.get(hint, str(hint))
