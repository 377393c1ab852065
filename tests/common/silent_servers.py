"""A scene whose servers fall silent for a time, and go on."""

import trio

from sardinebend_store import connections
from sardinebend_store import errors as store_errors
from tests.common import layered_scene
from tests.common import silence
from tests.common import stopping_host

# Silences are drawn anew after a time between these; so a server may be silent
# twice in a row.
INTERVALS_S = (1.0, 2.5)
SILENCES_S = (0.9, 1.6)
SILENT_SHARE = 1 / 3
CONFIG_INTERVALS_S = (0.2, 1.5)
HUP_INTERVAL_S = 2.0
HUP_HOSTS = 3


class PlainServer(silence.Silence, layered_scene.PlainServer):
    pass


class Engine(silence.Silence, layered_scene.Engine):
    pass


class SilentScene(layered_scene.LayeredScene):
    """Hosts before engines with layers and plain servers that fall silent."""

    engine_class = Engine
    plain_class = PlainServer

    def __init__(self, background, folder, host_count):
        super().__init__(background, folder, host_count)
        self._config_version = 1

    async def silence_servers(self, share=SILENT_SHARE):
        """Lets a share of the servers fall silent again and again."""
        while True:
            count = max(1, round(share * len(self.servers)))
            for server in self.rng.sample(self.servers, count):
                server.fall_silent(self.rng.uniform(*SILENCES_S))
            await trio.sleep(self.rng.uniform(*INTERVALS_S))

    async def change_configs(self):
        """Writes configurations with a further route each."""
        config = self._make_config()
        routes = config['routes']
        while True:
            self._config_version += 1
            config['version'] = self._config_version
            name = f'added-{self._config_version}'
            routes.append({**routes[0], 'name': name, 'prefix': f'/{name}/'})
            await self.put_config(config)
            await trio.sleep(self.rng.uniform(*CONFIG_INTERVALS_S))

    async def reload_hosts(self):
        """Sends SIGHUP to some hosts again and again."""
        while True:
            for host in self.rng.sample(self.hosts, HUP_HOSTS):
                host.send(stopping_host.signal.SIGHUP)
            await trio.sleep(HUP_INTERVAL_S)


def block_connects(monkeypatch, addresses):
    """Lets connects to some addresses time out.

    Args:
        monkeypatch: The fixture.
        addresses: Container of the addresses, `ip:port`; may change meanwhile.
    """
    connect = connections.Origin.connect

    async def connect_or_wait(origin, timeout_s):
        if origin.host_header.decode() not in addresses:
            return await connect(origin, timeout_s)
        await trio.sleep(timeout_s)
        raise store_errors.ConnectFailed('timed out')

    monkeypatch.setattr(connections.Origin, 'connect', connect_or_wait)
