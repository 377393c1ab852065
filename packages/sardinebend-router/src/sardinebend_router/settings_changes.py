"""Commits changes of the settings and puts them in force at the hosts."""

import typing

import result

from sardinebend_router import peering as peering_lib
from sardinebend_router import settings_store
from sardinebend_router import state as state_lib
from sardinebend_settings import changes
from sardinebend_store import store


class InForce(typing.NamedTuple):
    """A committed change, with the hosts that have it in force.

    Attributes:
        version: Version of the tree that the change made.
        hosts: Hosts that have confirmed that it is in force there.
        is_replicated: Whether a host other than this one has confirmed it, or
            there is no other host. Until then the change is stored in the
            table, but the other hosts can get it only from the table or from
            this host, and both may be unreachable; so it isn't reported as
            accepted yet.
    """

    version: int
    hosts: list[str]
    is_replicated: bool


class SettingsChanger:
    """Applies the changes that operators make at one host."""

    def __init__(
        self,
        state: state_lib.HostState,
        settings: settings_store.SettingsStore,
        peering: peering_lib.Peering,
    ) -> None:
        self._state = state
        self._settings = settings
        self._peering = peering

    async def change(
        self, change: changes.Change, author: settings_store.Author
    ) -> result.Result[InForce, store.TableError]:
        """Commits a change, applies it here and sends it to the peers.

        Raises:
            sardinebend_settings.errors.SettingsError: The change is refused.
        """
        in_force = self._state.settings.tree
        answer = await self._settings.change(change, author, in_force)
        if isinstance(answer, result.Err):
            return answer
        committed = answer.ok_value
        previous_version = self._state.settings.tree.version
        if committed.tree is not None:
            self._state.settings.apply_tree(committed.tree)
        hosts = await self._peering.push_settings(
            previous_version, committed.version
        )
        own = self._state.own.host_id
        others = self._state.membership.list_members()
        is_replicated = not others or any(host != own for host in hosts)
        return result.Ok(InForce(committed.version, hosts, is_replicated))
