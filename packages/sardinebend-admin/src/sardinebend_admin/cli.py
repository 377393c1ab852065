"""The command `sardinebendctl`.

Exit codes: 0 success, 1 refused, 2 invalid input, 3 conflict with a change of
another operator, 4 host or table unavailable, 5 outcome unknown, 6 not
confirmed, 7 not found, 8 warnings.
"""

import sys

import defopt

from sardinebend_admin import check
from sardinebend_admin import commands
from sardinebend_admin import errors
from sardinebend_admin import explain
from sardinebend_admin import simulate
from sardinebend_admin import status

COMMANDS = {
    'settings': {
        'get': commands.get,
        'set': commands.set_node,
        'remove': commands.remove,
        'diff': commands.diff,
        'apply': commands.apply,
        'history': commands.history,
        'resolve': commands.resolve,
    },
    'hosts': commands.hosts,
    'endpoints': commands.endpoints,
    'routes': commands.routes,
    'requests': commands.requests,
    'drain': commands.drain,
    'explain': explain.explain,
    'simulate': simulate.simulate,
    'status': status.status,
    'check': check.check,
}


def main() -> None:
    """Runs the command and exits with the code of its error, if any."""
    try:
        defopt.run(COMMANDS)
    except errors.AdminError as exc:
        print(f'sardinebendctl: {exc}', file=sys.stderr)
        sys.exit(exc.exit_code)
