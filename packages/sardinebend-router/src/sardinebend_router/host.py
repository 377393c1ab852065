"""Composes, starts and stops one entry host."""

import contextlib
import random
import socket
import ssl
import typing

import result
import trio

from sardinebend_peers import links
from sardinebend_policy import membership as membership_lib
from sardinebend_policy import planned_stop
from sardinebend_router import asgi
from sardinebend_router import booking
from sardinebend_router import claim_recovery
from sardinebend_router import completions
from sardinebend_router import draft_runner
from sardinebend_router import engines
from sardinebend_router import errors
from sardinebend_router import front as front_lib
from sardinebend_router import logs
from sardinebend_router import operations
from sardinebend_router import operators
from sardinebend_router import ordering
from sardinebend_router import peering as peering_lib
from sardinebend_router import services
from sardinebend_router import settings_changes
from sardinebend_router import settings_store
from sardinebend_router import state as state_lib
from sardinebend_router import watching
from sardinebend_settings import hostfile
from sardinebend_settings import tree as tree_lib
from sardinebend_store import errors as platform_errors
from sardinebend_store import store

DRAIN_POLL_S: typing.Final = 0.05
DRAIN_ANNOUNCE_S: typing.Final = 0.2
RECORD_WAIT_S: typing.Final = 5.0
START_RETRY_S: typing.Final = 1.0
START_ATTEMPTS: typing.Final = 30


class Dependencies(typing.NamedTuple):
    """The external services that a host uses, each behind an interface.

    Attributes:
        table: The platform's table service.
        objects: The platform's object store.
        host_list: The platform's host list.
        make_driver: Returns a driver for the model engines.
        make_client: Returns a client for the services that are not engines.
    """

    table: store.TableStore
    objects: store.ObjectStore
    host_list: store.HostList
    make_driver: typing.Callable[[state_lib.HostState], engines.PipelineDriver]
    make_client: typing.Callable[[state_lib.HostState], services.ServiceClient]


class Tls(typing.NamedTuple):
    """TLS settings of one host; a `None` stands for unencrypted connections."""

    files: tuple[str, str] | None = None
    peer_server: ssl.SSLContext | None = None
    peer_client: ssl.SSLContext | None = None


