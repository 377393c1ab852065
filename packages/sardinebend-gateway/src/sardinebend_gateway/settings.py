"""Settings of one host that runs the gateway."""

import typing

from sardinebend_gateway import errors


class Address(typing.NamedTuple):
    """An IP number and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Returns the address that stands in a text as `ip:port`.

        Raises:
            errors.InvalidSettings: The text isn't one.
        """
        ip, _, port = text.rpartition(':')
        if not ip or not port.isdigit() or not 0 < int(port) < 65536:
            raise errors.InvalidSettings(f'{text!r} is not ip:port')
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


class HostSettings(typing.NamedTuple):
    """Settings of one host; checked by `check`.

    Attributes:
        name: The host's name.
        domain: Its failure domain.
        callers: Where callers connect.
        grace_s: Time from a planned stop's signal to the end of the process.
        apply_s: Time within which a configuration is in force everywhere.
        drain_s: Time after which a leaving endpoint must get nothing new.
        revoke_s: Time after which a withdrawn key must not be let in.
        retry_ratio: Retries allowed for each request, over all hosts.
        extra_retries: Retries allowed besides, over all hosts.
        retry_window_s: Span of time in which retries are counted.
        answer_life_s: How long callers may keep an address.
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

    def check(self) -> 'HostSettings':
        """Returns the settings if all values are in range.

        Raises:
            errors.InvalidSettings: A value is out of range; the text names
                it.
        """
        if not self.name or not self.domain:
            raise errors.InvalidSettings('a host needs a name and a domain')
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
                    f'{field}={value}; expected more than 0, under an hour'
                )
        if not 0 <= self.retry_ratio <= 1:
            raise errors.InvalidSettings(
                f'retry_ratio={self.retry_ratio}; expected 0 to 1'
            )
        return self
