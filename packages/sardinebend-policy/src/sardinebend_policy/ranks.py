"""Ranks: the order in which the requests of one service are admitted."""

import typing

LEAST_URGENT: typing.Final = 9


class Ranks:
    """The ranks of one service, by its customers' and routes' priorities.

    A customer's priority goes before the route's. Where customers share one,
    the priorities of the routes still tell their requests apart.
    """

    def __init__(
        self,
        route_priorities: typing.Iterable[int],
        customer_priorities: typing.Iterable[int | None],
    ) -> None:
        """Creates the ranks.

        Args:
            route_priorities: Priorities of the service's routes.
            customer_priorities: Those of all customers; `None` for a customer,
                or a caller without one, to whom the route's applies.
        """
        customers = {*customer_priorities, None}
        pairs = {
            (route if customer is None else customer, route)
            for route in route_priorities
            for customer in customers
        }
        self._ranks = {
            pair: min(rank, LEAST_URGENT)
            for rank, pair in enumerate(sorted(pairs))
        }

    def find(self, route: int, customer: int | None) -> int:
        """Returns the rank of a request; 0 is the most urgent.

        A pair of priorities that the configuration doesn't hold is the least
        urgent.

        Args:
            route: Priority of its route.
            customer: Priority of its customer, if that has one.
        """
        pair = (route if customer is None else customer, route)
        return self._ranks.get(pair, LEAST_URGENT)