class Host:
    """The process of one entry host.

    Attributes:
        state: The state that the parts of the host share.
        caller_port: Port for callers; 0 until the host has bound it.
        peer_port: Port for peers; 0 until the host has bound it.
    """

    def __init__(
        self,
        cfg: hostfile.HostFile,
        deps: Dependencies,
        secret: bytes,
        initial_tree: tree_lib.Tree | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._cfg = cfg
        self._deps = deps
        self._secret = secret
        self._initial_tree = initial_tree
        self._tls = make_tls(cfg)
        self._settings = settings_store.SettingsStore(deps.table)
        self._drain_requested = trio.Event()
        self._stop_waiting = trio.Event()
        self._shutdown = trio.Event()
        self._served = trio.Event()
        self._background_tasks: watching.BackgroundTasks | None = None
        scheme = 'https' if self._tls.files else 'http'
        callers, peers = cfg['callers'], cfg['peers']
        own = membership_lib.Member(
            cfg['host_id'],
            cfg['failure_domain'],
            f'{scheme}://{callers["address"]}:{callers["port"]}',
            f'{peers["address"]}:{peers["port"]}',
        )
        self.state = state_lib.HostState(
            own,
            cfg['region'],
            tree_lib.Tree(0, {}),
            secret,
            rng or random.Random(),
        )
        self.caller_port = 0
        self.peer_port = 0

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Starts the host, serves until a planned stop, and drains."""
        caller_sock, peer_listener = self._bind()
        driver = self._deps.make_driver(self.state)
        client = self._deps.make_client(self.state)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.state.host_clock.run)
            peering = peering_lib.Peering(
                self.state, self._secret, nursery, self._tls.peer_client
            )
            server = links.PeerServer(
                peering.answer,
                self._secret,
                self._tls.peer_server,
                self.state.host_clock.fail_after,
            )
            nursery.start_soon(server.serve, peer_listener)
            self._background_tasks = watching.BackgroundTasks(
                self.state,
                self._deps.host_list,
                self._settings,
                driver,
                peering,
            )
            await self._background_tasks.poll_list()
            nursery.start_soon(peering.run_heartbeats)
            await self._load_settings(peering)
            self._background_tasks.start(nursery)
            order_sender = ordering.LoadOrderSender(
                self.state, self._deps.table, driver
            )
            nursery.start_soon(order_sender.run)
            recovery = claim_recovery.ClaimRecovery(
                self.state, self._deps.table
            )
            nursery.start_soon(recovery.run)
            platform = booking.PlatformStores(
                self._deps.table, self._deps.objects, recovery
            )
            front = self._make_front(driver, client, peering, platform, nursery)
            await nursery.start(self._serve, front, caller_sock)
            logs.get().info('started', extra={'port': self.caller_port})
            task_status.started()
            await self._drain_requested.wait()
            await self._drain(peering)
            self._shutdown.set()
            # Requests that came meanwhile still get their refusals.
            await self._served.wait()
            nursery.cancel_scope.cancel()
        await driver.close()
        logs.get().info('stopped')

    def begin_drain(self) -> None:
        """Begins a planned stop; a second call ends the wait for requests."""
        if self._drain_requested.is_set():
            self._stop_waiting.set()
        self._drain_requested.set()

    # Starting.

    def _bind(self) -> tuple[socket.socket, trio.SocketListener]:
        callers, peers = self._cfg['callers'], self._cfg['peers']
        write_wait_s = self.state.get_number('request.write_wait_s')
        try:
            caller_sock = asgi.listen(
                callers['address'], callers['port'], write_wait_s
            )
            peer_sock = asgi.listen(peers['address'], peers['port'])
        except OSError as exc:
            raise errors.StartFailed(f'{callers}, {peers}: {exc}') from exc
        self.caller_port = caller_sock.getsockname()[1]
        self.peer_port = peer_sock.getsockname()[1]
        wrapped = trio.socket.from_stdlib_socket(peer_sock)
        return caller_sock, trio.SocketListener(wrapped)

    async def _load_settings(self, peering: peering_lib.Peering) -> None:
        """Loads the newest settings from table and peers before serving."""
        for _ in range(START_ATTEMPTS):
            for member in self.state.membership.list_members():
                await peering.fetch_settings(member)
            loaded = await self._settings.load()
            if isinstance(loaded, result.Ok):
                tree = loaded.ok_value.tree
                if not tree.version and self._initial_tree is not None:
                    await self._write_first_tree(self._initial_tree)
                    continue
                self.state.settings.apply_tree(tree)
            if self.state.settings.tree.version:
                return
            await trio.sleep(START_RETRY_S)
        raise errors.StartFailed('neither the table nor a peer has settings')

    async def _write_first_tree(self, tree: tree_lib.Tree) -> None:
        author = settings_store.Author('initial', self.state.own.host_id)
        await self._settings.initialise(tree, author)

    def _make_front(
        self,
        driver: engines.PipelineDriver,
        client: services.ServiceClient,
        peering: peering_lib.Peering,
        platform: booking.PlatformStores,
        nursery: trio.Nursery,
    ) -> front_lib.Front:
        state = self.state
        return front_lib.Front(
            state,
            completions.Completions(
                state,
                draft_runner.DraftRunner(state, driver, peering.report_crashes),
            ),
            operations.Operations(
                state,
                client,
                platform,
                peering.query_claimant,
                peering.report_crashes,
                nursery,
            ),
            operators.Operators(
                state,
                self._settings,
                settings_changes.SettingsChanger(
                    state, self._settings, peering
                ),
                self.begin_drain,
            ),
        )

    async def _serve(
        self,
        front: front_lib.Front,
        sock: socket.socket,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await asgi.serve(
            front,
            sock,
            shutdown=self._shutdown,
            tls_files=self._tls.files,
            idle_wait_s=self.state.get_number('request.idle_wait_s'),
            task_status=task_status,
        )
        self._served.set()

    # Stopping.

    async def _drain(self, peering: peering_lib.Peering) -> None:
        """Waits for the open requests, then ends those that are left.

        The wait ends at the time limit or at a second stop request. What ends
        then still gets its answer and its record, and nothing begins any more.
        """
        state = self.state
        limit_s = planned_stop.drain_wait_s(
            state.get_number('hosts.drain_wait_s'),
            state.host_clock.stop_signal_late_s(),
        )
        deadline = trio.current_time() + limit_s
        state.is_draining = True
        state.membership.is_leaving = True
        logs.get().info('draining', extra={'in_flight': len(state.in_flight)})
        await peering.send_heartbeats()
        await trio.sleep(DRAIN_ANNOUNCE_S)
        if await self._wait_idle(deadline, self._stop_waiting):
            return
        state.gate.close()
        state.service_gate.close()
        for entry in list(state.in_flight.values()):
            entry.force_end()
        until = trio.current_time() + RECORD_WAIT_S
        await self._wait_idle(until, trio.Event())

    async def _wait_idle(
        self, deadline: float, interrupted: trio.Event
    ) -> bool:
        """Waits until no HTTP request is open and all outcomes are recorded.

        An HTTP request counts as open once its headers have arrived: one whose
        body is still being received is not in flight yet, and must not be cut
        off either.

        Args:
            deadline: When the wait ends, at the latest.
            interrupted: Ends the wait when it is set.

        Returns:
            Whether that was reached within the time limit.
        """
        while self._is_busy() and not interrupted.is_set():
            if trio.current_time() >= deadline:
                break
            await trio.sleep(DRAIN_POLL_S)
        return not self._is_busy()

    def _is_busy(self) -> bool:
        return bool(self.state.in_flight or self.state.open_exchanges)


def make_tls(cfg: hostfile.HostFile) -> Tls:
    """Returns the TLS contexts for the files named in the host settings."""
    files = cfg.get('tls')
    if files is None:
        return Tls()
    pair = (files['cert_file'], files['key_file'])
    ca_file = files.get('ca_file')
    try:
        server = ssl.create_default_context(
            ssl.Purpose.CLIENT_AUTH, cafile=ca_file
        )
        client = ssl.create_default_context(cafile=ca_file)
        for context in (server, client):
            context.load_cert_chain(*pair)
    except (OSError, ssl.SSLError) as exc:
        raise errors.StartFailed(f'TLS files: {exc}') from exc
    if ca_file is not None:
        server.verify_mode = ssl.CERT_REQUIRED
    return Tls(pair, server, client)


def read_secret(path: str) -> bytes:
    """Returns the secret that the entry hosts share."""
    try:
        with open(path, 'rb') as stream:
            secret = stream.read().strip()
    except OSError as exc:
        raise errors.StartFailed(f'{path}: {exc.strerror}') from exc
    if len(secret) < 16:
        raise errors.StartFailed(f'{path}: the secret needs at least 16 bytes')
    return secret


def describe_failure(exc: BaseException) -> str:
    """Describes an error in one line; for an exception group, its first one."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return f'{type(exc).__name__}: {exc}'


@contextlib.contextmanager
def unwrap_start_failures() -> typing.Iterator[None]:
    """Raises `StartFailed` for errors in the groups that nurseries raise."""
    try:
        yield
    except* errors.StartFailed as group:
        raise errors.StartFailed(describe_failure(group)) from group
    except* platform_errors.PlatformError as group:
        raise errors.StartFailed(describe_failure(group)) from group
