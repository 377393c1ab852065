"""Demonstration: sends one request of each kind through separate processes.

Exits with status 1 if an outcome is wrong.
"""

import contextlib
import pathlib
import sys
import tempfile
import typing

import defopt
import trio

from standins import caller as caller_lib
from standins import launcher
from standins import records
from standins import words

PROMPT: typing.Final = 'Draft a voyage plan for cage 14 [40 tokens]'
LONG_PROMPT: typing.Final = 'Summarise all hazard sheets [400 tokens]'
CANCEL_AFTER_TOKENS: typing.Final = 5


class Report:
    """Prints each outcome and counts the wrong ones."""

    def __init__(self) -> None:
        self.wrong = 0

    def note(self, name: str, passed: bool, detail: object) -> None:
        """Prints one outcome."""
        self.wrong += not passed
        print(f'{"ok   " if passed else "WRONG"} {name}: {detail}')


async def show(deployment: launcher.Deployment, report: Report) -> None:
    """Sends one request of each kind and checks its outcome."""
    key = launcher.CUSTOMER_KEYS['vanua']
    first, second, third = [
        caller_lib.Caller(host.url, key) for host in deployment.hosts
    ]
    status, hosts = await first.call('GET', '/v1/hosts')
    addresses = [item['address'] for item in hosts['hosts']]
    report.note('hosts', status == 200 and len(addresses) == 3, addresses)
    await show_draft(first, report)
    status, found = await second.operate('lookup', {'drum': 7})
    report.note('lookup', status == 200, found)
    booking = {'cage': 14, 'slot': '2026-12-05T06:00'}
    status, booked = await second.operate('confirm', booking, 'booking-1')
    report.note('booking', status == 200, booked)
    status, repeated = await third.operate('confirm', booking, 'booking-1')
    detail = f'{status} {repeated}'
    report.note('repeat elsewhere', (status, repeated) == (200, booked), detail)
    status, problem = await first.operate('confirm', {'x': 1}, 'booking-1')
    report.note('key reused', status == 422, problem['type'])
    await show_cancel(third, deployment, report)


async def show_draft(caller: caller_lib.Caller, report: Report) -> None:
    """Streams a draft through three stages and checks its text."""
    draft = await caller.draft(PROMPT, 100)
    is_complete = draft.text == words.whole_answer(PROMPT, 100)
    detail = f'{draft.tokens} tokens, {draft.text[:30]}...'
    report.note('draft', is_complete and draft.tokens == 40, detail)


async def show_cancel(
    caller: caller_lib.Caller,
    deployment: launcher.Deployment,
    report: Report,
) -> None:
    """Disconnects early and checks that all engines stop the draft."""
    draft = await caller.draft(LONG_PROMPT, 400, CANCEL_AFTER_TOKENS)
    running = -1
    with trio.move_on_after(5):
        while running:
            await trio.sleep(0.1)
            running = sum(
                launcher.fetch_json(f'{engine.url}/records')['running']
                for engine in deployment.engines.values()
            )
    tokens_run = max(
        record[2] + 1
        for record in fetch_token_records(deployment)
        if record[0] == draft.request_id
    )
    detail = (
        f'left after {CANCEL_AFTER_TOKENS} tokens; {tokens_run} of 400 computed'
    )
    report.note('cancel', running == 0 and tokens_run < 400, detail)


def fetch_token_records(
    deployment: launcher.Deployment,
) -> list[records.TokenRecord]:
    """Returns the token records of all engines."""
    return [
        tuple(record)
        for engine in deployment.engines.values()
        for record in launcher.fetch_json(f'{engine.url}/records')['runs']
    ]


def check_records(deployment: launcher.Deployment, report: Report) -> None:
    """Checks the records of all engines and services."""
    first_attempts = [
        record for record in fetch_token_records(deployment) if record[1] == 1
    ]
    requests = {record[0] for record in first_attempts}
    first_request = [
        record for record in first_attempts if record[0] == first_attempts[0][0]
    ]
    violations = records.check_layers(first_request, launcher.LAYERS)
    detail = (
        violations or f'{len(first_attempts)} runs of {len(requests)} requests'
    )
    report.note('layers', not violations, detail)
    executions = [
        execution
        for service in deployment.services.values()
        for execution in launcher.fetch_json(f'{service.url}/records')
    ]
    violations = records.check_once(executions)
    report.note(
        'each booking executed once',
        not violations,
        violations or f'{len(executions)} calls',
    )


def main(*, keep_logs: str | None = None) -> None:
    """Runs the demonstration.

    Args:
        keep_logs: Folder for the processes' logs; a temporary one by default.
    """
    with contextlib.ExitStack() as stack:
        folder = keep_logs or stack.enter_context(tempfile.TemporaryDirectory())
        pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
        deployment = stack.enter_context(
            launcher.Deployment(pathlib.Path(folder))
        )
        report = Report()
        trio.run(show, deployment, report)
        check_records(deployment, report)
    print(f'{report.wrong} wrong')
    sys.exit(1 if report.wrong else 0)


if __name__ == '__main__':
    defopt.run(main)
