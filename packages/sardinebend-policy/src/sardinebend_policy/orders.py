"""Plans load orders that bring engines to the desired state.

The settings hold the desired state; the observed state is read back from the
engines. Only the lease holder sends orders. If an engine ignores fencing
numbers, a former holder's order may arrive late and undo a newer one. The
successor therefore waits for the maximum lifetime of an order, keeps at most
one order outstanding per engine, and continues to compare the two states. A
late order isn't prevented; its effect is corrected.
"""

import typing

ORDER_LIFETIME_S: typing.Final = 10.0
LOADS_PER_PERIOD: typing.Final = 4
LOAD_PERIOD_S: typing.Final = 10.0


class LoadedModel(typing.NamedTuple):
    """The model and version that an engine has loaded or should load."""

    model: str
    model_version: str


class Engine(typing.NamedTuple):
    """The desired and the observed state of an engine.

    Attributes:
        endpoint_id: Endpoint of the engine.
        span: First layer, and one past the last.
        desired: What the engine should have loaded.
        observed: What the engine reported as loaded; `None` before its first
            report.
        checks_fencing: Whether the engine refuses outdated fencing numbers.
    """

    endpoint_id: str
    span: tuple[int, int]
    desired: LoadedModel
    observed: LoadedModel | None
    checks_fencing: bool


class LoadOrder(typing.NamedTuple):
    """An order to load layers of a model.

    Attributes:
        endpoint_id: Endpoint of the engine.
        held: What the engine is to load.
        fencing: Fencing number of the lease.
        life_s: Time after which the engine must no longer start the load.
    """

    endpoint_id: str
    held: LoadedModel
    fencing: int
    life_s: float


class OrderPlanner:
    """Plans the orders of one lease holder."""

    def __init__(self) -> None:
        self._outstanding: dict[str, float] = {}
        self._sent_at: list[float] = []

    def plan(
        self,
        engines: typing.Sequence[Engine],
        fencing: int,
        taken_at: float,
        now: float,
    ) -> list[LoadOrder]:
        """Returns the orders to send now.

        Args:
            engines: All engines.
            fencing: Fencing number of the lease.
            taken_at: Time at which the lease was acquired.
            now: Current time.
        """
        self._sent_at = [at for at in self._sent_at if now - at < LOAD_PERIOD_S]
        remaining = LOADS_PER_PERIOD - len(self._sent_at)
        candidates = [
            engine
            for engine in engines
            if engine.observed not in (None, engine.desired)
            and self._may_receive_order(engine, fencing, taken_at, now)
        ]
        orders: list[LoadOrder] = []
        while candidates and len(orders) < remaining:
            chosen = {order.endpoint_id for order in orders}
            engine = min(
                candidates, key=lambda item: self._rank(item, engines, chosen)
            )
            candidates.remove(engine)
            self._outstanding[engine.endpoint_id] = now
            self._sent_at.append(now)
            orders.append(
                LoadOrder(
                    engine.endpoint_id,
                    engine.desired,
                    fencing,
                    ORDER_LIFETIME_S,
                )
            )
        return orders

    def record_answer(self, endpoint_id: str) -> None:
        """Records that an engine has answered its outstanding order."""
        self._outstanding.pop(endpoint_id, None)

    def _may_receive_order(
        self, engine: Engine, fencing: int, taken_at: float, now: float
    ) -> bool:
        sent_at = self._outstanding.get(engine.endpoint_id)
        if sent_at is not None and now - sent_at < ORDER_LIFETIME_S:
            return False
        # The first holder has no predecessor whose orders could arrive late.
        is_first = fencing <= 1
        has_waited = now - taken_at >= ORDER_LIFETIME_S
        return engine.checks_fencing or is_first or has_waited

    def _rank(
        self,
        engine: Engine,
        engines: typing.Sequence[Engine],
        chosen: set[str],
    ) -> tuple[int, int, str]:
        """Returns a sort key; engines with the lowest key are ordered first.

        Models with the fewest spans still to load come first, so that each
        is fully covered as early as possible. Within a model, a span that no
        engine has loaded precedes another replica of a loaded span. Engines
        that were already chosen in this round count as loaded.
        """
        same_desired = [
            item for item in engines if item.desired == engine.desired
        ]
        loaded_spans = {
            item.span
            for item in same_desired
            if item.observed == item.desired or item.endpoint_id in chosen
        }
        missing_count = len({item.span for item in same_desired} - loaded_spans)
        return (
            missing_count,
            int(engine.span in loaded_spans),
            engine.endpoint_id,
        )
