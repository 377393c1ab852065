"""Settings of one entry host's process: addresses, platform, keys, TLS."""

import re
import typing

from sardinebend_settings import documents
from sardinebend_settings import errors


class Listen(typing.TypedDict):
    """An address on which the process listens.

    Attributes:
        address: IP address.
        port: Port; 0 lets the system choose a free one, which is meant for
            tests only.
    """

    address: str
    port: int


class Platform(typing.TypedDict):
    """Where the platform's services are.

    Attributes:
        table_url: The table service.
        object_url: The object store.
        host_list_url: The host list.
    """

    table_url: str
    object_url: str
    host_list_url: str


class Tls(typing.TypedDict, total=False):
    """Files for TLS, in PEM.

    Attributes:
        cert_file: This host's certificate chain.
        key_file: Its key.
        ca_file: Authority that verifies the other entry hosts.
    """

    cert_file: typing.Required[str]
    key_file: typing.Required[str]
    ca_file: str


class HostFile(typing.TypedDict, total=False):
    """One entry host's own settings.

    Attributes:
        host_id: Name of the host in logs, membership and claims.
        region: Region in which it runs.
        failure_domain: Failure domain in which it runs.
        callers: Address for callers and operators.
        peers: Address for the other entry hosts.
        platform: Services of the platform; if absent, the host uses a platform
            embedded in its process, and only `callers.port`, `log_level` and,
            in logs, `host_id` apply.
        tls: Files for TLS with callers and between entry hosts; if absent,
            these connections aren't encrypted.
        peer_secret_file: File with the secret that entry hosts share.
        initial_tree_file: File with the settings tree that is written if the
            table has no tree yet.
        log_level: Lowest level that is logged.
    """

    host_id: typing.Required[str]
    region: typing.Required[str]
    failure_domain: typing.Required[str]
    callers: typing.Required[Listen]
    peers: typing.Required[Listen]
    platform: Platform
    tls: Tls
    peer_secret_file: str
    initial_tree_file: str
    log_level: typing.Literal['debug', 'info', 'warning', 'error']


_NAME_RE = re.compile('[A-Za-z0-9][A-Za-z0-9_.-]{0,63}')


def read_host_file(path: str) -> HostFile:
    """Returns the checked settings of a file."""
    return check_host_file(documents.read_file(path), path)


def check_host_file(value: object, name: str) -> HostFile:
    """Returns checked host settings, or raises `errors.InvalidSetting`."""
    cfg = documents.convert(value, HostFile, name)
    for key in ('host_id', 'region', 'failure_domain'):
        text = typing.cast(str, typing.cast(dict, cfg)[key])
        if not _NAME_RE.fullmatch(text):
            raise errors.InvalidSetting(
                f'{name}.{key}', text, f'a name matching {_NAME_RE.pattern}'
            )
    for key, listen in (('callers', cfg['callers']), ('peers', cfg['peers'])):
        if not 0 <= listen['port'] <= 65535:
            raise errors.InvalidSetting(
                f'{name}.{key}.port', listen['port'], '0 to 65535'
            )
    if 'platform' in cfg and 'peer_secret_file' not in cfg:
        raise errors.InvalidSetting(
            f'{name}.peer_secret_file', None, 'required with a platform'
        )
    return cfg
