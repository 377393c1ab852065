"""Runs the stand-ins and entry hosts of a small deployment as processes."""

import contextlib
import json
import os
import pathlib
import secrets
import socket
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request

from sardinebend_router import auth
from standins import ports

DOMAINS: typing.Final = ('lautoka', 'nadi', 'ba')
REGION: typing.Final = 'viti-west'
LAYERS: typing.Final = 12
STAGES: typing.Final = 3
READY_TIMEOUT_S: typing.Final = 30.0
STOP_TIMEOUT_S: typing.Final = 10.0
CUSTOMER_KEYS: typing.Final = {'vanua': 'vanua-key', 'nile': 'nile-key'}
OPERATOR_KEY: typing.Final = 'operator-key'


class Process:
    """A child process that serves HTTP.

    Attributes:
        name: Name of the process and of its log file.
        url: Base URL.
        popen: The running or ended process.
    """

    def __init__(
        self, name: str, url: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        self.name = name
        self.url = url
        self._arguments = arguments
        self._log = log
        self.popen = self._start()

    def _start(self) -> subprocess.Popen:
        with self._log.open('ab') as stream:
            return subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
            )

    def restart(self) -> None:
        """Waits for the process to end and starts it again.

        The process must already be ending, for instance after a signal;
        otherwise this call does not return.
        """
        self.popen.wait()
        self.popen = self._start()

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def stop(self) -> None:
        """Kills the process and waits for it to end."""
        self.popen.kill()
        self.popen.wait()


