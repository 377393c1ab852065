"""Settings of a gateway host."""

import ipaddress
import math
import typing

from sardinebend_gateway import errors

MAX_QUOTED_CHARS: typing.Final = 80


class Address(typing.NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Returns the address that a text in the form `ip:port` holds.

        Raises:
            errors.InvalidSettings: The text doesn't have this form.
        """
        ip, _, port = text.rpartition(':')
        if not ip or not _is_port(port):
            raise errors.InvalidSettings(
                f'{text[:MAX_QUOTED_CHARS]!r} is not in the form ip:port'
            )
        return cls(ip, int(port))

    @classmethod
    def parse_ip(cls, text: str) -> 'Address':
        """Returns the address that another program wrote as `ip:port`.

        Host names aren't accepted, nor other spellings of a number. An IPv6
        address is in square brackets.

        Raises:
            errors.InvalidSettings: The text doesn't have this form.
        """
        address = cls.parse(text)
        is_v6 = address.ip.startswith('[') and address.ip.endswith(']')
        try:
            if is_v6 and '%' not in address.ip:
                ipaddress.IPv6Address(address.ip[1:-1])
            else:
                ipaddress.IPv4Address(address.ip)
        except ValueError as exc:
            raise errors.InvalidSettings(
                f'{text[:MAX_QUOTED_CHARS]!r} has no IP address'
            ) from exc
        return address

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


def _is_port(text: str) -> bool:
    """Returns whether a text is a port as `str` writes one."""
    is_number = text.isascii() and text.isdigit() and len(text) <= 5
    return is_number and 0 < int(text) < 65536 and str(int(text)) == text


class HostSettings(typing.NamedTuple):
    """Settings of one host; `check` validates them.

    Attributes:
        name: The host's name.
        domain: Its failure domain.
        callers: Address at which callers connect.
        grace_s: Time from the signal for a planned stop to the end of the
            process.
        apply_s: Time within which a configuration is in force on all hosts.
        drain_s: Time after which a leaving endpoint must get no new work.
        revoke_s: Time after which a withdrawn key must be refused.
        retry_ratio: Retries allowed per request, over all hosts.
        extra_retries: Retries allowed in addition, over all hosts.
        retry_window_s: Time window in which retries are counted.
        answer_life_s: How long callers may cache an address.
        link_mbps: Capacity of the host's link, in Mbit/s; 0 if unknown.
        memory_mb: Memory limit of the process, in MB. Where it is unknown, the
            default is less than hosts usually have.
        max_fds: Limit of the process for descriptors; 0 for that of the
            system.
    """

    name: str
    domain: str
    callers: Address
    grace_s: float = 8.0
    apply_s: float = 2.0
    drain_s: float = 2.0
    revoke_s: float = 5.0
    retry_ratio: float = 0.2
    extra_retries: int = 50
    retry_window_s: float = 10.0
    answer_life_s: float = 1.0
    link_mbps: float = 0.0
    memory_mb: float = 256.0
    max_fds: int = 0

    def check(self) -> 'HostSettings':
        """Returns the settings if all values are in range.

        Raises:
            errors.InvalidSettings: A value is out of range; the message names
                the setting.
        """
        if not self.name or not self.domain:
            raise errors.InvalidSettings(
                'the name or the domain of the host is empty'
            )
        for field in (
            'grace_s',
            'apply_s',
            'drain_s',
            'revoke_s',
            'retry_window_s',
            'answer_life_s',
        ):
            value = getattr(self, field)
            if not 0 < value < 3600:
                raise errors.InvalidSettings(
                    f'{field}={value}; expected more than 0 and less than 3600'
                )
        if not 0 <= self.link_mbps < math.inf:
            raise errors.InvalidSettings(
                f'link_mbps={self.link_mbps}; expected 0 or more'
            )
        if not 0 < self.memory_mb < math.inf:
            raise errors.InvalidSettings(
                f'memory_mb={self.memory_mb}; expected more than 0'
            )
        if self.max_fds < 0:
            raise errors.InvalidSettings(
                f'max_fds={self.max_fds}; expected 0 or more'
            )
        if not 0 <= self.retry_ratio <= 1:
            raise errors.InvalidSettings(
                f'retry_ratio={self.retry_ratio}; expected 0 to 1'
            )
        return self
