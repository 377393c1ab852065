"""Which orders to send to engines, so that they come to the desired state.

The desired state stands in the settings; the observed one is read back from
the engines. Only the holder of the lease sends orders. Where an engine ignores
fencing numbers, a former holder's order may arrive late and undo a newer one:
the successor therefore waits out the longest life of an order, has one order
outstanding per engine, and goes on comparing. A late order is repaired, not
prevented.
"""

import typing

ORDER_LIFE_S: typing.Final = 10.0
LOADS_PER_PERIOD: typing.Final = 4
LOAD_PERIOD_S: typing.Final = 10.0


class Held(typing.NamedTuple):
    """What an engine holds, or should hold."""

    model: str
    model_version: str


class Engine(typing.NamedTuple):
    """An engine with its desired and its observed state.

    Attributes:
        endpoint_id: The engine.
        span: First layer, and one past the last.
        desired: What it should hold.
        observed: What it said it holds; `None` before it was asked.
        checks_fencing: Whether it refuses old fencing numbers.
    """

    endpoint_id: str
    span: tuple[int, int]
    desired: Held
    observed: Held | None
    checks_fencing: bool


class LoadOrder(typing.NamedTuple):
    """An order to load a model's layers.

    Attributes:
        endpoint_id: The engine.
        held: What it shall hold.
        fencing: The lease's fencing number.
        life_s: After this time the engine must no longer begin it.
    """

    endpoint_id: str
    held: Held
    fencing: int
    life_s: float


class OrderPlanner:
    """Plans the orders of one holder of the lease."""

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
            fencing: The lease's fencing number.
            taken_at: When the lease was taken.
            now: The time.
        """
        self._sent_at = [at for at in self._sent_at if now - at < LOAD_PERIOD_S]
        room = LOADS_PER_PERIOD - len(self._sent_at)
        wanted = [
            engine
            for engine in engines
            if engine.observed not in (None, engine.desired)
            and self._is_free(engine, fencing, taken_at, now)
        ]
        orders: list[LoadOrder] = []
        while wanted and len(orders) < room:
            chosen = {order.endpoint_id for order in orders}
            engine = min(
                wanted, key=lambda item: self._rank(item, engines, chosen)
            )
            wanted.remove(engine)
            self._outstanding[engine.endpoint_id] = now
            self._sent_at.append(now)
            orders.append(
                LoadOrder(
                    engine.endpoint_id, engine.desired, fencing, ORDER_LIFE_S
                )
            )
        return orders

    def finish(self, endpoint_id: str) -> None:
        """Takes in that an engine has answered an order."""
        self._outstanding.pop(endpoint_id, None)

    def _is_free(
        self, engine: Engine, fencing: int, taken_at: float, now: float
    ) -> bool:
        sent_at = self._outstanding.get(engine.endpoint_id)
        if sent_at is not None and now - sent_at < ORDER_LIFE_S:
            return False
        # A first holder has no predecessor whose orders could be late.
        is_first = fencing <= 1
        waited = now - taken_at >= ORDER_LIFE_S
        return engine.checks_fencing or is_first or waited

    def _rank(
        self,
        engine: Engine,
        engines: typing.Sequence[Engine],
        chosen: set[str],
    ) -> tuple[int, int, str]:
        """Ranks first what brings a model nearest to a full cover.

        The number of spans that still lack a loaded engine counts for the
        model as a whole; within a model, a span that nobody has loaded goes
        before a further replica of one that is served. What was chosen in
        this round counts as loaded.
        """
        same = [item for item in engines if item.desired == engine.desired]
        served = {
            item.span
            for item in same
            if item.observed == item.desired or item.endpoint_id in chosen
        }
        missing = len({item.span for item in same} - served)
        return (missing, int(engine.span in served), engine.endpoint_id)