class Deployment:
    """A small deployment on loopback addresses.

    Attributes:
        values: Settings that apply to the whole deployment, by setting
            name; set before the start.
        hosts: The entry hosts.
        engines: The model engines, by endpoint name.
        services: The plain services, by endpoint name.
        leaving: Names of hosts and endpoints to be listed as leaving.
        table: The table service.
        objects: The object store.
        host_list: The host list.
    """

    def __init__(
        self, folder: pathlib.Path, replicas: int = 2, hosts: int = 3
    ) -> None:
        self._folder = folder
        self._replicas = replicas
        self._stack = contextlib.ExitStack()
        self._ports = ports.find_free(hosts * 2 + STAGES * replicas + 8)
        self.values: dict[str, typing.Any] = {}
        self.hosts: list[Process] = []
        self._host_count = hosts
        self.engines: dict[str, Process] = {}
        self.services: dict[str, Process] = {}
        self.leaving: set[str] = set()
        self.table: Process
        self.objects: Process
        self.host_list: Process

    def __enter__(self) -> 'Deployment':
        """Starts all processes."""
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stops all processes."""
        self.close()

    def start(self) -> None:
        """Starts all processes and waits until the hosts are ready."""
        self.table = self._start_module('table')
        self.objects = self._start_module('objects')
        self.host_list = self._start_module('hostlist', ['--lag-s', '0.5'])
        for stage in range(STAGES):
            for replica in range(self._replicas):
                self._start_engine(stage, replica)
        for number in range(2):
            name = f'book-{number + 1}'
            self.services[name] = self._start_module('service', name=name)
        dependencies = [
            self.table,
            self.objects,
            self.host_list,
            *self.engines.values(),
            *self.services.values(),
        ]
        for process in dependencies:
            wait_open(process.url)
        self._start_hosts()
        for host in self.hosts:
            wait_ready(host)
        wait_hosts_listed(self.hosts)

    def close(self) -> None:
        """Stops all processes."""
        self._stack.close()

    def publish_list(self) -> None:
        """Publishes the current hosts and live endpoints to the host list."""
        hosts = [
            {
                'host_id': host.name,
                'failure_domain': DOMAINS[index % len(DOMAINS)],
                'caller_url': host.url,
                'peer_address': self._peer_address(index),
                'leaving': host.name in self.leaving,
            }
            for index, host in enumerate(self.hosts)
        ]
        endpoints = [
            {
                'endpoint_id': name,
                'incarnation': fetch_json(f'{process.url}/health')[
                    'incarnation'
                ],
                'leaving': name in self.leaving,
            }
            for name, process in {**self.engines, **self.services}.items()
            if process.popen.poll() is None
        ]
        body = {'hosts': hosts, 'endpoints': endpoints}
        fetch_json(f'{self.host_list.url}/v1/list', 'PUT', body)

    def _start_module(
        self,
        module: str,
        arguments: typing.Sequence[str] = (),
        name: str = '',
    ) -> Process:
        port = self._ports.pop()
        name = name or module
        command = [sys.executable, '-m', f'standins.{module}']
        command += ['--port', str(port), *arguments]
        return self._start(name, f'http://127.0.0.1:{port}', command)

    def _start(self, name: str, url: str, command: list[str]) -> Process:
        process = Process(name, url, command, self._folder / f'{name}.log')
        self._stack.callback(process.stop)
        return process

    def _start_engine(self, stage: int, replica: int) -> None:
        layers_per_stage = LAYERS // STAGES
        name = f'e{stage + 1}{"abcdefgh"[replica]}'
        arguments = ['--endpoint', name]
        arguments += ['--first-layer', str(stage * layers_per_stage)]
        arguments += ['--end-layer', str((stage + 1) * layers_per_stage)]
        if replica % 2:
            arguments.append('--checks-fencing')
        self.engines[name] = self._start_module('engine', arguments, name)

    def _peer_address(self, index: int) -> str:
        return f'127.0.0.1:{self._peer_ports[index]}'

    def _start_hosts(self) -> None:
        secret_file = self._folder / 'peer-secret'
        secret_file.write_text(secrets.token_hex(16))
        tree_file = self._folder / 'tree.jsonc'
        tree_file.write_text(json.dumps(self.make_tree(), indent=2))
        caller_ports = [self._ports.pop() for _ in range(self._host_count)]
        self._peer_ports = [self._ports.pop() for _ in range(self._host_count)]
        binary = os.path.join(os.path.dirname(sys.executable), 'sardinebend')
        for index, port in enumerate(caller_ports):
            cfg = self._make_host_config(index, port, secret_file, tree_file)
            path = self._folder / f'host-{index + 1}.jsonc'
            path.write_text(json.dumps(cfg, indent=2))
            url = f'http://127.0.0.1:{port}'
            command = [binary, '--config', str(path)]
            self.hosts.append(self._start(cfg['host_id'], url, command))
        self.publish_list()

    def _make_host_config(
        self,
        index: int,
        port: int,
        secret_file: pathlib.Path,
        tree_file: pathlib.Path,
    ) -> dict[str, typing.Any]:
        return {
            'host_id': f'host-{index + 1}',
            'region': REGION,
            'failure_domain': DOMAINS[index % len(DOMAINS)],
            'callers': {'address': '127.0.0.1', 'port': port},
            'peers': {
                'address': '127.0.0.1',
                'port': self._peer_ports[index],
            },
            'platform': {
                'table_url': self.table.url,
                'object_url': self.objects.url,
                'host_list_url': self.host_list.url,
            },
            'peer_secret_file': str(secret_file),
            'initial_tree_file': str(tree_file),
        }

    def make_tree(self) -> dict[str, typing.Any]:
        """Returns the settings tree of the deployment."""
        layers_per_stage = LAYERS // STAGES
        endpoints: dict[str, typing.Any] = {}
        for index, (name, process) in enumerate(self.engines.items()):
            stage = index // self._replicas
            endpoints[name] = {
                'url': process.url,
                'failure_domain': DOMAINS[index % len(DOMAINS)],
                'role': 'engine',
                'model': 'tide',
                'model_version': '1',
                'first_layer': stage * layers_per_stage,
                'end_layer': (stage + 1) * layers_per_stage,
                'layer_cost_us': 200.0,
            }
        for index, (name, process) in enumerate(self.services.items()):
            endpoints[name] = {
                'url': process.url,
                'failure_domain': DOMAINS[index % len(DOMAINS)],
                'role': 'service',
                'service': 'bookings',
            }
        customers = {
            name: {'key_hashes': [auth.hash_key(key)]}
            for name, key in CUSTOMER_KEYS.items()
        }
        operator = {
            'key_hashes': [auth.hash_key(OPERATOR_KEY)],
            'branches': [''],
        }
        route = {'model': 'tide', 'model_version': '1', 'layers': LAYERS}
        operations = {
            'confirm': {'repeatable': False, 'refusal_statuses': [429]},
            'lookup': {'repeatable': True},
        }
        return {
            'values': {'fleet': self.values},
            'customers': customers,
            'operators': {'olive': operator},
            'routes': {'assistant': route},
            'services': {'bookings': {'operations': operations}},
            'endpoints': endpoints,
        }


def fetch_json(
    url: str, method: str = 'GET', body: typing.Any = None, key: str = ''
) -> typing.Any:
    """Makes one blocking JSON request and returns the decoded reply.

    Also sends a body if given. Meant for set-up, not for load.
    """
    data = None if body is None else json.dumps(body).encode()
    headers = {'Authorization': f'Bearer {key}'} if key else {}
    req = urllib.request.Request(url, data=data, method=method, headers=headers)
    with urllib.request.urlopen(req, timeout=10) as reply:
        return json.loads(reply.read() or b'null')


def wait_open(url: str) -> None:
    """Waits until a URL accepts connections."""
    host, port = url.removeprefix('http://').split(':')
    deadline = time.monotonic() + READY_TIMEOUT_S
    while True:
        try:
            socket.create_connection((host, int(port)), 1).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.05)


def wait_ready(host: Process) -> None:
    """Waits until an entry host reports that it is ready."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while True:
        try:
            fetch_json(f'{host.url}/readyz')
            return
        except (OSError, urllib.error.HTTPError):
            has_ended = host.popen.poll() is not None
            if has_ended or time.monotonic() > deadline:
                raise
            time.sleep(0.05)


def wait_hosts_listed(hosts: list[Process]) -> None:
    """Waits until each entry host lists all hosts."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    for host in hosts:
        while len(fetch_json(f'{host.url}/v1/hosts')['hosts']) < len(hosts):
            if time.monotonic() > deadline:
                raise TimeoutError(f'{host.name} does not list all hosts')
            time.sleep(0.05)
