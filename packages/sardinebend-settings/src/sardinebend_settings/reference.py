"""Writes the reference page of all inheritable keys."""

from sardinebend_settings import keys


def render_reference() -> str:
    """Returns the page in Markdown."""
    lines = [
        '# Settings reference',
        '',
        'Written by `make reference` from the declarations in',
        '`sardinebend_settings.keys`. Every key can be set at any scope; a',
        'value is inherited by the scopes below unless one sets its own.',
        '',
        '| key | default | allowed | unit | purpose |',
        '| --- | --- | --- | --- | --- |',
    ]
    for key in sorted(keys.KEYS.values()):
        if key.choices:
            allowed = ', '.join(key.choices)
        elif isinstance(key.default, bool):
            allowed = 'true, false'
        else:
            allowed = f'{key.low:g} to {key.high:g}'
        lines.append(
            f'| `{key.name}` | {key.default} | {allowed} | {key.unit} '
            f'| {key.purpose} |'
        )
    return '\n'.join(lines) + '\n'
