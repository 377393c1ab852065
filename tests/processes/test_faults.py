"""Faults in deployments of separate processes, with real signals."""

import contextlib
import json
import signal
import socket
import subprocess

import pytest
import trio

from sardinebend_store import errors as platform_errors
from standins import launcher
from standins import words
from tests.common import processes

LONG_PROMPT = 'Draft a long plan [150 tokens]'
VALUES = {
    'endpoint.probe_s': 0.5,
    'endpoint.connect_s': 0.5,
    'draft.stall_floor_s': 0.5,
    'service.reply_s': 2.0,
    'request.write_wait_s': 2.0,
}


@pytest.fixture(name='deployment')
def fixture_deployment(tmp_path):
    with processes.run_deployment(tmp_path, **VALUES) as deployment:
        yield deployment


async def run_draft_and_act(deployment, act, prompt=LONG_PROMPT):
    """Runs a draft and calls `act` once over 30 runs of layers are recorded."""
    caller = processes.make_callers(deployment)[0]
    drafts = []

    async def run_draft():
        drafts.append(await caller.draft(prompt, 150))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_draft)
        await processes.wait_until(
            lambda: len(processes.fetch_runs(deployment)) > 30
        )
        act()
    return drafts[0]


@pytest.mark.parametrize('stage', [1, 2, 3])
@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_an_answer_is_complete_when_an_engine_is_killed_or_frozen(
    deployment, stage, number
):
    def act():
        processes.find_busy_engine(deployment, stage).signal(number)

    draft = trio.run(run_draft_and_act, deployment, act)
    assert draft.text == words.whole_answer(LONG_PROMPT, 150)
    assert draft.error is None


def test_a_planned_stop_finishes_the_requests_in_flight(deployment):
    host = deployment.hosts[0]
    draft = trio.run(
        run_draft_and_act, deployment, lambda: host.signal(signal.SIGTERM)
    )
    assert draft.text == words.whole_answer(LONG_PROMPT, 150)
    assert processes.wait_exit(host) == 0


def test_a_request_finishes_when_its_host_stops_and_an_endpoint_leaves(
    deployment,
):
    host = deployment.hosts[0]

    def act():
        deployment.leaving |= {'e2a', host.name}
        deployment.publish_list()
        host.signal(signal.SIGTERM)

    draft = trio.run(run_draft_and_act, deployment, act)
    assert draft.text == words.whole_answer(LONG_PROMPT, 150)
    assert processes.wait_exit(host) == 0


def test_a_draining_host_refuses_requests_and_names_the_other_hosts(deployment):
    host = deployment.hosts[0]
    caller = processes.make_callers(deployment)[0]
    refused = []

    async def act_and_ask():
        draft_done = trio.Event()

        async def run_draft():
            await caller.draft(LONG_PROMPT, 150)
            draft_done.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_draft)
            await processes.wait_until(
                lambda: processes.count_running(deployment)
            )
            conn = await caller._origin.connect(5)
            host.signal(signal.SIGTERM)
            await trio.sleep(0.5)
            reply = await conn.exchange(
                'POST',
                '/v1/completions',
                caller._headers(),
                b'{"model": "assistant", "prompt": "p"}',
            )
            refused.append(json.loads(reply.body))

    trio.run(act_and_ask)
    [problem] = refused
    assert problem['outcome'] == 'not_run'
    assert problem['type'].endswith('host-draining')
    assert {item['host'] for item in problem['hosts']} == {'host-2', 'host-3'}


