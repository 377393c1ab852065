"""Sessions with one seeded defect each, which the checkers must find."""

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
    """Takes an unclear insert for a claim."""

    def _on_claim_unclear(self, event, now):
        return self._on_claim_written(bmsg.ClaimWritten(1), now)


class TakesOverSilentClaim(bookings.BookingSession):
    """Takes over the claim of a host that doesn't answer."""

    def _on_claimant_lost(self, event, now):
        self._foreign = None
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


class SaysNotRunAfterSend(bookings.BookingSession):
    """Calls a lost reply a request that wasn't run."""

    def _end_without_reply(self, reason):
        return [
            *self._report_outcome(outcomes.NotRun(reason)),
            *self._finish(),
        ]


class SendsForLeftCaller(bookings.BookingSession):
    """Tells a caller that left "not run", and sends all the same."""

    def _on_caller_left(self, event, now):
        return self._report_outcome(
            outcomes.NotRun(outcomes.Reason.CALLER_LEFT)
        )


class DeliversUnordered(drafts.DraftSession):
    """Starts over from token 0 on each attempt."""

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


class SaysNotRunTooEasily(drafts.DraftSession):
    """Calls every failure a request that wasn't run."""

    def _end_without_answer(self, reason):
        return self._end(outcomes.NotRun(reason))


class CallsPartWhole(drafts.DraftSession):
    """Calls an answer whole when its stream breaks."""

    def _on_broken(self, event, now):
        return self._answer(now)


class ForgetsCancels(drafts.DraftSession):
    """Doesn't cancel an attempt that it gives up."""

    def handle(self, event, now):
        return [
            action
            for action in super().handle(event, now)
            if not isinstance(action, dmsg.CancelAttempt)
        ]


class NeverEnds(drafts.DraftSession):
    """Drops the stall timer, so that a silent stream hangs."""

    def handle(self, event, now):
        return [
            action
            for action in super().handle(event, now)
            if not isinstance(action, dmsg.SetTimer)
        ]


class AppliesAnyVersion(settings_state.SettingsState):
    """Puts older trees in force too."""

    def apply_tree(self, tree):
        self.tree = tree
        for listener in self._listeners:
            listener(tree)
        return True


class SkipsSteps(settings_state.SettingsState):
    """Takes a step that starts from another version for its own."""

    def apply_reply(self, reply):
        if reply.version > self.tree.version:
            nodes = msgspec.json.decode(reply.nodes)
            merged = {**self.tree.nodes, **nodes}
            kept = {k: v for k, v in merged.items() if v is not None}
            self.apply_tree(tree_lib.Tree(reply.version + 1, kept))
        return True


class AppliesNothing(settings_state.SettingsState):
    """Stays at the version it started with."""

    def apply_tree(self, tree):
        return self.tree.version == 0 and super().apply_tree(tree)


class OrdersOnce(ordering.LoadOrderSender):
    """Orders each engine once and never reads it back."""

    async def _send(self, order):
        sent = self.__dict__.setdefault('sent', set())
        if order.endpoint_id not in sent:
            sent.add(order.endpoint_id)
            await super()._send(order)


class ForgetsRate(ordering.LoadOrderSender):
    """Loads all engines at once."""

    def _list_engines(self):
        self._planner._sent_at.clear()
        return super()._list_engines()


ORDERS_DEFECTS = (OrdersOnce, ForgetsRate)
SETTINGS_DEFECTS = (AppliesAnyVersion, SkipsSteps, AppliesNothing)
BOOKING_DEFECTS = (
    SendsOnUnclearClaim,
    TakesOverSilentClaim,
    SendsTwice,
    SaysNotRunAfterSend,
    SendsForLeftCaller,
)
DRAFT_DEFECTS = (
    DeliversUnordered,
    SaysNotRunTooEasily,
    CallsPartWhole,
    ForgetsCancels,
    NeverEnds,
)
