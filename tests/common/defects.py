"""Subclasses with one seeded defect each, which the checkers must find.

They override methods of the product by name, also private ones.
"""

import msgspec

from sardinebend_policy import booking_messages as bmsg
from sardinebend_policy import bookings
from sardinebend_policy import draft_messages as dmsg
from sardinebend_policy import drafts
from sardinebend_policy import outcomes
from sardinebend_router import ordering
from sardinebend_router import settings_state
from sardinebend_settings import tree as tree_lib


class SendsOnUnclearClaim(bookings.BookingSession):
    """Treats an insert with an unclear result as a claim."""

    def _on_claim_unclear(self, event, now):
        return self._on_claim_written(bmsg.ClaimWritten(1), now)


class TakesOverUnansweredClaim(bookings.BookingSession):
    """Takes over the claim of a host that doesn't answer."""

    def _on_claimant_unreachable(self, event, now):
        self._other_claim = None
        return self._write_claim()


class SendsTwice(bookings.BookingSession):
    """Sends again when the reply is lost."""

    def _on_reply_lost(self, event, now):
        if getattr(self, 'has_resent', False):
            return super()._on_reply_lost(event, now)
        self.has_resent = True
        return [bmsg.Send()]

    def _on_timer(self, event, now):
        if event.timer.name == 'reply':
            return self._on_reply_lost(event, now)
        return super()._on_timer(event, now)


class ReportsNotRunAfterSend(bookings.BookingSession):
    """Reports "not run" when the reply is lost."""

    def _end_sent_as_unknown(self, reason):
        return [
            *self._report_outcome(outcomes.NotRun(reason)),
            *self._finish(),
        ]


class SendsAfterCallerLeft(bookings.BookingSession):
    """Reports "not run" when the caller leaves, but sends the request."""

    def _on_caller_left(self, event, now):
        return self._report_outcome(
            outcomes.NotRun(outcomes.Reason.CALLER_LEFT)
        )


class DeliversUnordered(drafts.DraftSession):
    """Restarts from token 0 on each attempt."""

    def _on_connected(self, event, now):
        actions = super()._on_connected(event, now)
        return [
            action._replace(start_index=0, delivered=())
            if isinstance(action, dmsg.SendOrder)
            else action
            for action in actions
        ]

    def _on_chunk(self, event, now):
        self._delivered.append(event.text)
        return [dmsg.Deliver(event.token_index, event.text)]


class ReportsEveryFailureAsNotRun(drafts.DraftSession):
    """Reports "not run" for every failure."""

    def _end_without_answer(self, reason):
        return self._end(outcomes.NotRun(reason))


class ReportsTruncatedAsComplete(drafts.DraftSession):
    """Reports an answer as complete when its stream breaks."""

    def _on_stream_broken(self, event, now):
        return self._answer(now)


class NeverCancels(drafts.DraftSession):
    """Doesn't cancel attempts that it gives up."""

    def handle(self, event, now):
        return [
            action
            for action in super().handle(event, now)
            if not isinstance(action, dmsg.CancelAttempt)
        ]


class IgnoresStalls(drafts.DraftSession):
    """Drops the stall timer, so that a silent stream hangs."""

    def handle(self, event, now):
        return [
            action
            for action in super().handle(event, now)
            if not isinstance(action, dmsg.SetTimer)
        ]


class AppliesAnyVersion(settings_state.SettingsState):
    """Applies older trees too."""

    def apply_tree(self, tree):
        self.tree = tree
        for listener in self._listeners:
            listener(tree)
        return True


class AppliesChangesOfOtherVersion(settings_state.SettingsState):
    """Applies changes that are relative to another version."""

    def apply_reply(self, reply):
        if reply.version > self.tree.version:
            nodes = msgspec.json.decode(reply.nodes)
            merged = {**self.tree.nodes, **nodes}
            nodes_left = {k: v for k, v in merged.items() if v is not None}
            self.apply_tree(tree_lib.Tree(reply.version + 1, nodes_left))
        return True


class NeverApplies(settings_state.SettingsState):
    """Keeps the first version for ever."""

    def apply_tree(self, tree):
        return self.tree.version == 0 and super().apply_tree(tree)


class NeverRepeatsOrders(ordering.LoadOrderSender):
    """Sends one order to each engine and never repeats it."""

    async def _send(self, order):
        sent = self.__dict__.setdefault('sent', set())
        if order.endpoint_id not in sent:
            sent.add(order.endpoint_id)
            await super()._send(order)


class IgnoresLoadRate(ordering.LoadOrderSender):
    """Has all engines load at once."""

    def _list_engines(self):
        self._planner._sent_at.clear()
        return super()._list_engines()


ORDERS_DEFECTS = (NeverRepeatsOrders, IgnoresLoadRate)
SETTINGS_DEFECTS = (
    AppliesAnyVersion,
    AppliesChangesOfOtherVersion,
    NeverApplies,
)
BOOKING_DEFECTS = (
    SendsOnUnclearClaim,
    TakesOverUnansweredClaim,
    SendsTwice,
    ReportsNotRunAfterSend,
    SendsAfterCallerLeft,
)
DRAFT_DEFECTS = (
    DeliversUnordered,
    ReportsEveryFailureAsNotRun,
    ReportsTruncatedAsComplete,
    NeverCancels,
    IgnoresStalls,
)
