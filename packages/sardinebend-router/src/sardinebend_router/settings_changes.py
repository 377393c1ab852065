"""Makes a change of the settings and puts it in force."""

import typing

import result

from sardinebend_router import peering as peering_lib
from sardinebend_router import settings_store
from sardinebend_router import state as state_lib
from sardinebend_settings import changes
from sardinebend_store import store


class InForce(typing.NamedTuple):
    """An accepted change.

    Attributes:
        version: Version of the tree that the change made.
        hosts: Hosts that have confirmed to have it in force.
        is_spread: Whether a host besides this one has confirmed, or there is
            none. Until then the change is kept in the table, but only this
            host and the table can tell the others of it, and both may be out
            of reach; it isn't called accepted.
    """

    version: int
    hosts: list[str]
    is_spread: bool


class ChangeMaker:
    """Takes changes from operators at one host."""

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
        """Commits a change, applies it here and pushes it to the peers.

        Raises:
            sardinebend_settings.errors.SettingsError: The change is refused.
        """
        answer = await self._settings.change(change, author)
        if isinstance(answer, result.Err):
            return answer
        accepted = answer.ok_value
        base = self._state.settings.tree.version
        if accepted.tree is not None:
            self._state.settings.apply_tree(accepted.tree)
        hosts = await self._peering.push_settings(base, accepted.version)
        own = self._state.own.host_id
        others = self._state.membership.list_members()
        is_spread = not others or any(host != own for host in hosts)
        return result.Ok(InForce(accepted.version, hosts, is_spread))