def test_a_leaving_endpoint_gets_no_new_requests(deployment):
    async def run():
        deployment.leaving.add('e2a')
        deployment.publish_list()
        caller = processes.make_callers(deployment)[0]
        await trio.sleep(3.0)
        for _ in range(8):
            await caller.draft('Short [3 tokens]', 10)

    trio.run(run)
    answer = launcher.fetch_json(f'{deployment.engines["e2a"].url}/records')
    assert answer['runs'] == []


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_a_booking_never_runs_twice_when_its_host_is_killed_or_frozen(
    deployment, number
):
    for service in deployment.services.values():
        processes.set_faults(service, delay_s=1.0)
    first, second, _ = processes.make_callers(deployment)
    host = deployment.hosts[0]
    answers = []

    async def run():
        async with trio.open_nursery() as nursery:

            async def book():
                # The caller of a killed host gets no answer.
                lost = contextlib.suppress(platform_errors.ExchangeFailed)
                with lost, trio.move_on_after(5):
                    await first.operate('confirm', {'x': 1}, 'key-1')

            nursery.start_soon(book)
            await trio.sleep(0.4)
            host.signal(number)
            answers.append(await second.operate('confirm', {'x': 1}, 'key-1'))
            if number == signal.SIGSTOP:
                host.signal(signal.SIGCONT)
            await trio.sleep(2.0)
            answers.append(await second.operate('confirm', {'x': 1}, 'key-1'))

    trio.run(run)
    processes.assert_no_repeated_bookings(deployment)
    status, problem = answers[0]
    assert (status, problem['outcome']) == (504, 'unknown')
    if number == signal.SIGSTOP:
        assert answers[1][0] == 200


def test_a_repeat_at_another_host_gets_the_answer_of_the_first_request(
    deployment,
):
    for service in deployment.services.values():
        processes.set_faults(service, delay_s=1.0)
    answers = []

    async def run():
        async with trio.open_nursery() as nursery:

            async def book(caller):
                answers.append(
                    await caller.operate('confirm', {'x': 1}, 'key-1')
                )

            for caller in processes.make_callers(deployment):
                nursery.start_soon(book, caller)

    trio.run(run)
    processes.assert_no_repeated_bookings(deployment)
    assert [status for status, _ in answers] == [200] * 3
    assert len({json.dumps(body) for _, body in answers}) == 1


def test_bookings_are_refused_and_drafts_served_during_a_table_outage(
    deployment,
):
    processes.set_faults(deployment.table, down=True)
    caller = processes.make_callers(deployment)[0]

    async def run():
        booking = await caller.operate('confirm', {'x': 1}, 'key-1')
        draft = await caller.draft('Short [3 tokens]', 10)
        return booking, draft

    (status, problem), draft = trio.run(run)
    assert draft.tokens == 3
    assert status in (503, 504)
    assert problem['outcome'] == 'not_run'
    assert problem['retry_after_s'] > 0
    assert processes.fetch_executions(deployment) == []


@pytest.mark.parametrize('late_s', [0.0, 1.0])
def test_a_booking_runs_once_when_a_table_reply_is_lost_or_late(
    deployment, late_s
):
    processes.set_faults(deployment.table, lose_replies=1, late_s=late_s)
    caller, other, _ = processes.make_callers(deployment)

    async def run():
        first = await caller.operate('confirm', {'x': 1}, 'key-1')
        await trio.sleep(1.5)
        return first, await other.operate('confirm', {'x': 1}, 'key-1')

    first, again = trio.run(run)
    processes.assert_no_repeated_bookings(deployment)
    assert first[0] == 200
    assert again == first


# Guards against a booking that runs again because its claim is gone.
def test_a_repeat_gets_the_answer_of_a_booking_whose_claim_the_table_lost(
    deployment,
):
    caller, other, third = processes.make_callers(deployment)

    async def run():
        first = await caller.operate('confirm', {'x': 1}, 'key-1')
        processes.lose_rows(deployment.table, 'claims/')
        # A repeat may be refused until all hosts have written claims again.
        answers = [first]
        with trio.fail_after(processes.TIMEOUT_S):
            for asked, key in ((other, 'key-1'), (third, 'key-2')):
                answer = await asked.operate('confirm', {'x': 1}, key)
                while answer[0] == 503:
                    assert answer[1]['outcome'] == 'not_run'
                    await trio.sleep(0.2)
                    answer = await asked.operate('confirm', {'x': 1}, key)
                answers.append(answer)
        return answers

    first, repeat, new = trio.run(run)
    processes.assert_no_repeated_bookings(deployment)
    assert first[0] == 200
    assert repeat == first
    assert new[0] == 200


