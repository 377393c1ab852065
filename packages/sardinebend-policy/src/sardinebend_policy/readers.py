"""Decides which hosts read the platform's store and which ask other hosts.

Each host that reads the store adds the same load to it, so only two hosts do,
whatever the size of the fleet. In a small fleet all others ask one of them. In
a larger one a few hosts of each failure domain ask them and relay the answers
to the others. Hosts with the widest links are chosen, as each of them sends
every change to all that ask it; among equal ones, by rendezvous hashing.
"""

import hashlib
import math
import typing

# Hosts that read the store. When one fails, the half of the fleet that asked it
# asks the other.
READERS: typing.Final = 2
# Hosts for each one that answers questions. At four questions a second from
# each, it gives about a hundred answers a second, which take less than a tenth
# of a core of the smallest host.
HOSTS_PER_SOURCE: typing.Final = 32
# In a fleet of fewer hosts each one reads the store; asking would save nothing.
MIN_HOSTS: typing.Final = 4


class Role(typing.NamedTuple):
    """How a host gets the contents of the store.

    Attributes:
        reader: The host to ask; `None` if this one reads the store itself.
        is_shared: Whether other hosts may ask this one.
    """

    reader: str | None = None
    is_shared: bool = False


DIRECT_READER: typing.Final = Role()


def choose_role(
    own: str,
    domains: typing.Mapping[str, str],
    links_mbps: typing.Mapping[str, float] | None = None,
) -> Role:
    """Returns a host's role among the live hosts.

    All hosts with the same view of the live hosts choose the same roles. When a
    host fails, only hosts that asked it or prefer its replacement change whom
    they ask.

    Args:
        own: The host's name.
        domains: Failure domain by name of each live host, including this one.
        links_mbps: Capacity of each host's link, in Mbit/s; 0 if unknown.
    """
    if len(domains) < MIN_HOSTS:
        return DIRECT_READER
    links_mbps = links_mbps or {}
    sources = _choose_sources(domains, links_mbps)
    # A host that ranks highest in the fleet does so in its domain as well, so
    # the store readers are among the sources.
    store_readers = _highest_ranked(domains, READERS, links_mbps)
    if own in store_readers:
        return Role(None, is_shared=True)
    if own in sources:
        return Role(_choose_source(own, store_readers, domains), is_shared=True)
    same_domain = [name for name in sources if domains[name] == domains[own]]
    return Role(_choose_source(own, same_domain or store_readers, domains))


def _choose_sources(
    domains: typing.Mapping[str, str], links_mbps: typing.Mapping[str, float]
) -> list[str]:
    """Returns the hosts that answer questions of others."""
    if len(domains) <= HOSTS_PER_SOURCE:
        return _highest_ranked(domains, READERS, links_mbps)
    by_domain: dict[str, list[str]] = {}
    for name, domain in domains.items():
        by_domain.setdefault(domain, []).append(name)
    sources = set(_highest_ranked(domains, READERS, links_mbps))
    for names in by_domain.values():
        count = math.ceil(len(names) / HOSTS_PER_SOURCE)
        sources.update(_highest_ranked(names, count, links_mbps))
    return sorted(sources)


def _highest_ranked(
    names: typing.Iterable[str],
    count: int,
    links_mbps: typing.Mapping[str, float],
) -> list[str]:
    return sorted(
        names,
        key=lambda name: (links_mbps.get(name, 0.0), _rank(name)),
        reverse=True,
    )[:count]


def _choose_source(
    own: str, names: typing.Sequence[str], domains: typing.Mapping[str, str]
) -> str:
    """Returns the source for a host, in its own domain if possible.

    Within a domain, hosts are spread over the sources by a hash.
    """
    return max(
        names,
        key=lambda name: (
            domains[name] == domains[own],
            _rank(f'{own} {name}'),
        ),
    )


def _rank(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
