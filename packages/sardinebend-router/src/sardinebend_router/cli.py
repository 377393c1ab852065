"""The command `sardinebend`, which runs one entry host."""

import signal
import sys
import typing

import defopt
import trio

from sardinebend_router import embedded
from sardinebend_router import engines
from sardinebend_router import errors
from sardinebend_router import host as host_lib
from sardinebend_router import logs
from sardinebend_router import services
from sardinebend_router import state as state_lib
from sardinebend_settings import documents
from sardinebend_settings import errors as settings_errors
from sardinebend_settings import hostfile
from sardinebend_settings import tree as tree_lib
from sardinebend_store import batching
from sardinebend_store import remote

EXIT_OK: typing.Final = 0
EXIT_SETTINGS: typing.Final = 2
EXIT_START: typing.Final = 3
STOP_SIGNALS: typing.Final = (signal.SIGTERM, signal.SIGINT)


def run(
    *,
    config: str | None = None,
    check: bool = False,
    port: int = embedded.DEFAULT_PORT,
) -> int:
    """Runs one entry host until SIGTERM, which begins a planned stop.

    Without a settings file, or with one that names no platform, the host runs
    on an embedded platform with one engine and one service in its process.
    Exit codes: 0 for a planned stop or valid settings, 2 for settings that
    are refused, 3 for a failed start.

    Args:
        config: The host's settings, JSON with comments.
        check: Check the settings and exit.
        port: Port of the embedded host, if there is no settings file.
    """
    try:
        host = _make_host(config, port)
    except settings_errors.SettingsError as exc:
        print(f'sardinebend: {exc}', file=sys.stderr)
        return EXIT_SETTINGS
    except errors.StartFailed as exc:
        print(f'sardinebend: {exc}', file=sys.stderr)
        return EXIT_START
    if check:
        print('the settings are valid')
        return EXIT_OK
    if config is None:
        _print_hints(port)
    try:
        with host_lib.unwrap_start_failures():
            trio.run(_run_host, host)
    except errors.StartFailed as exc:
        print(f'sardinebend: {exc}', file=sys.stderr)
        return EXIT_START
    return EXIT_OK


def _make_host(config: str | None, port: int) -> host_lib.Host:
    if config is None:
        logs.set_up('info', 'embedded')
        return embedded.make_host(port)
    cfg = hostfile.read_host_file(config)
    logs.set_up(cfg.get('log_level', 'info'), cfg['host_id'])
    if 'platform' not in cfg:
        return embedded.make_host(cfg['callers']['port'])
    platform = cfg['platform']
    deps = host_lib.Dependencies(
        batching.BatchingTable(
            remote.RemoteTable.from_url(platform['table_url'])
        ),
        remote.RemoteObjects.from_url(platform['object_url']),
        remote.RemoteHostList.from_url(platform['host_list_url']),
        make_driver,
        make_client,
    )
    secret = host_lib.read_secret(cfg['peer_secret_file'])
    tree = None
    if 'initial_tree_file' in cfg:
        document = documents.read_file(cfg['initial_tree_file'])
        tree = tree_lib.Tree.from_document(document)
    return host_lib.Host(cfg, deps, secret, tree)


def make_driver(state: state_lib.HostState) -> engines.PipelineDriver:
    """Returns a host's driver for its model engines."""
    return engines.ForwardingDriver(state.fleet, state.host_clock.fail_after)


def make_client(state: state_lib.HostState) -> services.ServiceClient:
    """Returns a host's client for the services that are not engines."""
    return services.HttpServiceClient(state.fleet, state.host_clock.fail_after)


async def _run_host(host: host_lib.Host) -> None:
    with (
        trio.open_signal_receiver(*STOP_SIGNALS) as signals,
        host.state.host_clock.noting_signals(STOP_SIGNALS),
    ):
        async with trio.open_nursery() as nursery:

            async def drain_on_signal() -> None:
                async for _ in signals:
                    host.begin_drain()

            nursery.start_soon(drain_on_signal)
            await host.run()
            nursery.cancel_scope.cancel()


def _print_hints(port: int) -> None:
    url = f'http://127.0.0.1:{port}'
    auth = f"-H 'Authorization: Bearer {embedded.CUSTOMER_KEY}'"
    print(
        f'sardinebend on {url}, with an embedded engine and service. Try:\n'
        f'  curl -N {auth} -d \'{{"model": "assistant", "prompt": "Plan a '
        f'voyage", "max_tokens": 20, "stream": true}}\' {url}/v1/completions\n'
        f"  curl {auth} -H 'Idempotency-Key: k1' -d '{{}}' "
        f'{url}/v1/services/bookings/confirm',
        file=sys.stderr,
    )


def main() -> None:
    """Runs the command."""
    sys.exit(defopt.run(run))
