"""Finds out whether a host that has just started has the newest configuration.

The store may have come back from an older copy in which the newest one is
missing until the operator has written it again. Hosts that were running before
still have it, and state its version.
"""

import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import relay
from sardinebend_gateway import settled_era
from sardinebend_gateway import watch

# Interval between questions to peers until one of them states a version.
ASK_INTERVAL_S: typing.Final = 0.2
# Time after which a host that no peer has told anything takes its configuration
# for the newest, if the store's era is settled. All others may be dead, or have
# just started as well.
UNTOLD_LIMIT_S: typing.Final = 1.5


class StartCheck:
    """Makes a host rely on its configuration once it has the newest one."""

    def __init__(
        self,
        catalog: watch.CatalogUpdater,
        client: relay.RelayClient,
        settled: settled_era.SettledEra,
    ) -> None:
        self._catalog = catalog
        self._client = client
        self._settled = settled
        self._began_at: float | None = None
        self._first_version = -1

    async def run(self) -> None:
        """Returns once the host relies on its configuration."""
        await self._catalog.first_applied.wait()
        if self._began_at is None:
            self._began_at = clocks.now()
            self._first_version = self._catalog.applied_version()
        if self._catalog.is_starting:
            newest = await self._ask_peers(self._began_at)
            if newest is not None:
                await self._wait_for_version(
                    newest, self._began_at + watch.REWRITE_LIMIT_S
                )
            self._catalog.end_start()

    async def _ask_peers(self, began_at: float) -> int | None:
        """Returns the version that a host must have, if a peer states one."""
        asked: set[str] = set()
        while True:
            newest = await self._client.ask_catalog_version(
                self._catalog.follower, asked
            )
            if newest is not None or self._has_newest(began_at):
                return newest
            await trio.sleep(ASK_INTERVAL_S)

    def _has_newest(self, began_at: float) -> bool:
        """Returns whether a host that no peer tells has the newest version.

        Without any other sign, the operator has had the time to write it again.
        """
        age_s = clocks.now() - began_at
        return (
            self._catalog.applied_version() > self._first_version
            or (age_s >= UNTOLD_LIMIT_S and self._settled.is_settled())
            or age_s >= watch.REWRITE_LIMIT_S
        )

    async def _wait_for_version(self, newest: int, give_up_at: float) -> None:
        follower = self._catalog.follower
        with trio.move_on_after(max(0.0, give_up_at - clocks.now())):
            while self._catalog.applied_version() < newest:
                await follower.wait_for_newer(follower.version)
