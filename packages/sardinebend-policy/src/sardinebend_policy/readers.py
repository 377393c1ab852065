"""Which hosts read the platform's store, and whom the others ask instead.

Reading costs the store the same for each host that does it. So two hosts read,
however large the fleet is. In a small fleet all others ask one of them; in a
larger one a few hosts of each failure domain do, and pass on what they hear.
"""

import hashlib
import math
import typing

# Hosts that read the store; when one is lost, half of the fleet asks the other.
READERS: typing.Final = 2
# Hosts to one that answers; at four questions a second each that is a hundred
# answers a second, under a tenth of the smallest host's core.
GROUP: typing.Final = 32
# Among fewer hosts nothing is saved by asking.
MIN_HOSTS: typing.Final = 4


class Role(typing.NamedTuple):
    """How a host learns what the store holds.

    Attributes:
        reader: The host to ask; `None` if this one reads the store itself.
        is_shared: Whether other hosts may ask this one.
    """

    reader: str | None = None
    is_shared: bool = False


ALONE: typing.Final = Role()


def choose_role(own: str, domains: typing.Mapping[str, str]) -> Role:
    """Returns a host's role among the live hosts.

    All hosts that see the same ones live come to the same roles, and when one
    goes only those that asked it turn to another.

    Args:
        own: The host's name.
        domains: Failure domain by name of each live host, its own among them.
    """
    if len(domains) < MIN_HOSTS:
        return ALONE
    heads = _choose_heads(domains)
    # Weights fall from the fleet to a domain, so these are heads as well.
    tops = _heaviest(domains, READERS)
    if own in tops:
        return Role(None, is_shared=True)
    if own in heads:
        return Role(_nearest(own, tops, domains), is_shared=True)
    near = [name for name in heads if domains[name] == domains[own]]
    return Role(_nearest(own, near or tops, domains))


def _choose_heads(domains: typing.Mapping[str, str]) -> list[str]:
    """Returns the hosts that others ask."""
    if len(domains) <= GROUP:
        return _heaviest(domains, READERS)
    by_domain: dict[str, list[str]] = {}
    for name, domain in domains.items():
        by_domain.setdefault(domain, []).append(name)
    heads = set(_heaviest(domains, READERS))
    for names in by_domain.values():
        heads.update(_heaviest(names, math.ceil(len(names) / GROUP)))
    return sorted(heads)


def _heaviest(names: typing.Iterable[str], count: int) -> list[str]:
    return sorted(names, key=_weight, reverse=True)[:count]


def _nearest(
    own: str, names: typing.Sequence[str], domains: typing.Mapping[str, str]
) -> str:
    """Returns the one to ask: of the same domain if possible, then spread."""
    return max(
        names,
        key=lambda name: (
            domains[name] == domains[own],
            _weight(f'{own} {name}'),
        ),
    )


def _weight(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