def test_a_request_that_crashes_engines_is_quarantined_after_two(
    deployment,
):
    fatal_prompt = 'Crash it [100 tokens]'
    for engine in deployment.engines.values():
        processes.set_run_faults(engine, crash_on='Crash it')
    callers = processes.make_callers(deployment)

    async def run():
        first = await callers[0].draft(fatal_prompt, 100)
        again = [await caller.draft(fatal_prompt, 100) for caller in callers]
        return first, again

    first, again = trio.run(run)
    crashed = [
        name
        for name, engine in deployment.engines.items()
        if engine.popen.poll() is not None
    ]
    assert len(crashed) <= 2
    assert first.error['outcome'] == 'incomplete'
    assert first.error['retry_after_s'] > 0
    for draft in again:
        # Tells a report that came late from a crash that wasn't counted.
        seen = (first.error, draft.error)
        assert draft.error['type'].endswith('quarantined'), seen
        assert draft.error['outcome'] == 'not_run', seen


def test_a_fatal_request_at_all_hosts_at_once_crashes_at_most_two_engines_each(
    tmp_path,
):
    fatal_prompt = 'Crash it [100 tokens]'
    values = {**VALUES, 'retry.budget_floor': 100}
    with processes.run_deployment(tmp_path, 8, **values) as deployment:
        for engine in deployment.engines.values():
            processes.set_run_faults(engine, crash_on='Crash it')
        callers = processes.make_callers(deployment)
        trio.run(send_draft_to_all, callers, fatal_prompt)
        crashed_at_once = count_crashed(deployment)
        trio.run(send_draft_to_all, callers, fatal_prompt)
        crashed_later = count_crashed(deployment)
    print(
        f'{crashed_at_once} engines lost at once,'
        f' {crashed_later - crashed_at_once} to the resends'
    )
    assert crashed_at_once <= 2 * len(callers)
    assert crashed_later == crashed_at_once


async def send_draft_to_all(callers, prompt):
    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(caller.draft, prompt, 100)


def count_crashed(deployment):
    return sum(
        engine.popen.poll() is not None
        for engine in deployment.engines.values()
    )


def test_a_draft_is_cancelled_when_its_caller_stops_reading(deployment):
    body = json.dumps(
        {
            'model': 'assistant',
            'prompt': 'Never read [2000 tokens]',
            'max_tokens': 2000,
            'stream': True,
        }
    )
    host, port = deployment.hosts[0].url.removeprefix('http://').split(':')
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect((host, int(port)))
        key = launcher.CUSTOMER_KEYS['vanua']
        sock.sendall(
            f'POST /v1/completions HTTP/1.1\r\nHost: h\r\n'
            f'Authorization: Bearer {key}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
        )
        trio.run(wait_until_started_and_ended, deployment)
    tokens = {run[2] for run in processes.fetch_runs(deployment)}
    assert 100 < len(tokens) < 2000


async def wait_until_started_and_ended(deployment):
    await processes.wait_until(lambda: processes.count_running(deployment))
    await processes.wait_until(lambda: processes.count_running(deployment) == 0)


def test_operators_change_settings_and_the_second_of_two_changes_conflicts(
    deployment, tmp_path
):
    value = tmp_path / 'fleet.jsonc'
    value.write_text('{"draft.max_attempts": 5} // raised for the season')
    environment = {
        'SARDINEBEND_HOST': deployment.hosts[1].url,
        'SARDINEBEND_KEY': launcher.OPERATOR_KEY,
    }
    ctl = processes.find_command('sardinebendctl')

    def run_ctl(*arguments):
        return subprocess.run(
            [ctl, *arguments],
            env=environment,
            capture_output=True,
            text=True,
        )

    change = ('settings', 'set', 'values/fleet', str(value), '--why', 'season')
    first = run_ctl(*change, '--expected-version', '1', '--json')
    assert first.returncode == 0, first.stderr
    assert json.loads(first.stdout)['in_force_at'] == [
        'host-1',
        'host-2',
        'host-3',
    ]
    second = run_ctl(*change, '--expected-version', '1')
    assert second.returncode == 3
    assert 'expected version 1, found version 2' in second.stderr
    history = run_ctl('settings', 'history', '1', '--json')
    [entry] = json.loads(history.stdout)
    assert (entry['who'], entry['why']) == ('olive', 'season')
    for host in deployment.hosts:
        environment['SARDINEBEND_HOST'] = host.url
        shown = json.loads(run_ctl('settings', 'resolve', '--json').stdout)
        assert shown['values']['draft.max_attempts'] == {
            'value': 5,
            'origin': 'fleet',
        }
    refused = run_ctl('drain')
    assert refused.returncode == 6
